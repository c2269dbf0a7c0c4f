"""A stand-in model server: HTTP/1.1 before an emulated engine, in real time, with faults to switch on."""

from __future__ import annotations

import asyncio
import secrets

import attrs
import orjson

from emberring.emulator.connection import ServerConnection
from emberring.emulator.engine import Engine, EngineSpec, Job, Produced
from emberring.emulator.faults import Faults
from emberring.emulator.observations import Observations, Run
from emberring.emulator.output import FIRST_EVENT_ID, event_bytes, event_text
from emberring.emulator.wire import LAST_CHUNK, NOT_AN_ANSWER, ServerRequest, chunk, head, whole_answer

NOT_EXECUTED = {"Not-Executed": "1"}
IMPOSSIBLE = "/impossible/"  # items with this in their path get 422
REPORT_LAG_S = 0.2


@attrs.frozen
class ServerSpec:
    """What a server is: `address` is `ip:port`, port 0 for any."""

    service: str
    address: str = "127.0.0.1:0"
    zone: str = "zone-a"
    version: str = "v1"
    max_connections: int = 200
    engine: EngineSpec = attrs.field(factory=EngineSpec)


@attrs.define(eq=False)
class _Exchange:
    """A request at work: the job in the engine and the caller's connection."""

    connection: ServerConnection
    request: ServerRequest
    job: Job
    began: bool = False
    signature: str = ""
    timer: asyncio.TimerHandle | None = None


