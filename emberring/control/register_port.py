"""The interface of the register that the control role uses."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Protocol

from emberring.distribution.records import NodeRecord


class Register(Protocol):
    """A replicated value, changed by compare-and-swap. Implemented by `emberring.register.service.RegisterService`."""

    @property
    def identity(self) -> str:
        """The identity of this node's replica, stored on its disk."""

    async def start(self) -> None:
        """Recover from disk and start answering the other replicas."""

    async def stop(self) -> None:
        """Stop answering and release the disk."""

    async def change(self, decide: Callable[[bytes | None], bytes | None], timeout_s: float) -> bytes | None:
        """Replace the value by `decide(value)`, or confirm the current one if that is None.

        Returns the committed value, None or empty before the first change. Raises `NoQuorumError`, or
        `UnknownOutcomeError` if the outcome is unknown.
        """

    async def read(self, timeout_s: float) -> bytes | None:
        """The newest committed value, read from a quorum. Raises `NoQuorumError`."""

    def subscribe(self, callback: Callable[[bytes], None]) -> None:
        """Call `callback` with each committed value that this node learns, never an older one after a newer one."""

    def majority_age_s(self) -> float:
        """How long ago (s) a majority was in contact."""

    def is_quorum(self, identities: frozenset[str]) -> bool:
        """Whether these replicas are a quorum of the current replica set, as far as this node knows."""

    def set_peers(self, records: Sequence[NodeRecord]) -> None:
        """Report the other live control nodes."""
