"""A simulated store: the real replica, owner and book of one shard on a disk that loses what was not synced."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import attrs

from emberring.errors import EmberringError, NotOwnerError, UnknownOutcomeError
from emberring.jobs.calls import (
    EndJob,
    FinishRun,
    LeasedItems,
    LeaseItems,
    ReadItem,
    ReadJob,
    ReportRuns,
    SubmitJob,
)
from emberring.jobs.job_manager import JobManager
from emberring.jobs.job_table import Answer, BookAction, Propose, Refuse
from emberring.jobs.messages import RenewLeases, RenewLeasesReply
from emberring.jobs.owner import BecameOwner, Chosen, LostOwnership, Moved, OwnerAction, Send, ShardOwner
from emberring.jobs.replica import REFUSE_S, Action, Fail, Persist, Replica, Reply
from emberring.jobs.replica_log import decode_entry, encode_entry
from emberring.placement.model import Placement
from emberring.simulation.jobs.mutations import Bugs, make_owner, make_replica
from emberring.simulation.jobs.world import World

TICK_S = 0.05
TOUCH_S = 0.2
CALL_S = 0.8
STALL_S = 0.5
SYNC_S = 0.001

Done = Callable[[Any], None]


@attrs.define(eq=False)
class Disk:
    """What lasts. `pending` entries are written and not synced."""

    identity: str
    entries: list[bytes] = attrs.field(factory=list)
    pending: list[tuple[bytes, int]] = attrs.field(factory=list)
    sync_s: float = SYNC_S
    usual_sync_s: float = SYNC_S
    refusing: bool = False


class StoreMachine:
    """One machine with a disk, and the process on it while it runs. Calls and replies pass through the world."""

    def __init__(self, world: World, shard: int, name: str, bugs: Bugs) -> None:
        self.world = world
        self.shard = shard
        self.name = name
        self.bugs = bugs
        usual_s = SYNC_S * 40 ** world.rng.random()
        self.disk = Disk(self._new_identity(), sync_s=usual_s, usual_sync_s=usual_s)
        self.running = False
        self.thaw_at_s = 0.0
        self.leaving = False
        self.life = 0
        self.placement: Placement | None = None
        self.machines: dict[str, StoreMachine] = {}
        self.on_moved: Callable[[str, int, int], None] = lambda name, shard, epoch: None
        self.on_shown: Callable[[str], None] = lambda key: None
        self.replica: Replica
        self.owner: ShardOwner
        self.book: JobManager
        self._calls: dict[int, Done] = {}
        self._book_calls: dict[int, Done] = {}
        self._number = 0
        self._syncing = False

    def _new_identity(self) -> str:
        return f"{self.name}.{self.world.rng.getrandbits(24):06x}"

    @property
    def identity(self) -> str:
        """The identity of its disk."""
        return self.disk.identity

    # Life and death.

    def start(self) -> None:
        """Start the process on what its disk holds."""
        if self.running or self.disk.refusing:
            if not self.running:
                self.world.after(0.25, self.start)
            return
        self.running, self.leaving = True, False
        self.life += 1
        self._calls, self._book_calls, self._syncing = {}, {}, False
        now_s = self.world.now_s
        self.replica = make_replica(self.bugs, self.shard)
        logged = [decode_entry(payload) for payload in self.disk.entries]
        for entry in logged:
            since_s = max(0.0, now_s - entry.clock_s)
            self.replica.apply(now_s - since_s, entry.entry, 0)
        self.replica.restored(now_s + REFUSE_S)
        seed = self.world.rng.getrandbits(32)
        self.owner = make_owner(self.bugs, self.identity, self.replica, seed)
        self.book = JobManager(self.shard, self.owner.records, 30.0, seed)
        self.learn(self.placement)
        self._tick(self.life)
        self._touch_all(self.life)

    def kill(self) -> None:
        """The process dies; what it had written stays."""
        if self.running:
            self.running = False
            self.disk.entries += [payload for payload, _ in self.disk.pending]
            self.disk.pending = []

    def lose_power(self) -> None:
        """What was not synced may be lost: the journal keeps a beginning of it."""
        self.running = False
        kept = self.world.rng.randint(0, len(self.disk.pending))
        self.disk.entries += [payload for payload, _ in self.disk.pending[:kept]]
        self.disk.pending = []

    def wipe(self) -> None:
        """The disk is lost."""
        self.running = False
        identity = self.identity if self.bugs.keeps_identity else self._new_identity()
        usual_s = self.disk.usual_sync_s
        self.disk = Disk(identity, sync_s=usual_s, usual_sync_s=usual_s)

    def when_awake(self, life: int, work: Callable[..., None], *arguments: Any) -> None:
        """Do this in that life of the process, once it is not frozen."""
        if not self.running or life != self.life:
            return
        if self.world.now_s < self.thaw_at_s:
            self.world.at(self.thaw_at_s, self.when_awake, life, work, *arguments)
            return
        work(*arguments)

    # Time.

    def _tick(self, life: int) -> None:
        if not self.running or life != self.life:
            return
        if self.world.now_s >= self.thaw_at_s:
            now_s = self.world.now_s
            stalled = self.replica.oldest_wait_s(now_s) > STALL_S
            fit = not (self.leaving or stalled or self.disk.refusing)
            live = {machine.identity for machine in self.machines.values() if self._seems_live(machine)}
            self.perform(self.owner.tick(now_s, fit, live))
            if self.owner.serving(now_s):
                self.perform_book(self.book.tick(now_s))
        self.world.after(TICK_S, self._tick, life)

    def _seems_live(self, machine: StoreMachine) -> bool:
        return machine.running and self.world.reach(self.name, machine.name)

    def _touch_all(self, life: int) -> None:
        if not self.running or life != self.life:
            return
        if self.world.now_s >= self.thaw_at_s and self.owner.group is not None:
            for identity in self.owner.group.everyone:
                leases = self.owner.leases(identity)
                if leases:
                    message = RenewLeases(self.identity, identity, tuple(leases))
                    self._call(identity, message, self._touched(identity, self.world.now_s))
        self.world.after(TOUCH_S, self._touch_all, life)

    def _touched(self, identity: str, sent_s: float) -> Done:
        def done(reply: Any) -> None:
            if isinstance(reply, RenewLeasesReply):
                for answer in reply.answers:
                    self.perform(self.owner.touched(self.world.now_s, identity, sent_s, answer))

        return done

    def learn(self, placement: Placement | None) -> None:
        """A newer table reached this machine."""
        if placement is None:
            return
        if self.placement is None or placement.epoch >= self.placement.epoch:
            self.placement = placement
            if self.running:
                self.perform(self.owner.set_group(self.world.now_s, placement.groups[self.shard]))
                if self.owner.group is not None and self.identity not in self.owner.group.everyone:
                    self._act(self.replica.leave(self.world.now_s))

    # Calls to replicas.

    def _call(self, target: str, message: Any, done: Done) -> None:
        """Call the machine with this identity; `done` gets the reply, or None after a while."""
        life = self.life
        open_call = [True]

        def finish(reply: Any) -> None:
            if open_call[0]:
                open_call[0] = False
                self.when_awake(life, done, reply)

        self.world.after(CALL_S, finish, None)
        machine = next((found for found in self.machines.values() if found.identity == target), None)
        if machine is not None:
            self.world.send(self.name, machine.name, machine.receive, self.name, message, finish)

    def receive(self, origin: str, message: Any, finish: Done) -> None:
        """A call of another store came in."""
        self.when_awake(self.life, self._receive, origin, message, finish)

    def _receive(self, origin: str, message: Any, finish: Done) -> None:
        def reply(body: Any) -> None:
            self.world.send(self.name, origin, finish, body)

        if message.target != self.identity:
            reply(None)
        elif isinstance(message, RenewLeases):
            answer, actions = self.replica.touch(self.world.now_s, message.leases[0])
            self._act(actions)
            reply(RenewLeasesReply((answer,)))
        else:
            self._number += 1
            self._calls[self._number] = reply
            self._act(self.replica.handle(self.world.now_s, self._number, message))

    def _act(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Reply):
                self._calls.pop(action.call)(action.body)
            elif isinstance(action, Fail):
                self._calls.pop(action.call)(None)
            elif isinstance(action, Persist):
                self._persist(action)

    def _persist(self, action: Persist) -> None:
        payload = encode_entry(self.shard, self.world.now_s, action.entry)
        if self.disk.refusing:
            self.world.after(0.0, self.when_awake, self.life, self._refused, action.token)
            return
        self.disk.pending.append((payload, action.token))
        if self.bugs.unsynced:
            self._act(self.replica.persisted(self.world.now_s, action.token, 0))
        if not self._syncing:
            self._syncing = True
            self.world.after(self.disk.sync_s, self._synced, self.life, len(self.disk.pending))

    def _refused(self, token: int) -> None:
        self._act(self.replica.persist_failed(token))

    def _synced(self, life: int, count: int) -> None:
        """The disk goes on while the process is frozen; the process hears of it later."""
        if not self.running or life != self.life:
            return
        done, self.disk.pending = self.disk.pending[:count], self.disk.pending[count:]
        self.disk.entries += [payload for payload, _ in done]
        self._syncing = bool(self.disk.pending)
        if self.disk.pending:
            self.world.after(self.disk.sync_s, self._synced, life, len(self.disk.pending))
        if not self.bugs.unsynced:
            for _, token in done:
                self.when_awake(life, self._lasting, token)

    def _lasting(self, token: int) -> None:
        self._act(self.replica.persisted(self.world.now_s, token, 0))

    # Owner and book.

    def perform(self, actions: list[OwnerAction]) -> None:
        """Carry out what the owner wants."""
        now_s = self.world.now_s
        for action in actions:
            if isinstance(action, Send):
                self._call(action.target, action.message, self._answered(action.ticket))
            elif isinstance(action, Chosen):
                self.perform_book(self.book.chosen(now_s, action.key, action.slot))
            elif isinstance(action, BecameOwner):
                self.perform_book(self.book.adopt(now_s, action.jobs))
            elif isinstance(action, LostOwnership):
                self.perform_book(self.book.lose())
            elif isinstance(action, Moved):
                self.on_moved(self.name, self.shard, action.epoch)

    def _answered(self, ticket: int) -> Done:
        def done(reply: Any) -> None:
            now_s = self.world.now_s
            if reply is None:
                self.perform(self.owner.failed(now_s, ticket))
            else:
                self.perform(self.owner.answered(now_s, ticket, reply))

        return done

    def perform_book(self, actions: list[BookAction]) -> None:
        """Carry out what the book wants."""
        for action in actions:
            if isinstance(action, Answer):
                self._resolve(action.call, action.body)
            elif isinstance(action, Refuse):
                self._resolve(action.call, action.error)
            elif isinstance(action, Propose):
                if self.bugs.shows_early:
                    self.perform_book(self.book.chosen(self.world.now_s, action.key, action.slot))
                self.perform(
                    self.owner.propose(
                        self.world.now_s, action.key, action.slot, action.value, action.accepted_s
                    )
                )
            else:
                self.perform(self.owner.forget(self.world.now_s, action.key))

    def _resolve(self, call: int, body: Any) -> None:
        done = self._book_calls.pop(call, None)
        if done is not None:
            done(body)

    # Calls of gateways.

    def ask(self, origin: str, question: Any, finish: Done) -> None:
        """A gateway's call came in; `finish` gets the answer or an error."""
        self.when_awake(self.life, self._ask, origin, question, finish)

    def _ask(self, origin: str, question: Any, finish: Done) -> None:
        now_s = self.world.now_s

        def reply(body: Any) -> None:
            self.world.send(self.name, origin, finish, body)

        if not self.owner.serving(now_s):
            reply(NotOwnerError())
        elif isinstance(question, LeaseItems):
            reply(LeasedItems(tuple(self.book.take(now_s, question.gateway, question.room))))
        elif isinstance(question, ReportRuns):
            reply(self.book.report(now_s, question))
        else:
            self._number += 1
            self._book_calls[self._number] = self._checked(question, reply)
            self.perform_book(self._put(now_s, self._number, question))

    def _put(self, now_s: float, call: int, question: Any) -> list[BookAction]:
        if isinstance(question, SubmitJob):
            return self.book.submit(now_s, call, question)
        if isinstance(question, ReadJob):
            return self.book.read(now_s, call, question)
        if isinstance(question, ReadItem):
            return self.book.item(call, question)
        if isinstance(question, EndJob):
            return self.book.end(call, question)
        assert isinstance(question, FinishRun)
        return self.book.finish(now_s, call, question)

    def _checked(self, question: Any, reply: Done) -> Done:
        """After a wait, reads are answered by an owner only."""

        def done(body: Any) -> None:
            stale = isinstance(question, ReadJob) and not self.owner.serving(self.world.now_s)
            reply(UnknownOutcomeError("the owner may have changed") if stale else body)

        return done


def is_error(body: Any) -> bool:
    """Whether a gateway's call ended with an error or not at all."""
    return body is None or isinstance(body, EmberringError)
