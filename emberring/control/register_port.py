"""What the control role needs of the register."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Protocol

from emberring.distribution.records import NodeRecord


class Register(Protocol):
    """A replicated value that is changed by compare-and-swap; `emberring.register.service.RegisterService`."""

    @property
    def identity(self) -> str:
        """The identity of this node's replica."""

    async def start(self) -> None:
        """Read what the disk holds and begin to answer the other replicas."""

    async def stop(self) -> None:
        """End."""

    async def change(self, decide: Callable[[bytes | None], bytes | None], timeout_s: float) -> bytes | None:
        """Swap the value for `decide(value)`, or confirm it where that is None; the value that holds then, None
        or nothing where there is none yet.
        `NoQuorumError` or `UnknownOutcomeError` where the outcome is not known."""

    async def read(self, timeout_s: float) -> bytes | None:
        """The value that a quorum holds."""

    def subscribe(self, callback: Callable[[bytes], None]) -> None:
        """Tell every chosen value that this node learns of, none older than one told before."""

    def majority_age_s(self) -> float:
        """How long ago a majority was in contact (seconds)."""

    def is_quorum(self, identities: frozenset[str]) -> bool:
        """Whether these replicas are a quorum of the replica set in force, as far as this node knows."""

    def note_peers(self, records: Sequence[NodeRecord]) -> None:
        """The other control nodes that live."""
