"""An emulated ledger server (a "box"): answers HTTP/1.1, counts how often each posting ran, and injects faults.

    python -m loadbalancer.emulator.box --port 0 --name box-1 --work-ms 4

prints `NAME listens on HOST:PORT` and serves until it is terminated, or for `--seconds`.

Answers: a balance for `GET /balance/...`, status N for `/status/N`, N bytes for `/big/N`, and else the request's body.
Every answer names the server in `X-Box`.
"""

from __future__ import annotations

import asyncio
import math
import sys
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field

import httptools

from loadbalancer.core.address import parse_address
from loadbalancer.emulator.listening import Counted, Counting, command, run
from loadbalancer.interface import warmth

POSTING = b"x-posting"  # header that identifies a posting; else its idempotency key, else the request id
FALLEN_S = 2.0  # time until a crashed server restarts
REASONS = {200: b"OK", 204: b"No Content", 304: b"Not Modified", 500: b"Error", 503: b"Unavailable"}


@dataclass(slots=True)
class Behaviour:
    """The behaviour and faults of an emulated server; may be changed while it runs."""

    work_ms: float = 0.0  # service time of one request on one core
    cores: int = 64  # requests served in parallel
    slow: float = 1.0  # multiplies the work
    hang: bool = False  # accept requests and never answer
    decline: bool = False  # reject all requests, as a draining server does
    die_mid_answer: int = 0  # this many next answers are cut off halfway, with the connection
    error: int = 0  # this many next answers are a 500, sent after the work was done
    cold_from: float = 1.0  # relative speed right after a start
    cold_ms: float = 0.0  # time in which the speed grows linearly to 1
    overload: float = math.inf  # a cold server crashes when this multiple of its capacity arrives in a second


@dataclass(slots=True)
class Seen:
    """One complete request as received."""

    method: bytes = b""
    target: bytes = b""
    headers: list[tuple[bytes, bytes]] = field(default_factory=list)
    body: bytearray = field(default_factory=bytearray)
    posting: str = ""

    def header(self, name: bytes) -> bytes | None:
        """The last header of this lower-case name."""
        return next((value for key, value in reversed(self.headers) if key.lower() == name), None)


