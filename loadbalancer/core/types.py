"""What fronts, pools and backs say to one another. No protocol's words stand here."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Any, Protocol

from loadbalancer.core.address import Address
from loadbalancer.interface import Result


class AnswerKind(Enum):
    """The three kinds of the one final answer."""

    SERVED = "served"
    REFUSED = "refused"  # trying again is harmless
    FAILED = "failed"  # nothing is promised about effects


class AnswerCause(Enum):
    """Why an answer is what it is."""

    ANSWERED = "answered"
    SHED = "shed"  # the decision module gave it up
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

    `reply` is what the back had from a server, in the back's own form: the good answer of a request that
    was served, or the last one of a request that ended in a server's error; None where no server answered.
    """

    kind: AnswerKind
    cause: AnswerCause
    reply: Any = None
    retry_after_ms: float = 0.0  # 0: nothing is said about when to come back


@dataclass(slots=True)
class RequestCapacity:
    """How many requests may be open at once, over all pools of a process."""

    limit: int
    open: int = 0

    @property
    def full(self) -> bool:
        return self.open >= self.limit


class OnEnd(Protocol):
    """Told how an attempt ended."""

    def __call__(
        self, result: Result, reply: Any, report: dict[str, float] | None, server_s: float = 0.0
    ) -> None:
        """The result, the server's reply if one came, the load report that it held, and what of the attempt's time the
        server took, in seconds. The rest is this process's own: waiting for a connection of its own, for its loop to
        write and to read."""


class Attempt(Protocol):
    """One request on its way to one server."""

    def cancel(self) -> None:
        """Give it up; `on_end` is told CANCELLED, unless the attempt is over."""

    def give_up_unwritten(self) -> None:
        """Give it up unless its last byte has left; `on_end` is then told MOOT."""


class Upstream(Protocol):
    """Carries attempts to servers. Nothing is ever sent twice by it."""

    @property
    def size(self) -> int:
        """Connections to servers, those that are being opened too."""

    @property
    def waiting(self) -> int:
        """Attempts that wait for a connection, for want of room in this process."""

    def add(self, name: str, endpoint: Address, launched_ms: float | None = None) -> None:
        """Name a server, its new endpoint or its latest start (Unix time; None: long ago)."""

    def remove(self, name: str) -> None:
        """Nothing new goes to this server; attempts that have sent nothing yet end as CONNECT_FAILED."""

    def send(self, name: str, message: Any, timeout_s: float, on_end: OnEnd) -> Attempt | None:
        """Start an attempt, which ends within `timeout_s` with one call of `on_end`, never before this call
        has returned; None if no such server is named."""

    def close(self) -> None:
        """End everything at once."""
