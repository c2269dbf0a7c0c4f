"""A model server: registers itself, and answers generations with a stream of events. It keeps to the pages."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import secrets
from collections.abc import Callable, Mapping, Sequence
from typing import NamedTuple

from stand_ins.http_client import Call, call

HEARTBEAT_S = 1.2
EVENT_PAUSE_S = 0.02
EVENTS = 14
FAILURE_STATUS = 422


class Run(NamedTuple):
    """A request that a server began to work on."""

    request_id: str
    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes


def event_text(request_id: str, number: int) -> str:
    """Return the data of an event: the same on every server."""
    return f"text-{request_id}-{number}"


class ModelServer:
    """One incarnation of a server on a free port; `on_run` is called for each request that it runs."""

    def __init__(
        self, service: str, controls: Sequence[str], on_run: Callable[[Run], None], zone: str = "zone-a"
    ) -> None:
        self.id = f"i-{secrets.token_hex(4)}"
        self.address = ""
        self.failing_share = 0.0  # of the requests, which are answered with a failure
        self._service, self._controls, self._on_run, self._zone = service, list(controls), on_run, zone
        self._sequence = 0
        self._server: asyncio.Server | None = None
        self._heartbeats: asyncio.Task[None] | None = None
        self._connections: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen and begin to send heartbeats."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=1 << 20)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"
        self._heartbeats = asyncio.create_task(self._send_heartbeats())

    async def stop(self) -> None:
        """Stop at once."""
        if self._heartbeats is not None:
            self._heartbeats.cancel()
        if self._server is not None:
            self._server.close()
        for task in list(self._connections):
            task.cancel()

    async def _send_heartbeats(self) -> None:
        index = 0
        while True:
            self._sequence += 1
            document = {
                "Service": self._service,
                "Address": self.address,
                "Zone": self._zone,
                "Version": "v1",
                "Capacity": 32,
                "State": "ready",
                "ColdRemainingMs": 0,
                "Phase": "both",
                "Models": [{"Name": "m", "Version": 1, "LoraAdapters": []}],
                "Sequence": self._sequence,
            }
            headers = {"Content-Type": "application/json"}
            body = json.dumps(document).encode()
            heartbeat = Call("PUT", f"/v1/instances/{self.id}", headers, body, 1.0)
            answer = await call(self._controls[index % len(self._controls)], heartbeat)
            if 200 <= answer.status < 300:
                await asyncio.sleep(HEARTBEAT_S)
            else:
                index += 1
                await asyncio.sleep(0.1)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._connections.add(task)
        try:
            while True:
                await self._serve_one(reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError):
            pass
        finally:
            self._connections.discard(task)
            writer.close()

    async def _serve_one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        method, path, headers, body = await _read_request(reader)
        request_id = headers.get("request-id", "")
        if headers.get("expected-instance", self.id) != self.id:
            writer.write(self._refusal(421, request_id))
        elif not request_id:
            writer.write(self._refusal(400, request_id))
        elif random.random() < self.failing_share:
            self._on_run(Run(request_id, method, path, headers, body))
            writer.write(self._failure(request_id))
        else:
            self._on_run(Run(request_id, method, path, headers, body))
            await self._stream(writer, request_id, int(headers.get("last-event-id", "0")))
        await writer.drain()

    def _refusal(self, status: int, request_id: str) -> bytes:
        return (
            f"HTTP/1.1 {status} Refused\r\nRequest-Id: {request_id}\r\nNot-Executed: 1\r\n"
            f"Instance-Id: {self.id}\r\nContent-Length: 0\r\n\r\n"
        ).encode("latin-1")

    def _failure(self, request_id: str) -> bytes:
        body = b"this cannot be done"
        head = (
            f"HTTP/1.1 {FAILURE_STATUS} Unprocessable Content\r\nRequest-Id: {request_id}\r\n"
            f"Response-Signature: {self.id}.{request_id}.failed\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        return head.encode("latin-1") + body

    async def _stream(self, writer: asyncio.StreamWriter, request_id: str, after: int) -> None:
        writer.write(
            (
                f"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest-Id: {request_id}\r\n"
                f"Response-Signature: {self.id}.{request_id}\r\nVersions: 1\r\n"
                "Transfer-Encoding: chunked\r\n\r\n"
            ).encode("latin-1")
        )
        for number in range(after + 1, EVENTS + 1):
            event = f"id: {number}\ndata: {event_text(request_id, number)}\n\n".encode("latin-1")
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(EVENT_PAUSE_S)
        writer.write(b"0\r\n\r\n")


async def _read_request(reader: asyncio.StreamReader) -> tuple[str, str, dict[str, str], bytes]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    method, path, _ = head[0].split(" ", 2)
    headers: dict[str, str] = {}
    for line in head[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers.setdefault(name.strip().lower(), value.strip())
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return method, path, headers, body


async def stop_all(servers: Sequence[ModelServer]) -> None:
    """Stop these servers."""
    for server in servers:
        with contextlib.suppress(OSError):
            await server.stop()
