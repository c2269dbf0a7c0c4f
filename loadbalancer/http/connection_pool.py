"""Attempts over HTTP/1.1; a `Wire` encodes messages and interprets answers."""

from __future__ import annotations

from typing import Protocol

from loadbalancer.core.connection_pool import Attempt, ConnectionPool
from loadbalancer.core.types import Message
from loadbalancer.http.client import ClientConnection, Response
from loadbalancer.interface import Result


class Wire(Protocol):
    """Encodes messages to servers and interprets their answers."""

    max_body: int  # limit of an answer's body in bytes
    raw: bool  # whether an answer's headers are also kept unchanged

    def encode(self, message: Message, wait_s: float) -> bytes:
        """Return the request's bytes; its answer must arrive within `wait_s`."""

    def bodiless(self, message: Message) -> bool:
        """Whether the answer to the message has no body, as for HEAD."""

    def read(self, response: Response) -> tuple[Result, dict[str, float] | None]:
        """Return the result of a complete answer, and the load report in it."""


class HttpConnectionPool(ConnectionPool):
    """Pooled HTTP/1.1 connections; `wire` encodes messages and interprets answers."""

    def __init__(
        self,
        limit: int,
        server_idle_s: float,
        connect_timeout_s: float,
        wire: Wire,
        reuse_delay_s: float = 0.0,
    ) -> None:
        super().__init__(limit, server_idle_s, connect_timeout_s, reuse_delay_s)
        self.wire = wire

    def connection(self) -> ClientConnection:
        """Return a new client connection."""
        return ClientConnection(self.forget, self.wire.max_body, self.wire.raw)

    def start(self, connection: ClientConnection, message: Message, wait_s: float, attempt: Attempt) -> None:
        """Write a message whose answer must arrive within `wait_s`."""
        wire = self.wire
        connection.start(wire.encode(message, wait_s), attempt, wire.bodiless(message))

    def outcome(self, message: Message, reply: Response) -> tuple[Result, dict[str, float] | None]:
        """Return the result of a complete answer, and the load report in it."""
        return self.wire.read(reply)
