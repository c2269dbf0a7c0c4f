"""An emulated calling application: plain HTTP/1.1 with persistent connections, one request at a time on each."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from loadbalancer.core.address import Address
from loadbalancer.http.client import ClientConnection, Response, ResponseFuture

MAX_BODY = 16 * 1024 * 1024


@dataclass
class Application:
    """A client of one address; `timeout_s` limits the wait for each answer."""

    address: Address
    timeout_s: float = 10.0
    idle: list[ClientConnection] = field(default_factory=list)

    async def ask(
        self, method: str, target: str, body: bytes = b"", headers: dict[str, str] | None = None
    ) -> Response:
        """Send a request and return the whole answer; TimeoutError or OSError without one. It does not retry."""
        connection = await self._free_connection()
        lines = [f"{method} {target} HTTP/1.1", f"Host: {self.address[0]}:{self.address[1]}"]
        lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
        if body or method not in ("GET", "HEAD"):
            lines.append(f"Content-Length: {len(body)}")
        exchange = ResponseFuture()
        connection.start("\r\n".join(lines).encode() + b"\r\n\r\n" + body, exchange, method == "HEAD")
        try:
            async with asyncio.timeout(self.timeout_s):
                response = await exchange.done
        except (TimeoutError, asyncio.CancelledError):
            connection.abort()
            raise
        if connection.usable:
            self.idle.append(connection)
        return response

    async def _free_connection(self) -> ClientConnection:
        while self.idle:
            connection = self.idle.pop()
            if connection.usable:
                return connection
            connection.abort()
        _, connection = await asyncio.get_running_loop().create_connection(
            lambda: ClientConnection(lambda _: None, MAX_BODY, raw=True), *self.address
        )
        return connection

    def close(self) -> None:
        for connection in self.idle:
            connection.abort()
        self.idle.clear()
