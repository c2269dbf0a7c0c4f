"""Host of the replicas of a store: passes requests to them, writes their entries to the journal, sends replies."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from emberring.errors import DiskFailedError, EmberringError, FencedError
from emberring.jobs.messages import LeaseRenewal, RenewLeases, RenewLeasesReply, ReplicaReply, ReplicaRequest
from emberring.jobs.replica import FailCall, PersistEntry, Replica, ReplicaAction, SendReply
from emberring.jobs.replica_log import Copied, Entry, encode_entry, split_by_size
from emberring.journal.journal import Journal
from emberring.journal.layout import Position

MAX_REWRITE_ENTRY_BYTES = 512 * 1024  # of values in one entry

ResultCallback = Callable[[ReplicaReply | EmberringError], None]


class ReplicaHost:
    """Host of the replicas of all shards. Not thread-safe: used from one event loop.

    `max_bytes`: total size of all values above which no more batch jobs should be accepted.
    """

    def __init__(self, identity: str, replicas: dict[int, Replica], journal: Journal, max_bytes: int) -> None:
        self.identity = identity
        self._max_bytes = max_bytes
        self.replicas = replicas
        self._journal = journal
        self._calls: dict[int, ResultCallback] = {}
        self._next_call = 1
        journal.set_rewriter(self._rewrite_segment)

    async def answer(self, message: ReplicaRequest) -> ReplicaReply:
        """Return the reply to a request of another store.

        Raises `FencedError` if the request is addressed to another disk, and `DiskFailedError` if the disk rejects
        writes.
        """
        if message.target != self.identity:
            raise FencedError(f"{message.target} is not the disk of this store")
        future: asyncio.Future[ReplicaReply | EmberringError] = asyncio.get_running_loop().create_future()

        def callback(reply: ReplicaReply | EmberringError) -> None:
            if not future.done():
                future.set_result(reply)

        self.handle(message, callback)
        reply = await future
        if isinstance(reply, EmberringError):
            raise reply
        return reply

    def handle(self, message: ReplicaRequest, callback: ResultCallback) -> None:
        """Handle a request; `callback` receives the reply or the error."""
        call = self._next_call
        self._next_call += 1
        self._calls[call] = callback
        now_s = asyncio.get_running_loop().time()
        replica = self.replicas[message.shard]
        self._perform(replica, replica.handle(now_s, call, message))

    def renew_lease(self, message: RenewLeases) -> RenewLeasesReply:
        """Renew the leases of an owner; raises `FencedError` if they are addressed to another disk."""
        if message.target != self.identity:
            raise FencedError(f"{message.target} is not the disk of this store")
        now_s = asyncio.get_running_loop().time()
        renewals: list[LeaseRenewal] = []
        for lease in message.leases:
            replica = self.replicas[lease.shard]
            renewal, actions = replica.renew_lease(now_s, lease)
            renewals.append(renewal)
            self._perform(replica, actions)
        return RenewLeasesReply(tuple(renewals))

    def erase_shard(self, shard: int) -> None:
        """Erase the records of a shard of which this store is not a replica any more."""
        replica = self.replicas[shard]
        self._perform(replica, replica.leave(asyncio.get_running_loop().time()))

    def stalled_s(self) -> float:
        """Return how many seconds the oldest entry has been waiting for the disk."""
        now_s = asyncio.get_running_loop().time()
        return max(replica.oldest_pending_s(now_s) for replica in self.replicas.values())

    @property
    def overloaded(self) -> bool:
        """Whether the stored values exceed `max_bytes`, so that no more batch jobs should be accepted."""
        return sum(replica.value_bytes for replica in self.replicas.values()) > self._max_bytes

    @property
    def failed(self) -> bool:
        """Whether the disk rejects writes at present."""
        return self._journal.failed

    def _perform(self, replica: Replica, actions: list[ReplicaAction]) -> None:
        for action in actions:
            if isinstance(action, SendReply):
                self._calls.pop(action.call)(action.body)
            elif isinstance(action, FailCall):
                self._calls.pop(action.call)(DiskFailedError("the disk rejected the write"))
            else:
                self._append(replica, action)

    def _append(self, replica: Replica, action: PersistEntry) -> None:
        future = self._write(replica, action.entry)
        future.add_done_callback(lambda done: self._on_appended(replica, action.token, done))

    def _write(self, replica: Replica, entry: Entry, reclaiming: bool = False) -> asyncio.Future[Position]:
        clock_s = asyncio.get_running_loop().time()
        return self._journal.append(encode_entry(replica.shard, clock_s, entry), reclaiming)

    def _on_appended(self, replica: Replica, token: int, future: asyncio.Future[Position]) -> None:
        if future.cancelled() or future.exception() is not None:
            self._perform(replica, replica.persist_failed(token))
            return
        now_s = asyncio.get_running_loop().time()
        self._perform(replica, replica.persisted(now_s, token, future.result().segment))

    async def _rewrite_segment(self, segment: int) -> None:
        """Append the live entries of a segment of the journal again, so that it can be reclaimed."""
        for replica in self.replicas.values():
            for entry in replica.live_entries(asyncio.get_running_loop().time(), segment):
                for chunk in _split_entry(entry):
                    position = await self._write(replica, chunk, reclaiming=True)
                    replica.on_relocated(chunk, position.segment)


def _split_entry(entry: Entry) -> list[Entry]:
    if not isinstance(entry, Copied):
        return [entry]
    return [Copied(entry.term, records) for records in split_by_size(entry.records, MAX_REWRITE_ENTRY_BYTES)]
