"""A model server: runs requests as streams of events, answers 421 to requests for another incarnation, sends beats."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import secrets
from collections.abc import Awaitable, Callable

from rig_two.http_messages import (
    BrokenMessageError,
    Message,
    call,
    close_writer,
    read_message,
    render_request,
    render_response,
)
from rig_two.record import Record

BEAT_S = 1.2
ACK_S = 1.0


class Run:
    """A request that a server began to work on."""

    def __init__(self, request_id: str, server_id: str, path: str, at_s: float) -> None:
        self.request_id, self.server_id, self.path, self.at_s = request_id, server_id, path, at_s


Behaviour = Callable[["ModelServer", Message, asyncio.StreamWriter], Awaitable[bool]]


class ModelServer:
    """One incarnation of a server. `behaviour` may answer a request itself and then returns True."""

    def __init__(self, service: str, zone: str, record: Record, runs: list[Run]) -> None:
        self.id = f"i-{secrets.token_hex(5)}"
        self.service, self.zone, self.record, self.runs = service, zone, record, runs
        self.address = ""
        self.capacity = 32
        self.state = "ready"
        self.sequence = 0
        self.acknowledged_by = ""  # the node that took the latest beat or goodbye
        self.events, self.gap_s = 6, 0.01
        self.behaviour: Behaviour | None = None
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._beats: asyncio.Task[None] | None = None

    # Listening.

    async def start(self, address: str = "127.0.0.1:0") -> None:
        """Listen at this address; port 0 takes a free port."""
        host, _, port = address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))
        self.address = f"{host}:{self._server.sockets[0].getsockname()[1]}"
        self.record.note(f"server {self.id}: listens at {self.address}")

    def crash(self) -> None:
        """End at once and say nothing: every connection is reset, no beat follows."""
        self.record.note(f"server {self.id}: crashes")
        self.stop_beats()
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            with contextlib.suppress(BrokenMessageError, ConnectionError):
                while True:
                    await self._answer(await read_message(reader), writer)
        finally:
            self._writers.discard(writer)
            await close_writer(writer)

    async def _answer(self, request: Message, writer: asyncio.StreamWriter) -> None:
        method, path, _ = request.first_line.split(" ")
        request_id = request.headers.get("request-id", "")
        common = {"Request-Id": request_id} if request_id else {}
        if method == "GET" and path == "/healthz":
            status = 200 if self.state == "ready" else 503
            writer.write(render_response(status, {"Instance-Id": self.id}, b""))
        elif request.headers.get("expected-instance", self.id) != self.id:
            self.record.note(f"server {self.id}: 421 to {request_id}")
            headers = {**common, "Instance-Id": self.id, "Not-Executed": "1"}
            writer.write(render_response(421, headers, b""))
        elif (refusal := self.refusal(request)) is not None:
            writer.write(refusal)
        elif not request_id:
            writer.write(render_response(400, {"Not-Executed": "1"}, b""))
        else:
            self.runs.append(Run(request_id, self.id, path, self.record.now_s()))
            self.record.note(f"server {self.id}: runs {request_id} {path} (state {self.state})")
            if self.behaviour is None or not await self.behaviour(self, request, writer):
                await self.stream(request, writer)
        await writer.drain()

    def refusal(self, request: Message) -> bytes | None:
        """Return an answer that says that the request is not run, None to run it."""
        return None

    def stamp(self) -> str:
        """Return a new signature."""
        return f"{self.id}.{secrets.token_hex(6)}"

    async def stream(self, request: Message, writer: asyncio.StreamWriter) -> None:
        """Send the events that follow the client's last one."""
        after = int(request.headers.get("last-event-id", "0") or 0)
        request_id = request.headers["request-id"]
        head = [
            "HTTP/1.1 200 OK",
            f"Request-Id: {request_id}",
            f"Response-Signature: {self.stamp()}",
            "Versions: 1",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
        ]
        writer.write(("\r\n".join(head) + "\r\n\r\n").encode())
        for number in range(after + 1, self.events + 1):
            await asyncio.sleep(self.gap_s)
            data = f"id: {number}\ndata: {event_text(request_id, number)}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(data), data))
            await writer.drain()
        writer.write(b"0\r\n\r\n")

    # Service discovery.

    def beat(self) -> bytes:
        """Return the body of the next beat."""
        self.sequence += 1
        table = {
            "Service": self.service,
            "Address": self.address,
            "Zone": self.zone,
            "Version": "v1",
            "Capacity": self.capacity,
            "State": self.state,
            "ColdRemainingMs": 0,
            "Phase": "both",
            "Models": [{"Name": "m", "Version": 1, "LoraAdapters": []}],
            "Sequence": self.sequence,
        }
        return json.dumps(table).encode()

    def beat_request(self) -> bytes:
        """Return the next beat as a request."""
        headers = {"Host": "control", "Content-Type": "application/json"}
        return render_request("PUT", f"/v1/instances/{self.id}", headers, self.beat())

    def start_beats(self, controls: list[str]) -> None:
        """Send beats, each to the next node after a failure."""
        self._beats = asyncio.get_running_loop().create_task(self._beat_on(controls))

    def stop_beats(self) -> None:
        """Send no more beats."""
        if self._beats is not None:
            self._beats.cancel()

    async def _beat_on(self, controls: list[str]) -> None:
        while True:
            await self.say(self.beat_request, controls)
            await asyncio.sleep(BEAT_S)

    async def say(self, request: Callable[[], bytes], controls: list[str], limit_s: float = 6.0) -> bool:
        """Send a request to one node after the other until one acknowledges it."""
        end_s = self.record.now_s() + limit_s
        order = random.sample(controls, len(controls))
        for number in range(1000):
            address = order[number % len(order)]
            response = await call(address, request(), ACK_S)
            if response is not None and 200 <= response.status < 300:
                self.acknowledged_by = address
                return True
            if self.record.now_s() > end_s:
                break
            await asyncio.sleep(0.05)
        return False

    async def leave(self, controls: list[str]) -> bool:
        """Send the goodbye; return whether it was acknowledged."""
        self.stop_beats()
        request = render_request("DELETE", f"/v1/instances/{self.id}", {"Host": "control"}, b"")
        acknowledged = await self.say(lambda: request, controls)
        self.record.note(f"server {self.id}: DELETE {'acknowledged' if acknowledged else 'not acknowledged'}")
        return acknowledged


def event_text(request_id: str, number: int) -> str:
    """Return the data of an event."""
    return f"token {number} of {request_id}"
