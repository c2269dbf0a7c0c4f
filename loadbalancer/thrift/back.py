"""Thrift attempts: the connection pool to upstream servers, and the result that each reply means."""

from __future__ import annotations

from loadbalancer.core.connection_pool import Attempt, ConnectionPool
from loadbalancer.interface import Result
from loadbalancer.thrift.client import OutgoingCall, ThriftConnection, ThriftWire
from loadbalancer.thrift.codec import read_exception
from loadbalancer.thrift.types import ExceptionKind, Message, MessageKind, ProtocolError

# Exceptions caused by the call itself: any other server would return the same one, and the server is healthy.
CALLER_ERRORS = frozenset(
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
    """Pooled Thrift connections to the servers of one pool."""

    def __init__(self, limit: int, server_idle_s: float, connect_timeout_s: float, wire: ThriftWire) -> None:
        super().__init__(limit, server_idle_s, connect_timeout_s)
        self.wire = wire

    def connection(self) -> ThriftConnection:
        return ThriftConnection(self.forget, self.wire)

    def start(
        self, connection: ThriftConnection, message: OutgoingCall, wait_s: float, attempt: Attempt
    ) -> None:
        connection.start(message, wait_s, attempt)

    def outcome(self, message: OutgoingCall, reply: Message | None) -> tuple[Result, dict[str, float] | None]:
        """The result of an attempt, and no load report.

        An exception that the service declares is a successful reply. `reply` is None for a oneway call that is
        assumed to have run.
        """
        if reply is None or reply.kind is MessageKind.REPLY:
            return Result.OK, None
        try:
            kind, _ = read_exception(reply.body, reply.form)
        except ProtocolError:
            return Result.ERROR, None
        if kind in self.wire.full_types:
            message.sent -= 1
            return Result.FULL, None
        return Result.OK if kind in CALLER_ERRORS else Result.ERROR, None
