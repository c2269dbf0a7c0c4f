"""Attempts in HTTP/1.1; a `Wire` says what a message is and what an answer stands for."""

from __future__ import annotations

from typing import Protocol

from loadbalancer.core.connection_pool import Attempt, ConnectionPool
from loadbalancer.core.types import Message
from loadbalancer.http.client import ClientConnection, Response
from loadbalancer.interface import Result


class Wire(Protocol):
    """How a message goes to a server, and what its answer stands for."""

    max_body: int  # bytes of an answer's body
    raw: bool  # whether an answer's headers are kept as they came

    def encode(self, message: Message, wait_s: float) -> bytes:
        """Return the request's bytes for a server whose answer is waited for `wait_s`."""

    def bodiless(self, message: Message) -> bool:
        """Whether the answer to it has no body, as to HEAD."""

    def read(self, response: Response) -> tuple[Result, dict[str, float] | None]:
        """Return the outcome that a complete answer stands for, and the load report that it holds."""


class HttpConnectionPool(ConnectionPool):
    """Pooled HTTP/1.1 connections; `wire` says how messages are written and answers read."""

    def __init__(
        self, limit: int, server_idle_s: float, connect_timeout_s: float, wire: Wire, rest_s: float = 0.0
    ) -> None:
        super().__init__(limit, server_idle_s, connect_timeout_s, rest_s)
        self.wire = wire

    def connection(self) -> ClientConnection:
        """Return a new client connection."""
        return ClientConnection(self.forget, self.wire.max_body, self.wire.raw)

    def start(self, connection: ClientConnection, message: Message, wait_s: float, attempt: Attempt) -> None:
        """Write a message whose answer is waited for `wait_s`."""
        wire = self.wire
        connection.start(wire.encode(message, wait_s), attempt, wire.bodiless(message))

    def outcome(self, message: Message, reply: Response) -> tuple[Result, dict[str, float] | None]:
        """Return the outcome that a complete answer stands for, and its load report."""
        return self.wire.read(reply)
