"""All shards that this store may own: their owners and books, run on the event loop."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Any

from emberring.configuration.model import Configuration
from emberring.errors import NotOwnerError, UnknownOutcomeError
from emberring.jobs.job_manager import JobManager
from emberring.jobs.job_table import Answer, BookAction, Propose, Refuse
from emberring.jobs.messages import RenewLeasesReply
from emberring.jobs.owner import BecameOwner, Chosen, LostOwnership, Moved, OwnerAction, Send, ShardOwner
from emberring.logs import get_logger
from emberring.placement.model import SHARDS, Placement
from emberring.store.peers import Peers
from emberring.store.replicas import ReplicaHost

CALL_LIMIT_S = 6.0  # no call of a gateway is waited for longer

logger = get_logger("store")


class Shards:
    """Owners and books of all shards. `on_moved(shard, epoch)` is told of groups that are complete."""

    def __init__(
        self, host: ReplicaHost, peers: Peers, status_s: float, on_moved: Callable[[int, int], None]
    ) -> None:
        self.host = host
        self.owners: dict[int, ShardOwner] = {}
        self.books: dict[int, JobManager] = {}
        self.items_wait: Callable[[], None] = lambda: None
        self._peers = peers
        self._on_moved = on_moved
        self._calls: dict[int, asyncio.Future[Any]] = {}
        self._next_call = 1
        for shard in range(SHARDS):
            seed = random.getrandbits(64)
            owner = ShardOwner(host.identity, host.replicas[shard], seed)
            self.owners[shard] = owner
            self.books[shard] = JobManager(shard, owner.records, status_s, seed)

    # What this store learns.

    def place(self, placement: Placement) -> None:
        """A newer table."""
        now_s = _now_s()
        for group in placement.groups:
            owner = self.owners[group.shard]
            self._perform(group.shard, owner.set_group(now_s, group))
            if owner.group is not None and self.host.identity not in owner.group.everyone:
                self.host.leave(group.shard)

    def configure(self, configuration: Configuration) -> None:
        """A newer configuration."""
        for book in self.books.values():
            book.configure(configuration)

    def tick(self, fit: bool, live: set[str]) -> None:
        """Time goes on."""
        now_s = _now_s()
        for shard, owner in self.owners.items():
            self._perform(shard, owner.tick(now_s, fit, live))
            if owner.serving(now_s):
                self._perform_book(shard, self.books[shard].tick(now_s))
        self.items_wait()

    def touch_all(self) -> None:
        """Keep the leases of the shards that this store owns."""
        identities = {
            identity
            for owner in self.owners.values()
            if owner.group is not None
            for identity in owner.group.everyone
        }
        for identity in identities:
            leases = [lease for owner in self.owners.values() for lease in owner.leases(identity)]
            if leases:
                self._peers.touch(identity, leases, self._touched)

    def _touched(self, identity: str, sent_s: float, reply: RenewLeasesReply) -> None:
        for answer in reply.answers:
            owner = self.owners[answer.shard]
            self._perform(answer.shard, owner.touched(_now_s(), identity, sent_s, answer))

    # What gateways ask.

    def serving(self, shard: int) -> JobManager:
        """The book of a shard that this store may answer for; otherwise `NotOwnerError` with the owner's
        address, if it is known."""
        owner = self.owners[shard]
        if not owner.serving(_now_s()):
            known = self._peers.addresses.get(self.host.replicas[shard].owner, "")
            raise NotOwnerError(known if known != self._peers.addresses.get(self.host.identity) else "")
        return self.books[shard]

    async def ask(self, shard: int, question: Callable[[JobManager, int], list[BookAction]]) -> Any:
        """Ask the book of a shard and wait for the answer. Nothing was done where `NotOwnerError` is raised."""
        book = self.serving(shard)
        call = self._next_call
        self._next_call += 1
        future = self._calls[call] = asyncio.get_running_loop().create_future()
        try:
            self._perform_book(shard, question(book, call))
            async with asyncio.timeout(CALL_LIMIT_S):
                return await future
        except TimeoutError:
            raise UnknownOutcomeError("no quorum of replicas in time") from None
        finally:
            self._calls.pop(call, None)

    # What owners and books want.

    def _perform(self, shard: int, actions: list[OwnerAction]) -> None:
        for action in actions:
            if isinstance(action, Send):
                self._send(shard, action)
            elif isinstance(action, Chosen):
                self._perform_book(shard, self.books[shard].chosen(_now_s(), action.key, action.slot))
            elif isinstance(action, BecameOwner):
                logger.info(
                    "event=owner shard=%d term=%s lots=%d", shard, self.owners[shard].term, len(action.jobs)
                )
                self._perform_book(shard, self.books[shard].adopt(_now_s(), action.jobs))
            elif isinstance(action, LostOwnership):
                logger.info("event=owner_lost shard=%d", shard)
                self._perform_book(shard, self.books[shard].lose())
            elif isinstance(action, Moved):
                self._on_moved(shard, action.epoch)

    def _send(self, shard: int, action: Send) -> None:
        owner = self.owners[shard]

        def done(reply: Any) -> None:
            now_s = _now_s()
            if reply is None:
                self._perform(shard, owner.failed(now_s, action.ticket))
            else:
                self._perform(shard, owner.answered(now_s, action.ticket, reply))

        self._peers.call(action.target, action.message, done)

    def _perform_book(self, shard: int, actions: list[BookAction]) -> None:
        now_s = _now_s()
        owner = self.owners[shard]
        for action in actions:
            if isinstance(action, Answer):
                self._resolve(action.call, action.body)
            elif isinstance(action, Refuse):
                self._resolve(action.call, action.error)
            elif isinstance(action, Propose):
                wanted = owner.propose(now_s, action.key, action.slot, action.value, action.accepted_s)
                self._perform(shard, wanted)
            else:
                self._perform(shard, owner.forget(now_s, action.key))
        if self.books[shard].waiting:
            self.items_wait()

    def _resolve(self, call: int, body: Any) -> None:
        future = self._calls.get(call)
        if future is None or future.done():
            return
        if isinstance(body, Exception):
            future.set_exception(body)
        else:
            future.set_result(body)


def _now_s() -> float:
    return asyncio.get_running_loop().time()
