"""A stand-in ledger box: answers HTTP/1.1, keeps how often each posting ran, and misbehaves as told.

    python -m loadbalancer.emulator.box --port 0 --name box-1 --work-ms 4

prints `NAME listens on HOST:PORT` and serves until it is ended, or for `--seconds`.

What it answers: `GET /balance/...` a figure; anything else what it was sent; `/status/N` that status;
`/big/N` so many bytes. Every answer names the box in `X-Box`.
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

POSTING = b"x-posting"  # the header by which a posting is counted; else its idempotency key, else its id
FALLEN_S = 2.0  # until a box that fell over is started anew
REASONS = {200: b"OK", 204: b"No Content", 304: b"Not Modified", 500: b"Error", 503: b"Unavailable"}


@dataclass(slots=True)
class Behaviour:
    """How a box works from now on; changed while it runs."""

    work_ms: float = 0.0  # of one core, for each request
    cores: int = 64  # requests worked on at once
    slow: float = 1.0  # times the work
    hang: bool = False  # take requests and answer none
    decline: bool = False  # turn all away, as a box that drains
    die_mid_answer: int = 0  # so many next answers break off halfway, the connection with them
    error: int = 0  # so many next answers are a 500, after the work was done
    cold_from: float = 1.0  # share of its speed that it starts with,
    cold_ms: float = 0.0  # which grows evenly to the whole over this time
    overload: float = math.inf  # times what it can do by then, come in a second: a cold box falls over


@dataclass(slots=True)
class Seen:
    """One request as it came whole."""

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
        self._now = Seen()

    def data_received(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.transport.abort()

    def on_message_begin(self) -> None:
        self._now = Seen()

    def on_url(self, url: bytes) -> None:
        self._now.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self._now.headers.append((name, value))

    def on_body(self, body: bytes) -> None:
        self._now.body += body

    def on_message_complete(self) -> None:
        self._now.method = self._parser.get_method()
        self._box.take(self, self._now)


class Box(Counting):
    """One box. `ran` counts, for each posting, how often its work was begun."""

    def __init__(
        self,
        name: str = "box",
        behaviour: Behaviour | None = None,
        answer: Callable[[Seen], bytes | None] | None = None,
    ) -> None:
        """`answer`, if given, makes the whole answer's bytes; None closes the connection instead."""
        super().__init__()
        self.name = name
        self.behaviour = behaviour or Behaviour()
        self.answer = answer
        self.on_begin: Callable[[Seen], None] = lambda seen: None
        self.ran: Counter[str] = Counter()
        self.classes: Counter[str] = Counter()  # first path segment: how many were begun
        self.seen: deque[Seen] = deque(maxlen=1000)
        self.taken = self.served = self.declined = self.fell = 0
        self.on_fall: Callable[[], None] = lambda: None
        self.began_s = -math.inf  # when it was started, by the loop's clock; long ago
        self._window_s, self._asked = 0.0, 0
        self._queue: deque[tuple[_Connection, Seen]] = deque()
        self._busy = 0
        self._loop: asyncio.AbstractEventLoop

    async def start(self, port: int = 0, host: str = "127.0.0.1", cold: bool = False) -> Box:
        """`cold`: it warms up from now on."""
        self._loop = asyncio.get_running_loop()
        self._server = await self._loop.create_server(lambda: _Connection(self), host, port, backlog=1024)
        if cold:
            self.began_s = self._window_s = self._loop.time()
        return self

    @property
    def warmth(self) -> float:
        """Its speed, of the warm one's (0 to 1)."""
        how = self.behaviour
        return warmth((self._loop.time() - self.began_s) * 1000.0, how.cold_from, how.cold_ms)

    def _pushed(self) -> bool:
        """Whether it falls over by the request that comes now."""
        how, now, speed = self.behaviour, self._loop.time(), self.warmth
        if speed >= 1.0 or how.work_ms <= 0.0:
            return False
        if now - self._window_s >= 1.0:
            self._window_s, self._asked = now, 0
        self._asked += 1
        return self._asked > how.overload * speed * how.cores * 1000.0 / how.work_ms

    def _fall(self) -> None:
        self.fell += 1
        self.on_fall()
        host, port = parse_address(self.endpoint)
        self.stop()
        self._loop.call_later(FALLEN_S, lambda: self._loop.create_task(self.start(port, host, cold=True)))

    def stop(self) -> None:
        """Die: the listener goes and all connections are reset."""
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.transport.abort()
        self._queue.clear()

    # ----------------------------------------------------------------------- work

    def take(self, connection: _Connection, seen: Seen) -> None:
        self.taken += 1
        how = self.behaviour
        if self._pushed():
            self._fall()
            return
        if how.decline:
            self.declined += 1
            connection.transport.write(
                b"HTTP/1.1 503 Unavailable\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n"
            )
            return
        self._queue.append((connection, seen))
        self._begin()

    def _begin(self, at: float | None = None) -> None:
        """Work on what waits, from this moment of the loop's clock on: a timer that comes late takes nothing from
        what a core can do."""
        how = self.behaviour
        now = self._loop.time()
        begins = now if at is None else min(at, now)
        while self._queue and self._busy < how.cores:
            connection, seen = self._queue.popleft()
            if connection.transport.is_closing():
                continue  # its caller has given up; nothing of it has run
            names = (seen.header(POSTING), seen.header(b"idempotency-key"), seen.header(b"req-id"))
            seen.posting = next((name for name in names if name), b"").decode("latin-1")
            self.ran[seen.posting] += 1
            self.classes[seen.target.split(b"/", 2)[1].partition(b"?")[0].decode("latin-1")] += 1
            self.seen.append(seen)
            self.on_begin(seen)
            if how.hang:
                continue
            if how.work_ms <= 0.0:
                self._finish(connection, seen)
                continue
            self._busy += 1
            due = begins + how.work_ms * how.slow / self.warmth / 1000.0
            self._loop.call_at(due, self._worked, connection, seen, due)

    def _worked(self, connection: _Connection, seen: Seen, due: float) -> None:
        self._busy -= 1
        self._finish(connection, seen)
        self._begin(due)

    def _finish(self, connection: _Connection, seen: Seen) -> None:
        if connection.transport.is_closing():
            return
        if self.behaviour.hang:  # it began to hang while this was being worked on
            return
        data = self.answer(seen) if self.answer is not None else self._reply(seen)
        if data is None:
            connection.transport.abort()
        elif self.behaviour.die_mid_answer > 0:
            self.behaviour.die_mid_answer -= 1
            connection.transport.write(data[: max(1, len(data) - 3)])
            connection.transport.close()
        else:
            self.served += 1
            connection.transport.write(data)

    def _reply(self, seen: Seen) -> bytes:
        parts = seen.target.partition(b"?")[0].split(b"/")
        status, body = 200, bytes(seen.body)
        if self.behaviour.error > 0:
            self.behaviour.error -= 1
            status, body = 500, b"posted, then failed"
        elif parts[1] == b"status":
            status = int(parts[2])
        elif parts[1] == b"big":
            body = b"x" * int(parts[2])
        elif parts[1] == b"balance":
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
    parser = command("loadbalancer.emulator.box", "A stand-in box.")
    parser.add_argument("--cores", type=int, default=64)
    args = parser.parse_args(argv)
    return run(Box(args.name, Behaviour(work_ms=args.work_ms, cores=args.cores)), args)


if __name__ == "__main__":
    sys.exit(main())
