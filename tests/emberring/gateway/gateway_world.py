"""Test fixture: a gateway on loopback sockets, with scripted servers and raw clients."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable, Iterable
from typing import Any

import attrs

from emberring.admission.types import Admitted, CallInfo, CallOutcome, Decision, NoServer
from emberring.configuration.model import ClientLimits, Configuration, Route, RouteType, Service, Share
from emberring.distribution.records import ServerRecord, ServerState
from emberring.gateway import connection_pool
from emberring.gateway.app import Application
from emberring.gateway.clients import ClientListener
from emberring.gateway.connection_pool import ConnectionPool
from emberring.gateway.execution import Executor
from emberring.gateway.jobs_api import JobsApi, UnavailableJobs
from emberring.gateway.routable_servers import RoutableServers

HOST = "bank.example"
PATIENCE_S = 20.0  # timeout of a test
# The timeout of the program; `conftest.py` replaces it by a longer one for most tests.
OWN_CONNECT_TIMEOUT_S = connection_pool.CONNECT_TIMEOUT_S


@attrs.define
class FakeDirectory:
    configuration: Configuration | None
    servers: dict[str, ServerRecord] = attrs.field(factory=dict)
    gateway_count: int = 1


class FakeAdmission:
    """Admits each call to the first server that is not excluded, unless `script` has a decision for it."""

    def __init__(self, directory: FakeDirectory) -> None:
        self.directory = directory
        self.script: list[Decision] = []
        self.calls: list[CallInfo] = []
        self.log: list[tuple[str, str]] = []
        self.in_flight = 0
        self.free = 4  # batch items that would be admitted

    def offer(self, now_s: float, call: CallInfo) -> Decision:
        self.calls.append(call)
        decision = self.script.pop(0) if self.script else self._next(call)
        if isinstance(decision, Admitted):
            self.in_flight += 1
        return decision

    def _next(self, call: CallInfo) -> Decision:
        for record in self.directory.servers.values():
            if record.service == call.service and record.id not in call.excluded:
                return Admitted(record.id)
        return NoServer()

    def started(self, now_s: float, call_id: str, server_id: str) -> None:
        self.log.append(("started", server_id))

    def first_event(self, now_s: float, call_id: str) -> None:
        self.log.append(("first_event", call_id))

    def progress(self, now_s: float, call_id: str) -> None:
        self.log.append(("progress", call_id))

    def finished(self, now_s: float, call_id: str, outcome: CallOutcome) -> None:
        self.in_flight -= 1
        self.log.append(("finished", outcome.value))

    def batch_capacity(self, now_s: float) -> dict[str, int]:
        return {"s": self.free}

    @property
    def outcomes(self) -> list[str]:
        return [value for kind, value in self.log if kind == "finished"]


@attrs.frozen
class ReceivedRequest:
    """A request as received by a server."""

    start: bytes
    headers: dict[str, str]
    body: bytes
    connection: int


class ServerSide:
    """The server's end of a connection, controlled by a script."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    async def write(self, data: bytes) -> None:
        self.writer.write(data)
        await self.writer.drain()

    async def answer(self, seen: ReceivedRequest, status: int = 200, body: bytes = b"", **more: str) -> None:
        """Send a complete response with `Content-Length`."""
        await self.write(head(seen, status, len(body), **more) + body)

    async def stream(self, seen: ReceivedRequest, ids: Iterable[int], end: bool = True, **more: str) -> None:
        """Send an event stream in chunks."""
        await self.write(stream_head(seen, **more))
        for number in ids:
            await self.write(chunk(event(number)))
        if end:
            await self.write(b"0\r\n\r\n")

    def reset(self) -> None:
        self.writer.transport.abort()

    def close(self) -> None:
        self.writer.close()

    async def wait_closed(self) -> None:
        """Discard received data until the gateway closes the connection."""
        with contextlib.suppress(OSError):
            while await self.reader.read(1000):
                pass


Script = Callable[[ServerSide, ReceivedRequest], Awaitable[None]]


def event(number: int) -> bytes:
    return b"id: %d\ndata: text %d\n\n" % (number, number)


