"""The interfaces between fronts, pools and upstreams, for any protocol."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Any, Protocol

from loadbalancer.core.address import Address
from loadbalancer.interface import Result

Message = Any  # what a front submits; only it and its upstream know the type
Reply = Any  # a server's answer in the upstream's own form; only it and its front know the type


class AnswerKind(Enum):
    """The three kinds of the one final answer."""

    SERVED = "served"
    REFUSED = "refused"  # a retry is harmless
    FAILED = "failed"  # nothing is promised about effects


class AnswerCause(Enum):
    """Why an answer is what it is."""

    ANSWERED = "answered"
    SHED = "shed"  # the balancer rejected it
    NO_ROOM = "no room"  # the same, as this process could open no connection in time
    NO_SERVER = "no server"  # the same, as no server is known
    TIMEOUT = "timeout"  # the last attempt got no answer in time
    BROKEN = "broken"  # the last attempt failed in another way
    LATE = "late"  # its time was up before the decision module had said anything
    LEAVING = "leaving"  # the process ends
    FAULT = "fault"  # the decision module failed


@dataclass(slots=True, frozen=True)
class Answer:
    """The final answer to a request.

    `reply` is what the upstream had from a server: the good answer of a request that
    was served, or the last one of a request that ended in a server's error; None where no server answered.
    """

    kind: AnswerKind
    cause: AnswerCause
    reply: Reply = None
    retry_after_ms: float = 0.0  # 0: nothing is said about when to come back


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
        """Take the result, the server's reply if one came, and the load report that it held.

        `server_s` is what of the attempt's time the server took, in seconds. The rest is this process's own: waiting
        for a connection of its own, for its loop to write and to read.
        """


class Attempt(Protocol):
    """One request on its way to one server."""

    def cancel(self) -> None:
        """Give it up; its result is CANCELLED, unless it is over."""

    def give_up_unwritten(self) -> None:
        """Give it up unless its last byte has left; its result is then MOOT."""


class Upstream(Protocol):
    """Carries attempts to servers; it never sends one twice."""

    @property
    def size(self) -> int:
        """Connections to servers, those that are being opened too."""

    @property
    def waiting(self) -> int:
        """Attempts that wait for a connection, for want of capacity in this process."""

    def add(self, name: str, endpoint: Address, launched_ms: float | None = None) -> None:
        """Add a server, or take its new endpoint or its latest start (Unix time in ms; None: long ago)."""

    def remove(self, name: str) -> None:
        """Send nothing more to this server; attempts that have sent nothing yet end as CONNECT_FAILED."""

    def send(self, name: str, message: Message, timeout_s: float, on_end: OnEnd) -> Attempt | None:
        """Start an attempt; None if no such server was added.

        It ends within `timeout_s` with one call of `on_end`, never before this call has returned.
        """

    def close(self) -> None:
        """End everything at once."""