class _Connection(Counted):
    def __init__(self, box: Box) -> None:
        super().__init__(box)
        self._box = box
        self._parser = httptools.HttpRequestParser(self)
        self._request = Seen()

    def data_received(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.transport.abort()

    def on_message_begin(self) -> None:
        self._request = Seen()

    def on_url(self, url: bytes) -> None:
        self._request.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self._request.headers.append((name, value))

    def on_body(self, body: bytes) -> None:
        self._request.body += body

    def on_message_complete(self) -> None:
        self._request.method = self._parser.get_method()
        self._box.take(self, self._request)


class Box(Counting):
    """One emulated server. `ran` counts, for each posting, how often its work was started."""

    def __init__(
        self,
        name: str = "box",
        behaviour: Behaviour | None = None,
        answer: Callable[[Seen], bytes | None] | None = None,
    ) -> None:
        """`answer`, if given, returns the bytes of the whole answer, or None to abort the connection."""
        super().__init__()
        self.name = name
        self.behaviour = behaviour or Behaviour()
        self.answer = answer
        self.on_begin: Callable[[Seen], None] = lambda seen: None
        self.ran: Counter[str] = Counter()
        self.classes: Counter[str] = Counter()  # requests started, by first path segment
        self.seen: deque[Seen] = deque(maxlen=1000)
        self.taken = self.served = self.declined = self.crashes = 0
        self.on_fall: Callable[[], None] = lambda: None
        self.began_s = -math.inf  # start time by the loop's clock; -inf: already warm
        self._window_start_s, self._window_requests = 0.0, 0
        self._queue: deque[tuple[_Connection, Seen]] = deque()
        self._busy_cores = 0
        self._loop: asyncio.AbstractEventLoop

    async def start(self, port: int = 0, host: str = "127.0.0.1", cold: bool = False) -> Box:
        """Listen; with `cold` the warm-up begins now."""
        self._loop = asyncio.get_running_loop()
        self._server = await self._loop.create_server(lambda: _Connection(self), host, port, backlog=1024)
        if cold:
            self.began_s = self._window_start_s = self._loop.time()
        return self

    @property
    def warmth(self) -> float:
        """Its speed relative to a warm server (0 to 1)."""
        behaviour = self.behaviour
        return warmth((self._loop.time() - self.began_s) * 1000.0, behaviour.cold_from, behaviour.cold_ms)

    def _overloaded(self) -> bool:
        """Whether the request that arrives now crashes the cold server."""
        behaviour, now, speed = self.behaviour, self._loop.time(), self.warmth
        if speed >= 1.0 or behaviour.work_ms <= 0.0:
            return False
        if now - self._window_start_s >= 1.0:
            self._window_start_s, self._window_requests = now, 0
        self._window_requests += 1
        return (
            self._window_requests > behaviour.overload * speed * behaviour.cores * 1000.0 / behaviour.work_ms
        )

    def _crash(self) -> None:
        self.crashes += 1
        self.on_fall()
        host, port = parse_address(self.endpoint)
        self.stop()
        self._loop.call_later(FALLEN_S, lambda: self._loop.create_task(self.start(port, host, cold=True)))

    def stop(self) -> None:
        """Crash: close the listener and reset all connections."""
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.transport.abort()
        self._queue.clear()

    # ----------------------------------------------------------------------- work

    def take(self, connection: _Connection, seen: Seen) -> None:
        self.taken += 1
        behaviour = self.behaviour
        if self._overloaded():
            self._crash()
            return
        if behaviour.decline:
            self.declined += 1
            connection.transport.write(
                b"HTTP/1.1 503 Unavailable\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n"
            )
            return
        self._queue.append((connection, seen))
        self._begin()

    def _begin(self, at: float | None = None) -> None:
        """Start queued requests. `at` is the loop time at which a core became free, so that a late timer does not
        reduce the capacity."""
        behaviour = self.behaviour
        now = self._loop.time()
        start_s = now if at is None else min(at, now)
        while self._queue and self._busy_cores < behaviour.cores:
            connection, seen = self._queue.popleft()
            if connection.transport.is_closing():
                continue  # its caller has given up, and no work has been done for it
            identifiers = (seen.header(POSTING), seen.header(b"idempotency-key"), seen.header(b"req-id"))
            seen.posting = next((name for name in identifiers if name), b"").decode("latin-1")
            self.ran[seen.posting] += 1
            self.classes[seen.target.split(b"/", 2)[1].partition(b"?")[0].decode("latin-1")] += 1
            self.seen.append(seen)
            self.on_begin(seen)
            if behaviour.hang:
                continue
            if behaviour.work_ms <= 0.0:
                self._send_answer(connection, seen)
                continue
            self._busy_cores += 1
            end_s = start_s + behaviour.work_ms * behaviour.slow / self.warmth / 1000.0
            self._loop.call_at(end_s, self._on_work_done, connection, seen, end_s)

    def _on_work_done(self, connection: _Connection, seen: Seen, end_s: float) -> None:
        self._busy_cores -= 1
        self._send_answer(connection, seen)
        self._begin(end_s)

    def _send_answer(self, connection: _Connection, seen: Seen) -> None:
        if connection.transport.is_closing():
            return
        if self.behaviour.hang:  # the hang was set while this request was in service
            return
        data = self.answer(seen) if self.answer is not None else self._default_answer(seen)
        if data is None:
            connection.transport.abort()
        elif self.behaviour.die_mid_answer > 0:
            self.behaviour.die_mid_answer -= 1
            connection.transport.write(data[: max(1, len(data) - 3)])
            connection.transport.close()
        else:
            self.served += 1
            connection.transport.write(data)

    def _default_answer(self, seen: Seen) -> bytes:
        segments = seen.target.partition(b"?")[0].split(b"/")
        status, body = 200, bytes(seen.body)
        if self.behaviour.error > 0:
            self.behaviour.error -= 1
            status, body = 500, b"posted, then failed"
        elif segments[1] == b"status":
            status = int(segments[2])
        elif segments[1] == b"big":
            body = b"x" * int(segments[2])
        elif segments[1] == b"balance":
            body = b'{"balance":"1204.50"}'
        lines = [
            b"HTTP/1.1 %d %s" % (status, REASONS.get(status, b"Word")),
            b"X-Box: " + self.name.encode(),
            b"Srv-Load: TEXT queue=%d" % len(self._queue),
        ]
        if status not in (204, 304):
            lines.append(b"Content-Length: %d" % len(body))
        if seen.method == b"HEAD" or status in (204, 304):
            body = b""
        return b"\r\n".join(lines) + b"\r\n\r\n" + body


def main(argv: list[str] | None = None) -> int:
    parser = command("loadbalancer.emulator.box", "An emulated server.")
    parser.add_argument("--cores", type=int, default=64)
    args = parser.parse_args(argv)
    return run(Box(args.name, Behaviour(work_ms=args.work_ms, cores=args.cores)), args)


if __name__ == "__main__":
    sys.exit(main())
