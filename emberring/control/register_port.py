"""The interface of the register that the control role needs."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Protocol

from emberring.distribution.records import NodeRecord


class Register(Protocol):
    """A replicated value that is changed by compare-and-swap; `emberring.register.service.RegisterService`."""

    @property
    def identity(self) -> str:
        """The identity of this node's replica, kept on its disk."""

    async def start(self) -> None:
        """Recover from the disk and begin to answer the other replicas."""

    async def stop(self) -> None:
        """Stop answering and release the disk."""

    async def change(self, decide: Callable[[bytes | None], bytes | None], timeout_s: float) -> bytes | None:
        """Replace the value by `decide(value)`, or confirm it where that is None.

        The value committed then, None or empty before the first one. Raises `NoQuorumError`, or `UnknownOutcomeError`
        where the outcome is not known.
        """

    async def read(self, timeout_s: float) -> bytes | None:
        """The value that a quorum holds. Raises `NoQuorumError`."""

    def subscribe(self, callback: Callable[[bytes], None]) -> None:
        """Call this with the committed values that this node learns of, never an older one after a newer one."""

    def majority_age_s(self) -> float:
        """How long ago (s) a majority was in contact."""

    def is_quorum(self, identities: frozenset[str]) -> bool:
        """Whether these replicas are a quorum of the replica set in force, as far as this node knows."""

    def note_peers(self, records: Sequence[NodeRecord]) -> None:
        """Report the other live control nodes."""
