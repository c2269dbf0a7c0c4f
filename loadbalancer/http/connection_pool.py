"""Attempts in HTTP/1.1; what a message is and what an answer stands for, a `Wire` says."""

from __future__ import annotations

from typing import Any, Protocol

from loadbalancer.core.connection_pool import Attempt, ConnectionPool
from loadbalancer.http.client import ClientConnection, Response
from loadbalancer.interface import Result


class Wire(Protocol):
    """How a message goes to a server, and what its answer stands for."""

    max_body: int  # bytes of an answer's body
    raw: bool  # whether an answer's headers are kept as they came

    def encode(self, message: Any, wait_s: float) -> bytes:
        """The request as it goes to a server that is waited for this long."""

    def bodiless(self, message: Any) -> bool:
        """Whether the answer to it has no body, as to HEAD."""

    def read(self, response: Response) -> tuple[Result, dict[str, float] | None]:
        """The outcome that a whole answer stands for, and the load report that it holds."""


class HttpConnectionPool(ConnectionPool):
    def __init__(
        self, limit: int, server_idle_s: float, connect_timeout_s: float, wire: Wire, rest_s: float = 0.0
    ) -> None:
        super().__init__(limit, server_idle_s, connect_timeout_s, rest_s)
        self.wire = wire

    def connection(self) -> ClientConnection:
        return ClientConnection(self.forget, self.wire.max_body, self.wire.raw)

    def start(self, connection: ClientConnection, message: Any, wait_s: float, attempt: Attempt) -> None:
        wire = self.wire
        connection.start(wire.encode(message, wait_s), attempt, wire.bodiless(message))

    def outcome(self, message: Any, reply: Response) -> tuple[Result, dict[str, float] | None]:
        return self.wire.read(reply)
