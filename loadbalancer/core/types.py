"""The interfaces between frontends, pools and upstreams, for any protocol."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Any, Protocol

from loadbalancer.core.address import Address
from loadbalancer.interface import Result

Message = Any  # a request as a frontend submits it; only the frontend and its upstream know the type
Reply = Any  # a server's answer as the upstream returns it; only the frontend and its upstream know the type


class AnswerKind(Enum):
    """The three kinds of the one final answer."""

    SERVED = "served"
    REFUSED = "refused"  # a retry is harmless
    FAILED = "failed"  # the request may have taken effect


class AnswerCause(Enum):
    """The reason for the final answer."""

    ANSWERED = "answered"
    SHED = "shed"  # the balancer rejected it
    NO_ROOM = "no room"  # rejected, as this process could open no connection in time
    NO_SERVER = "no server"  # rejected, as no server is known
    TIMEOUT = "timeout"  # the last attempt got no answer in time
    BROKEN = "broken"  # the last attempt failed in another way
    LATE = "late"  # the deadline passed before the balancer had decided
    LEAVING = "leaving"  # the process is shutting down
    FAULT = "fault"  # the balancer raised an exception


@dataclass(slots=True, frozen=True)
class Answer:
    """The final answer to a request.

    `reply` is a server's answer: the successful one if the request was served, or the last one if it ended in a
    server's error; None where no server answered.
    """

    kind: AnswerKind
    cause: AnswerCause
    reply: Reply = None
    retry_after_ms: float = 0.0  # 0: no Retry-After is sent


@dataclass(slots=True)
class RequestCapacity:
    """How many requests are open and may be open at once, over all pools of a process."""

    limit: int
    open: int = 0

    @property
    def full(self) -> bool:
        """Whether no more requests may be opened."""
        return self.open >= self.limit


class OnEnd(Protocol):
    """Called when an attempt has ended."""

    def __call__(
        self, result: Result, reply: Reply, report: dict[str, float] | None, server_s: float = 0.0
    ) -> None:
        """Receive the result, the server's reply if there is one, and the load report in it.

        `server_s` is the part of the attempt's duration that the server took, in seconds. The rest was spent in this
        process: waiting for a connection, and for its event loop to write and read.
        """


class Attempt(Protocol):
    """One attempt: a request sent to one server."""

    def cancel(self) -> None:
        """End the attempt with the result CANCELLED, unless it has ended."""

    def give_up_unwritten(self) -> None:
        """End the attempt with the result MOOT, unless its last byte has been sent."""


class Upstream(Protocol):
    """Sends attempts to servers, each at most once."""

    @property
    def size(self) -> int:
        """The number of connections to servers, including those being opened."""

    @property
    def waiting(self) -> int:
        """The number of attempts that wait for a connection because this process may open no more."""

    def add(self, name: str, endpoint: Address, launched_ms: float | None = None) -> None:
        """Add a server, or update its endpoint and its start time (Unix time in ms; None: long ago)."""

    def remove(self, name: str) -> None:
        """Remove a server: nothing more is sent to it, and attempts not sent yet end as CONNECT_FAILED."""

    def send(self, name: str, message: Message, timeout_s: float, on_end: OnEnd) -> Attempt | None:
        """Start an attempt; returns None if no such server was added.

        The attempt ends within `timeout_s` with one call of `on_end`, which comes after this method has returned.
        """

    def close(self) -> None:
        """Close all connections and end all attempts immediately."""