def events(*numbers: int) -> bytes:
    return b"".join(event(number) for number in numbers)


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


def head(seen: ReceivedRequest, status: int, length: int | None, signed: bool = True, **more: str) -> bytes:
    lines = [f"HTTP/1.1 {status} X"]
    fields = {"Request-Id": seen.headers.get("request-id", "")}
    if signed:
        fields["Response-Signature"] = "sig-" + fields["Request-Id"]
    fields |= {name.replace("_", "-"): value for name, value in more.items()}
    if length is not None:
        fields["Content-Length"] = str(length)
    lines += [f"{name}: {value}" for name, value in fields.items() if value]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def stream_head(seen: ReceivedRequest, **more: str) -> bytes:
    fields = {"Content_Type": "text/event-stream", "Transfer_Encoding": "chunked"} | more
    return head(seen, 200, None, **fields)


class ScriptedServer:
    """Answers each request with the next script; the last script is repeated."""

    def __init__(self, server_id: str, scripts: tuple[Script, ...]) -> None:
        self.id = server_id
        self.scripts = list(scripts)
        self.seen: list[ReceivedRequest] = []
        self.connections = 0
        self.arrived = asyncio.Event()
        self.tasks: set[asyncio.Task[None]] = set()
        self.address = ""
        self._server: asyncio.Server | None = None

    async def start(self, address: str = "127.0.0.1:0") -> None:
        host, _, port = address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def close(self) -> None:
        if self._server is not None:
            self._server.close()
        for task in list(self.tasks):
            task.cancel()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        self.connections += 1
        number = self.connections
        side = ServerSide(reader, writer)
        try:
            while not writer.is_closing():
                seen = await self._read(reader, number)
                self.seen.append(seen)
                self.arrived.set()
                script = self.scripts.pop(0) if len(self.scripts) > 1 else self.scripts[0]
                await script(side, seen)
        except (asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            writer.transport.abort()
        finally:
            self.tasks.discard(task)

    @staticmethod
    async def _read(reader: asyncio.StreamReader, number: int) -> ReceivedRequest:
        raw = await reader.readuntil(b"\r\n\r\n")
        start, *lines = raw[:-4].split(b"\r\n")
        headers = {}
        for line in lines:
            name, _, value = line.decode().partition(": ")
            headers[name.lower()] = value
        body = await reader.readexactly(int(headers.get("content-length", "0")))
        return ReceivedRequest(start, headers, body, number)


@attrs.frozen
class Received:
    """A response as received by a client; `whole` is whether it was complete."""

    status: int
    headers: dict[str, str]
    body: bytes
    whole: bool


class Client:
    """An HTTP client with one connection that reads and writes raw bytes."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    @classmethod
    async def connect(cls, port: int) -> Client:
        return cls(*await asyncio.open_connection("127.0.0.1", port))

    async def send(self, data: bytes) -> None:
        self.writer.write(data)
        await self.writer.drain()

    async def ask(self, path: str = "/live/1", **more: Any) -> Received:
        await self.send(request(path, **more))
        return await self.receive()

    async def receive(self) -> Received:
        try:
            raw = await self.reader.readuntil(b"\r\n\r\n")
        except (asyncio.IncompleteReadError, OSError):
            return Received(0, {}, b"", False)
        start, *lines = raw[:-4].split(b"\r\n")
        headers = {}
        for line in lines:
            name, _, value = line.decode().partition(": ")
            headers[name.lower()] = value
        body = bytearray()
        try:
            whole = await self._read_body(headers, body)
        except (asyncio.IncompleteReadError, OSError) as error:
            body += getattr(error, "partial", b"")
            whole = False
        return Received(int(start.split()[1]), headers, bytes(body), whole)

    async def _read_body(self, headers: dict[str, str], body: bytearray) -> bool:
        if headers.get("transfer-encoding") == "chunked":
            while True:
                size = int(await self.reader.readuntil(b"\r\n"), 16)
                data = await self.reader.readexactly(size + 2)
                if not size:
                    return True
                body += data[:-2]
        body += await self.reader.readexactly(int(headers["content-length"]))
        return True

    async def ended(self) -> bool:
        """Return whether the gateway closes the connection without sending more data."""
        try:
            return await self.reader.read(1) == b""
        except OSError:
            return True

    def close(self) -> None:
        self.writer.transport.abort()


def request(
    path: str = "/live/1",
    request_id: str = "r1",
    body: bytes = b"hello",
    method: str = "POST",
    chunked: bool = False,
    **more: str,
) -> bytes:
    fields = {"Host": HOST, "Request-Id": request_id}
    fields |= {name.replace("_", "-"): value for name, value in more.items()}
    if chunked:
        fields["Transfer-Encoding"] = "chunked"
        body = b"".join(chunk(bytes([byte])) for byte in body) + b"0\r\n\r\n"
    elif body:
        fields["Content-Length"] = str(len(body))
    lines = [f"{method} {path} HTTP/1.1", *(f"{name}: {value}" for name, value in fields.items())]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def route(prefix: str, kind: RouteType, **more: Any) -> Route:
    options = {"timeout_ms": 3000.0, "max_attempts": 2} | more
    return Route(
        name=prefix.strip("/"), host=HOST, path_prefix=prefix, type=kind, split=(Share("s", 1.0),), **options
    )


ROUTES = (
    route("/live/", RouteType.STREAMING),
    route("/again/", RouteType.STREAMING, resumable=True),
    route("/plain/", RouteType.IDEMPOTENT),
    route("/once/", RouteType.NON_IDEMPOTENT),
    route("/short/", RouteType.NON_IDEMPOTENT, timeout_ms=200.0),
    route("/lots/", RouteType.BATCH),
)


class World:
    """A gateway with its scripted servers, clients, directory and admission."""

    def __init__(self, routes: tuple[Route, ...] = ROUTES, limits: ClientLimits | None = None) -> None:
        services = (Service("s", max_connections=100, capacity=8),)
        self.directory = FakeDirectory(Configuration(1, routes, services, limits or ClientLimits()))
        self.admission = FakeAdmission(self.directory)
        self.pool = ConnectionPool()
        self.routable_servers = RoutableServers(self.directory)
        self.pool.set_limits(self.routable_servers.connection_limit)
        self.executor = Executor(self.admission, self.pool, self.routable_servers)
        self.jobs: Any = UnavailableJobs()
        self.servers: list[ScriptedServer] = []
        self.clients: list[Client] = []
        self.listener: ClientListener

    async def start(self) -> None:
        self.listener = ClientListener(
            Application(self.directory, self.executor, JobsApi(self.jobs)), self.limits
        )
        await self.listener.listen("127.0.0.1:0")

    def limits(self) -> ClientLimits:
        assert self.directory.configuration is not None
        return self.directory.configuration.limits

    async def server(self, *scripts: Script, name: str = "") -> ScriptedServer:
        server = ScriptedServer(name or f"i-{len(self.servers) + 1}", scripts)
        await server.start()
        self.servers.append(server)
        self.set_server_record(server.id, server.address)
        return server

    def set_server_record(self, server_id: str, address: str, state: ServerState = ServerState.READY) -> None:
        self.directory.servers[server_id] = ServerRecord(server_id, "s", address, "z", 8, state, 1)

    async def client(self) -> Client:
        client = await Client.connect(self.listener.port)
        self.clients.append(client)
        return client

    async def stop(self) -> None:
        for client in self.clients:
            client.close()
        await self.listener.stop_listening()
        self.listener.abort()
        self.pool.close()
        for server in self.servers:
            server.close()
        for _ in range(5):
            await asyncio.sleep(0)


def play(scenario: Callable[[World], Awaitable[None]], world: Callable[[], World] = World) -> None:
    """Run a test scenario in a new world, with a timeout."""

    async def run() -> None:
        new_world = world()
        await new_world.start()
        try:
            async with asyncio.timeout(PATIENCE_S):
                await scenario(new_world)
        finally:
            await new_world.stop()

    asyncio.run(run())


async def until(condition: Callable[[], bool]) -> None:
    """Wait until a condition holds; limited by the timeout of `play`."""
    while not condition():
        await asyncio.sleep(0.002)
