"""The replicas of this store on its journal: requests in, entries to the disk, replies out."""

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

Done = Callable[[ReplicaReply | EmberringError], None]


class ReplicaHost:
    """Runs the replicas of all shards. Used from one event loop.

    `max_bytes`: the size of all values above which no more batch jobs should be accepted.
    """

    def __init__(self, identity: str, replicas: dict[int, Replica], journal: Journal, max_bytes: int) -> None:
        self.identity = identity
        self._max_bytes = max_bytes
        self.replicas = replicas
        self._journal = journal
        self._calls: dict[int, Done] = {}
        self._next_call = 1
        journal.set_rewriter(self._rewrite_segment)

    async def answer(self, message: ReplicaRequest) -> ReplicaReply:
        """Return the reply to a request of another store.

        `FencedError` where it is meant for another disk; `DiskFailedError` where the disk rejects
        writes.
        """
        if message.target != self.identity:
            raise FencedError(f"{message.target} is not the disk of this store")
        future: asyncio.Future[ReplicaReply | EmberringError] = asyncio.get_running_loop().create_future()

        def done(reply: ReplicaReply | EmberringError) -> None:
            if not future.done():
                future.set_result(reply)

        self.handle(message, done)
        reply = await future
        if isinstance(reply, EmberringError):
            raise reply
        return reply

    def handle(self, message: ReplicaRequest, done: Done) -> None:
        """Handle a request of this store's own owners; `done` gets the reply, or the error."""
        call = self._next_call
        self._next_call += 1
        self._calls[call] = done
        now_s = asyncio.get_running_loop().time()
        replica = self.replicas[message.shard]
        self._perform(replica, replica.handle(now_s, call, message))

    def renew_lease(self, message: RenewLeases) -> RenewLeasesReply:
        """Renew an owner's leases. `FencedError` where they are meant for another disk."""
        if message.target != self.identity:
            raise FencedError(f"{message.target} is not the disk of this store")
        now_s = asyncio.get_running_loop().time()
        answers: list[LeaseRenewal] = []
        for lease in message.leases:
            replica = self.replicas[lease.shard]
            answer, actions = replica.renew_lease(now_s, lease)
            answers.append(answer)
            self._perform(replica, actions)
        return RenewLeasesReply(tuple(answers))

    def erase_shard(self, shard: int) -> None:
        """Erase a shard's records: it is stored elsewhere now."""
        replica = self.replicas[shard]
        self._perform(replica, replica.leave(asyncio.get_running_loop().time()))

    def stalled_s(self) -> float:
        """Return for how many seconds the oldest entry has been waiting for the disk."""
        now_s = asyncio.get_running_loop().time()
        return max(replica.oldest_pending_s(now_s) for replica in self.replicas.values())

    @property
    def overloaded(self) -> bool:
        """Whether so much is stored that no more batch jobs should be accepted."""
        return sum(replica.value_bytes for replica in self.replicas.values()) > self._max_bytes

    @property
    def failed(self) -> bool:
        """Whether the disk rejects writes."""
        return self._journal.failed

    def _perform(self, replica: Replica, actions: list[ReplicaAction]) -> None:
        for action in actions:
            if isinstance(action, SendReply):
                self._calls.pop(action.call)(action.body)
            elif isinstance(action, FailCall):
                self._calls.pop(action.call)(DiskFailedError("the disk refused"))
            else:
                self._append(replica, action)

    def _append(self, replica: Replica, action: PersistEntry) -> None:
        future = self._write(replica, action.entry)
        future.add_done_callback(lambda done: self._appended(replica, action.token, done))

    def _write(self, replica: Replica, entry: Entry, reclaiming: bool = False) -> asyncio.Future[Position]:
        clock_s = asyncio.get_running_loop().time()
        return self._journal.append(encode_entry(replica.shard, clock_s, entry), reclaiming)

    def _appended(self, replica: Replica, token: int, done: asyncio.Future[Position]) -> None:
        if done.cancelled() or done.exception() is not None:
            self._perform(replica, replica.persist_failed(token))
            return
        now_s = asyncio.get_running_loop().time()
        self._perform(replica, replica.persisted(now_s, token, done.result().segment))

    async def _rewrite_segment(self, segment: int) -> None:
        """Append again what still counts of a segment of the journal."""
        for replica in self.replicas.values():
            for entry in replica.live_entries(asyncio.get_running_loop().time(), segment):
                for chunk in _split_entry(entry):
                    position = await self._write(replica, chunk, reclaiming=True)
                    replica.on_relocated(chunk, position.segment)


def _split_entry(entry: Entry) -> list[Entry]:
    if not isinstance(entry, Copied):
        return [entry]
    return [Copied(entry.term, records) for records in split_by_size(entry.records, MAX_REWRITE_ENTRY_BYTES)]
