"""Loading of the batch jobs of a shard that this store owns now: their definitions are decoded one at a time. No I/O.

Decoding takes time in proportion to what is stored, and an owner that decodes everything in one step can't renew its
lease meanwhile. So a definition is decoded only when it is needed, by a `DecodeDefinition` that the caller may carry
out in another thread.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator

import attrs

from emberring.jobs.batch_job import BatchJob
from emberring.jobs.owned import OwnedJob
from emberring.jobs.records import DEFINITION, END


@attrs.frozen
class DecodeDefinition:
    """Decode a batch job's definition and pass the items to `JobManager.on_definition_decoded` with this number."""

    number: int
    value: bytes


@attrs.frozen
class DeferredCall:
    """A call about a batch job that is not loaded yet; `resume` handles it at the given time once it is."""

    call: int
    resume: Callable[[float], None]


@attrs.frozen
class DecodedJob:
    """A batch job whose definition has been decoded, and the calls that waited for it.

    `known`: the same batch job as it was loaded before this store claimed the shard again.
    """

    key: str
    owned: OwnedJob
    known: BatchJob | None
    calls: tuple[DeferredCall, ...] = ()


class JobLoading:
    """The batch jobs that are owned and not loaded yet.

    Those that may have items to run are loaded in the order of their records; those that have ended are loaded only
    when a caller asks for them. The latter come first.
    """

    def __init__(self) -> None:
        self._unfinished: dict[str, OwnedJob] = {}
        self._ended: dict[str, OwnedJob] = {}
        self._damaged: set[str] = set()  # keys of batch jobs whose definition can't be decoded
        self._known: dict[str, BatchJob] = {}
        self._deferred: dict[str, list[DeferredCall]] = {}  # by key, in the order in which to load them
        self._decoding = ""  # key of the batch job whose definition is being decoded
        self._number = 0  # of the latest `DecodeDefinition`; the result of an earlier one is ignored

    def __contains__(self, key: str) -> bool:
        return key in self._unfinished or key in self._ended or key in self._damaged

    def __len__(self) -> int:
        return len(self._unfinished) + len(self._ended) + len(self._damaged)

    @property
    def known(self) -> dict[str, BatchJob]:
        """Batch jobs that were known before this store claimed the shard again, and are not loaded again yet."""
        return {key: job for key, job in self._known.items() if key in self}

    @property
    def has_unfinished(self) -> bool:
        """Whether a batch job that is not loaded may have items to run."""
        return bool(self._unfinished)

    def is_unfinished(self, key: str) -> bool:
        """Return whether this batch job is not loaded and may have items to run."""
        return key in self._unfinished

    def has_ended(self, key: str) -> bool:
        """Return whether this batch job is not loaded and has ended."""
        return key in self._ended

    def ended(self) -> Iterator[tuple[str, OwnedJob]]:
        """Yield the batch jobs that have ended and are not loaded."""
        yield from self._ended.items()

    def add(self, key: str, owned: OwnedJob, known: BatchJob | None) -> None:
        """Add a batch job to be loaded."""
        target = self._ended if END in owned.slots else self._unfinished
        target[key] = owned
        if known is not None:
            self._known[key] = known

    def discard(self, key: str) -> None:
        """Remove a batch job that has been deleted."""
        self._unfinished.pop(key, None)
        self._ended.pop(key, None)
        self._known.pop(key, None)
        self._damaged.discard(key)

    def mark_damaged(self, key: str) -> None:
        """Record that a definition can't be decoded: the batch job is owned, and calls about it are refused."""
        self._damaged.add(key)

    def clear(self) -> None:
        """Remove all batch jobs; the result of a decoding in progress is ignored."""
        self._unfinished.clear()
        self._ended.clear()
        self._damaged.clear()
        self._known.clear()
        self._decoding = ""

    def defer(self, key: str, call: DeferredCall) -> None:
        """Keep a call until its batch job is loaded, which is then loaded before others."""
        self._deferred.setdefault(key, []).append(call)

    def take_deferred(self, key: str) -> tuple[DeferredCall, ...]:
        """Remove and return the calls about a batch job."""
        return tuple(self._deferred.pop(key, ()))

    def take_all_deferred(self) -> list[DeferredCall]:
        """Remove and return all calls that wait."""
        calls = [call for waiting in self._deferred.values() for call in waiting]
        self._deferred.clear()
        return calls

    def is_damaged(self, key: str) -> bool:
        """Return whether the definition of this batch job can't be decoded."""
        return key in self._damaged

    def next_decoding(self) -> DecodeDefinition | None:
        """Return the next definition to decode; None while one is being decoded or if none is due."""
        key = "" if self._decoding else next(iter(self._deferred or self._unfinished), "")
        if not key:
            return None
        self._decoding = key
        self._number += 1
        owned = self._unfinished.get(key) or self._ended[key]
        return DecodeDefinition(self._number, owned.slots[DEFINITION].value)

    def finish_decoding(self, number: int) -> DecodedJob | None:
        """Return the batch job whose definition was decoded, and remove it; None if it is not owned any more."""
        if number != self._number:
            return None
        key, self._decoding = self._decoding, ""
        if key not in self:
            return None
        owned = self._unfinished.get(key) or self._ended[key]
        decoded = DecodedJob(key, owned, self._known.get(key), self.take_deferred(key))
        self.discard(key)
        return decoded