class ModelServer:
    """One incarnation of a server, with an id of its own. All methods belong to one event loop."""

    def __init__(self, spec: ServerSpec, observations: Observations) -> None:
        self.spec = spec
        self.id = f"i-{secrets.token_hex(4)}"
        self.address = spec.address
        self.faults = Faults()
        self.draining = False
        self.engine = Engine(spec.engine)
        self._observations = observations
        self._connections: set[ServerConnection] = set()
        self._exchanges: dict[ServerConnection, _Exchange] = {}
        self._server: asyncio.Server | None = None
        self._next_step: asyncio.TimerHandle | None = None
        self._step_at = 0.0
        self._report: tuple[float, bytes] = (-REPORT_LAG_S, b"")

    @property
    def in_flight(self) -> int:
        """Requests at work."""
        return len(self._exchanges)

    async def start(self) -> None:
        """Listen; the address is known from then on."""
        host, _, port = self.spec.address.rpartition(":")
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: ServerConnection(self), host, int(port))
        self.address = f"{host}:{self._server.sockets[0].getsockname()[1]}"

    def stop(self, *, crash: bool = False) -> None:
        """End at once: every connection is reset. A crash is noted as such."""
        if crash:
            self._observations.crashed.add(self.id)
        if self._server is not None:
            self._server.close()
        if self._next_step is not None:
            self._next_step.cancel()
        for connection in list(self._connections):
            connection.abort()

    def go_dark(self) -> None:
        """Read nothing and say nothing from now on."""
        self.faults.dark = True
        for connection in self._connections:
            connection.pause()

    # What connections say

    def opened(self, connection: ServerConnection) -> bool:
        """Take a new connection unless there are too many."""
        if len(self._connections) >= self.spec.max_connections:
            return False
        self._connections.add(connection)
        if self.faults.dark:
            connection.pause()
        return True

    def left(self, connection: ServerConnection) -> None:
        """A caller has gone: its request is dropped."""
        self._connections.discard(connection)
        exchange = self._exchanges.pop(connection, None)
        if exchange is not None:
            self._forget(exchange)

    def take(self, connection: ServerConnection, request: ServerRequest) -> None:
        """Answer a request, or put it into the engine."""
        if self.faults.hang or self.faults.dark:
            return
        if request.method == "GET" and request.path == "/v1/report":
            self._answer(connection, request, 200, self._report_body(), {"Content-Type": "application/json"})
        elif request.method == "GET" and request.path == "/healthz":
            healthy = not (self.draining or self.faults.shed)
            self._answer(connection, request, 200 if healthy else 503, b"", {"Instance-Id": self.id})
        else:
            self._take_generation(connection, request)

    def _take_generation(self, connection: ServerConnection, request: ServerRequest) -> None:
        expected = request.headers.get("expected-instance", self.id)
        if expected != self.id:
            self._answer(connection, request, 421, b"", {"Instance-Id": self.id, **NOT_EXECUTED})
            return
        try:
            job = Job(request.id, request.parts, request.output_tokens, _events_had(request))
        except ValueError:
            job = None
        if job is None or not request.id:
            self._answer(connection, request, 400, b"", NOT_EXECUTED)
        elif IMPOSSIBLE in request.path:
            self._note_run(request)
            self._answer(connection, request, 422, b"", self._sign(request))
        elif self.faults.shed or not self.engine.submit(job):
            self._answer(connection, request, 503, b"", NOT_EXECUTED)
        else:
            self._begin(_Exchange(connection, request, job))

    def _begin(self, exchange: _Exchange) -> None:
        self._exchanges[exchange.connection] = exchange
        deadline_s = exchange.request.deadline_s
        loop = asyncio.get_running_loop()
        if deadline_s is not None:
            exchange.timer = loop.call_later(max(0.0, deadline_s), self._deadline, exchange)
        if self._next_step is None:
            self._step_at = loop.time()
            self._plan_step()

    # The engine's time

    def _plan_step(self) -> None:
        self.engine.slow = self.faults.slow
        self._step_at += self.engine.step_seconds()
        self._next_step = asyncio.get_running_loop().call_at(self._step_at, self._step)

    def _step(self) -> None:
        self._next_step = None
        produced = self.engine.step()
        for exchange in list(self._exchanges.values()):
            if not exchange.began and not self.engine.is_queued(exchange.job):
                exchange.began = True
                self._note_run(exchange.request)
        by_job = {id(exchange.job): exchange for exchange in self._exchanges.values()}
        for item in produced:
            if id(item.job) in by_job:
                self._send(by_job[id(item.job)], item)
        if not self.engine.idle:
            self._plan_step()

    def _send(self, exchange: _Exchange, item: Produced) -> None:
        if exchange.connection not in self._exchanges:
            return
        if not exchange.signature and not self._send_head(exchange):
            return
        event_id = FIRST_EVENT_ID + item.index
        request = exchange.request
        data = event_bytes(event_id, event_text(request.path, request.body, event_id))
        if self.faults.take("cut_answers"):
            exchange.connection.write(chunk(data[: len(data) // 2]))
            self._end(exchange, abort=True)
            return
        exchange.connection.write(chunk(data))
        if item.last:
            self._end(exchange)

    def _send_head(self, exchange: _Exchange) -> bool:
        if self.faults.take("spoilt_answers"):
            exchange.connection.write(NOT_AN_ANSWER)
            self._end(exchange, close=True)
            return False
        if self.faults.take("failed_answers"):
            self._forget_exchange(exchange)
            self._answer(exchange.connection, exchange.request, 500, b"", self._sign(exchange.request))
            return False
        headers = {**self._sign(exchange.request), "Content-Type": "text/event-stream"}
        exchange.signature = headers["Response-Signature"]
        headers["Transfer-Encoding"] = "chunked"
        exchange.connection.write(head(200, self._common(exchange.request, headers)))
        return True

    def _end(self, exchange: _Exchange, *, abort: bool = False, close: bool = False) -> None:
        self._forget_exchange(exchange)
        if abort:
            exchange.connection.abort()
            return
        if not close:
            exchange.connection.write(LAST_CHUNK)
        if self.faults.take("extra_answers"):
            other = {"Request-Id": secrets.token_hex(8)}
            exchange.connection.write(whole_answer(200, other, b"surplus"))
        exchange.connection.finish(close=close or self.draining)

    def _deadline(self, exchange: _Exchange) -> None:
        if exchange.connection not in self._exchanges:
            return
        if exchange.signature:
            self._end(exchange, abort=True)
            return
        began = exchange.began
        self._forget_exchange(exchange)
        status, headers = (504, self._sign(exchange.request)) if began else (503, NOT_EXECUTED)
        self._answer(exchange.connection, exchange.request, status, b"", headers)

    def _forget_exchange(self, exchange: _Exchange) -> None:
        self._exchanges.pop(exchange.connection, None)
        self._forget(exchange)

    def _forget(self, exchange: _Exchange) -> None:
        if exchange.timer is not None:
            exchange.timer.cancel()
        self.engine.drop(exchange.job)

    # Answers

    def _note_run(self, request: ServerRequest) -> None:
        at_s = asyncio.get_running_loop().time()
        resumed = request.resume_after
        self._observations.ran(
            Run(request.id, self.id, self.spec.service, request.path, at_s, resumed, self.draining)
        )

    def _sign(self, request: ServerRequest) -> dict[str, str]:
        signature = f"{self.id}.{secrets.token_hex(6)}"
        self._observations.signed(signature, request.id)
        return {"Response-Signature": signature}

    def _common(self, request: ServerRequest, headers: dict[str, str]) -> dict[str, str]:
        common = {"Request-Id": request.id} if request.id else {}
        if self.draining:
            common["Connection"] = "close"
        return {**common, **headers}

    def _answer(
        self,
        connection: ServerConnection,
        request: ServerRequest,
        status: int,
        body: bytes,
        headers: dict[str, str],
    ) -> None:
        connection.write(whole_answer(status, self._common(request, headers), body))
        connection.finish(close=self.draining)

    def _report_body(self) -> bytes:
        now = asyncio.get_running_loop().time()
        if now - self._report[0] >= REPORT_LAG_S:
            figures = self.engine.report()
            body = {
                "Phase": "both",
                "Models": [{"Name": "m", "Version": 1, "LoraAdapters": []}],
                "Utilization": False,
                "Sequence": 1,
                "Queued": figures.queued,
                "Active": figures.active,
                "KvUsed": figures.kv_used,
                "KvCapacity": figures.kv_capacity,
                "Sessions": 0,
            }
            self._report = (now, orjson.dumps(body))
        return self._report[1]


def _events_had(request: ServerRequest) -> int:
    """How many events the caller has already."""
    after = request.resume_after
    return 0 if after is None else max(0, after - FIRST_EVENT_ID + 1)
