"""An emulated model server: an HTTP/1.1 interface to an emulated engine in real time, with fault injection."""

from __future__ import annotations

import asyncio
import secrets

import attrs

from emberring.emulator.connection import ServerConnection
from emberring.emulator.engine import Engine, EngineRequest, EngineSpec, EventProduced
from emberring.emulator.exchange import Exchange
from emberring.emulator.faults import Faults
from emberring.emulator.load_report import LoadReportPage
from emberring.emulator.observations import Observations, Run
from emberring.emulator.output import FIRST_EVENT_ID, event_bytes, event_text
from emberring.emulator.wire import (
    CORRUPT_RESPONSE,
    LAST_CHUNK,
    ServerRequest,
    chunk,
    complete_response,
    response_head,
)

NOT_EXECUTED = {"Not-Executed": "1"}  # the header that guarantees that a request was not executed
INVALID_PATH_PART = "/impossible/"  # requests whose path contains this get status 422


@attrs.frozen
class ServerSpec:
    """The properties of a server; `address` is `ip:port`, with port 0 for any free port."""

    service: str
    address: str = "127.0.0.1:0"
    zone: str = "zone-a"
    version: str = "v1"
    max_connections: int = 200
    engine: EngineSpec = attrs.field(factory=EngineSpec)


class ModelServer:
    """One incarnation of a server, with its own id. All methods must be called on the same event loop."""

    def __init__(self, spec: ServerSpec, observations: Observations) -> None:
        self.spec = spec
        self.id = f"i-{secrets.token_hex(4)}"
        self.address = spec.address
        self.faults = Faults()
        self.draining = False
        self.engine = Engine(spec.engine)
        self._observations = observations
        self._connections: set[ServerConnection] = set()
        self._exchanges: dict[ServerConnection, Exchange] = {}
        self._server: asyncio.Server | None = None
        self._next_step: asyncio.TimerHandle | None = None
        self._step_at = 0.0
        self._load_report = LoadReportPage()

    @property
    def in_flight(self) -> int:
        """The number of requests in progress."""
        return len(self._exchanges)

    async def start(self) -> None:
        """Start listening and set `address` to the actual port."""
        host, _, port = self.spec.address.rpartition(":")
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: ServerConnection(self), host, int(port))
        self.address = f"{host}:{self._server.sockets[0].getsockname()[1]}"

    def stop(self, *, crash: bool = False) -> None:
        """Stop at once: every connection is reset. `crash` records the server as crashed."""
        if crash:
            self._observations.crashed.add(self.id)
        if self._server is not None:
            self._server.close()
        if self._next_step is not None:
            self._next_step.cancel()
        for connection in list(self._connections):
            connection.abort()

    def become_unresponsive(self) -> None:
        """Stop reading and sending without closing connections."""
        self.faults.unresponsive = True
        for connection in self._connections:
            connection.pause()

    # Requests

    def on_connection_opened(self, connection: ServerConnection) -> bool:
        """Accept a new connection unless the limit of connections is reached."""
        if len(self._connections) >= self.spec.max_connections:
            return False
        self._connections.add(connection)
        if self.faults.unresponsive:
            connection.pause()
        return True

    def on_connection_closed(self, connection: ServerConnection) -> None:
        """Drop the request of a caller that has disconnected."""
        self._connections.discard(connection)
        exchange = self._exchanges.pop(connection, None)
        if exchange is not None:
            self._drop_from_engine(exchange)

    def handle_request(self, connection: ServerConnection, request: ServerRequest) -> None:
        """Respond to a request, or submit it to the engine."""
        if self.faults.hanging or self.faults.unresponsive:
            return
        if request.method == "GET" and request.path == "/v1/report":
            self._respond(
                connection,
                request,
                200,
                self._load_report.body(self.engine, asyncio.get_running_loop().time()),
                {"Content-Type": "application/json"},
            )
        elif request.method == "GET" and request.path == "/healthz":
            healthy = not (self.draining or self.faults.overloaded)
            self._respond(connection, request, 200 if healthy else 503, b"", {"Instance-Id": self.id})
        else:
            self._handle_generation(connection, request)

    def _handle_generation(self, connection: ServerConnection, request: ServerRequest) -> None:
        expected = request.headers.get("expected-instance", self.id)
        if expected != self.id:
            self._respond(connection, request, 421, b"", {"Instance-Id": self.id, **NOT_EXECUTED})
            return
        try:
            engine_request = EngineRequest(
                request.id, request.parts, request.output_tokens, _received_events(request)
            )
        except ValueError:
            engine_request = None
        if engine_request is None or not request.id:
            self._respond(connection, request, 400, b"", NOT_EXECUTED)
        elif INVALID_PATH_PART in request.path:
            self._record_run(request)
            self._respond(connection, request, 422, b"", self._sign(request))
        elif self.faults.overloaded or not self.engine.submit(engine_request):
            self._respond(connection, request, 503, b"", NOT_EXECUTED)
        else:
            self._start_exchange(Exchange(connection, request, engine_request))

    def _start_exchange(self, exchange: Exchange) -> None:
        self._exchanges[exchange.connection] = exchange
        deadline_s = exchange.request.deadline_s
        loop = asyncio.get_running_loop()
        if deadline_s is not None:
            exchange.timer = loop.call_later(max(0.0, deadline_s), self._on_deadline, exchange)
        if self._next_step is None:
            self._step_at = loop.time()
            self._schedule_step()

    # Engine steps and the responses that they produce

    def _schedule_step(self) -> None:
        self.engine.step_factor = self.faults.step_factor
        self._step_at += self.engine.step_seconds()
        self._next_step = asyncio.get_running_loop().call_at(self._step_at, self._step)

    def _step(self) -> None:
        self._next_step = None
        produced = self.engine.step()
        for exchange in list(self._exchanges.values()):
            if not exchange.started and not self.engine.is_queued(exchange.engine_request):
                exchange.started = True
                self._record_run(exchange.request)
        by_engine_request = {id(exchange.engine_request): exchange for exchange in self._exchanges.values()}
        for item in produced:
            if id(item.request) in by_engine_request:
                self._send(by_engine_request[id(item.request)], item)
        if not self.engine.idle:
            self._schedule_step()

    def _send(self, exchange: Exchange, item: EventProduced) -> None:
        if exchange.connection not in self._exchanges:
            return
        if not exchange.signature and not self._send_head(exchange):
            return
        event_id = FIRST_EVENT_ID + item.index
        request = exchange.request
        data = event_bytes(event_id, event_text(request.path, request.body, event_id))
        if self.faults.consume("truncated_responses"):
            exchange.connection.write(chunk(data[: len(data) // 2]))
            self._end_exchange(exchange, abort=True)
            return
        exchange.connection.write(chunk(data))
        if item.last:
            self._end_exchange(exchange)

    def _send_head(self, exchange: Exchange) -> bool:
        if self.faults.consume("corrupt_responses"):
            exchange.connection.write(CORRUPT_RESPONSE)
            self._end_exchange(exchange, close=True)
            return False
        if self.faults.consume("failed_responses"):
            self._forget_exchange(exchange)
            self._respond(exchange.connection, exchange.request, 500, b"", self._sign(exchange.request))
            return False
        headers = {**self._sign(exchange.request), "Content-Type": "text/event-stream"}
        exchange.signature = headers["Response-Signature"]
        headers["Transfer-Encoding"] = "chunked"
        exchange.connection.write(response_head(200, self._common_headers(exchange.request, headers)))
        return True

    def _end_exchange(self, exchange: Exchange, *, abort: bool = False, close: bool = False) -> None:
        self._forget_exchange(exchange)
        if abort:
            exchange.connection.abort()
            return
        if not close:
            exchange.connection.write(LAST_CHUNK)
        if self.faults.consume("surplus_responses"):
            other = {"Request-Id": secrets.token_hex(8)}
            exchange.connection.write(complete_response(200, other, b"surplus"))
        exchange.connection.finish(close=close or self.draining)

    def _on_deadline(self, exchange: Exchange) -> None:
        if exchange.connection not in self._exchanges:
            return
        if exchange.signature:
            self._end_exchange(exchange, abort=True)
            return
        started = exchange.started
        self._forget_exchange(exchange)
        status, headers = (504, self._sign(exchange.request)) if started else (503, NOT_EXECUTED)
        self._respond(exchange.connection, exchange.request, status, b"", headers)

    def _forget_exchange(self, exchange: Exchange) -> None:
        self._exchanges.pop(exchange.connection, None)
        self._drop_from_engine(exchange)

    def _drop_from_engine(self, exchange: Exchange) -> None:
        if exchange.timer is not None:
            exchange.timer.cancel()
        self.engine.drop(exchange.engine_request)

    # Records and responses

    def _record_run(self, request: ServerRequest) -> None:
        at_s = asyncio.get_running_loop().time()
        resumed = request.resume_after
        self._observations.record_run(
            Run(request.id, self.id, self.spec.service, request.path, at_s, resumed, self.draining)
        )

    def _sign(self, request: ServerRequest) -> dict[str, str]:
        signature = f"{self.id}.{secrets.token_hex(6)}"
        self._observations.record_signature(signature, request.id)
        return {"Response-Signature": signature}

    def _common_headers(self, request: ServerRequest, headers: dict[str, str]) -> dict[str, str]:
        common = {"Request-Id": request.id} if request.id else {}
        if self.draining:
            common["Connection"] = "close"
        return {**common, **headers}

    def _respond(
        self,
        connection: ServerConnection,
        request: ServerRequest,
        status: int,
        body: bytes,
        headers: dict[str, str],
    ) -> None:
        connection.write(complete_response(status, self._common_headers(request, headers), body))
        connection.finish(close=self.draining)


def _received_events(request: ServerRequest) -> int:
    """Return the number of events that the caller has already received."""
    after = request.resume_after
    return 0 if after is None else max(0, after - FIRST_EVENT_ID + 1)
