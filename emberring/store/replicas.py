"""The replicas of this store on its journal: messages in, entries to the disk, answers out."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from emberring.errors import DiskFailedError, EmberringError, FencedError
from emberring.jobs.messages import LeaseRenewal, RenewLeases, RenewLeasesReply, ReplicaRequest
from emberring.jobs.replica import FailCall, PersistEntry, Replica, ReplicaAction, SendReply
from emberring.jobs.replica_log import Copied, Entry, encode_entry, split_by_size
from emberring.journal.journal import Journal
from emberring.journal.layout import Position

MAX_REWRITE_ENTRY_BYTES = 512 * 1024

Done = Callable[[Any], None]


class ReplicaHost:
    """Runs the replicas of all shards. Used from one event loop."""

    def __init__(self, identity: str, replicas: dict[int, Replica], journal: Journal, max_bytes: int) -> None:
        self.identity = identity
        self._max_bytes = max_bytes
        self.replicas = replicas
        self._journal = journal
        self._calls: dict[int, Done] = {}
        self._next_call = 1
        journal.set_rewriter(self._rewrite)

    async def answer(self, message: ReplicaRequest) -> Any:
        """The reply to a message of another store; `FencedError` where it is meant for another disk."""
        if message.target != self.identity:
            raise FencedError(f"{message.target} is not the disk of this store")
        future: asyncio.Future[Any] = asyncio.get_running_loop().create_future()

        def done(reply: Any) -> None:
            if not future.done():
                future.set_result(reply)

        self.ask(message, done)
        reply = await future
        if isinstance(reply, EmberringError):
            raise reply
        return reply

    def ask(self, message: ReplicaRequest, done: Done) -> None:
        """The same for this store's own owners; `done` gets the reply, or the error."""
        call = self._next_call
        self._next_call += 1
        self._calls[call] = done
        now_s = asyncio.get_running_loop().time()
        replica = self.replicas[message.shard]
        self._perform(replica, replica.handle(now_s, call, message))

    def renew_lease(self, message: RenewLeases) -> RenewLeasesReply:
        """An owner keeps its leases."""
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

    def leave(self, shard: int) -> None:
        """The shard is kept elsewhere now."""
        replica = self.replicas[shard]
        self._perform(replica, replica.leave(asyncio.get_running_loop().time()))

    def stalled_s(self) -> float:
        """For how long the oldest entry has been waiting for the disk."""
        now_s = asyncio.get_running_loop().time()
        return max(replica.oldest_pending_s(now_s) for replica in self.replicas.values())

    @property
    def overloaded(self) -> bool:
        """Whether so much is held that no more batch jobs should be taken."""
        return sum(replica.value_bytes for replica in self.replicas.values()) > self._max_bytes

    @property
    def failed(self) -> bool:
        """Whether the disk refuses."""
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

    async def _rewrite(self, segment: int) -> None:
        """Append anew what still counts of a segment of the journal."""
        for replica in self.replicas.values():
            for entry in replica.live_entries(asyncio.get_running_loop().time(), segment):
                for part in _parts(entry):
                    position = await self._write(replica, part, reclaiming=True)
                    replica.on_relocated(part, position.segment)


def _parts(entry: Entry) -> list[Entry]:
    if not isinstance(entry, Copied):
        return [entry]
    return [Copied(entry.term, records) for records in split_by_size(entry.records, MAX_REWRITE_ENTRY_BYTES)]
