"""Attempts in Thrift: what a reply stands for, and the pooled connections that carry calls."""

from __future__ import annotations

from loadbalancer.core.connection_pool import Attempt, ConnectionPool
from loadbalancer.interface import Result
from loadbalancer.thrift.client import Outbound, ThriftConnection, ThriftWire
from loadbalancer.thrift.codec import read_exception
from loadbalancer.thrift.types import ExceptionKind, Message, MessageKind, ProtocolError

# A server that answers so has been asked wrongly: another would say the same, and nothing is wrong with it.
CALLERS_FAULT = frozenset(
    (
        ExceptionKind.UNKNOWN_METHOD,
        ExceptionKind.INVALID_MESSAGE_TYPE,
        ExceptionKind.WRONG_METHOD_NAME,
        ExceptionKind.PROTOCOL_ERROR,
        ExceptionKind.INVALID_PROTOCOL,
        ExceptionKind.UNSUPPORTED_CLIENT_TYPE,
    )
)


class ThriftConnectionPool(ConnectionPool):
    def __init__(self, limit: int, server_idle_s: float, connect_timeout_s: float, wire: ThriftWire) -> None:
        super().__init__(limit, server_idle_s, connect_timeout_s)
        self.wire = wire

    def connection(self) -> ThriftConnection:
        return ThriftConnection(self.forget, self.wire)

    def start(self, connection: ThriftConnection, message: Outbound, wait_s: float, attempt: Attempt) -> None:
        connection.start(message, wait_s, attempt)

    def outcome(self, message: Outbound, reply: Message | None) -> tuple[Result, dict[str, float] | None]:
        """A declared exception of the service is an answer; no reply stands for a oneway call that has run."""
        if reply is None or reply.kind is MessageKind.REPLY:
            return Result.OK, None
        try:
            kind, _ = read_exception(reply.body, reply.form)
        except ProtocolError:
            return Result.ERROR, None
        if kind in self.wire.full_types:
            message.sent -= 1
            return Result.FULL, None
        return Result.OK if kind in CALLERS_FAULT else Result.ERROR, None
