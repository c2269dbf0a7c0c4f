"""A simulated machine: a disk, and a `RegisterNode` on it while its process runs."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

from emberring.errors import CorruptRecordError, DiskFailedError
from emberring.journal.ring import Ring
from emberring.register.acceptor import Acceptor
from emberring.register.events import (
    Action,
    Append,
    AppendFailed,
    AppendSynced,
    Call,
    ChangeRequested,
    Event,
    Learned,
    NotifyLearned,
    Peer,
    PeersChanged,
    ReadRequested,
    Received,
    Replied,
    Reply,
    Resolve,
    Tick,
)
from emberring.register.model import Member, Proposal, initial_identity, initial_proposal
from emberring.register.node import RegisterNode
from emberring.simulation.common.wire import over_wire
from emberring.simulation.register.disk import SimulatedFolder
from emberring.simulation.register.history import Operation, append_number
from emberring.simulation.register.world import World

SEGMENT_BYTES = 4096
"""Size of a segment of the simulated journal."""

RING_BYTES = 64 * 1024
"""Size of the simulated journal."""

RECLAIM_ABOVE = 16 * 1024
"""Journal size, in bytes, above which segments are reclaimed."""

REPAIR_INTERVAL_S = 0.25
"""Interval between repair attempts of a failed disk, in seconds."""

OPERATION_TIMEOUT_S = 1.0
"""Timeout of an operation, in seconds."""


class Machine:
    """A machine with a disk, and its process while it runs."""

    def __init__(self, world: World, name: str, founders: tuple[str, ...], bootstrap: bool) -> None:
        self.world = world
        self.name = name
        self.folder = SimulatedFolder()
        self.node: RegisterNode | None = None
        self.incarnation = 0
        self.thaw_at_s = 0.0
        self.sync_s = 0.001
        self.learned: tuple[int, ...] = ()
        self._founders = founders
        self._bootstrap = bootstrap
        self._requests = 0
        self._operations: dict[int, Operation] = {}
        self._replies: dict[int, tuple[str, Callable[..., None], tuple[Any, ...]]] = {}
        self._calls: set[int] = set()
        self._ring: Ring | None = None
        self._queue: list[Append] = []
        self._writing: list[Append] = []
        self._busy = False
        self._failed = False
        self._replies_awaiting_sync: list[tuple[set[int], Reply]] = []
        self._wake_s = float("inf")
        self.identity = ""
        self._acceptor: Acceptor | None = None

    @property
    def accepted_proposal(self) -> Proposal | None:
        """The proposal that its replica accepted last, also while the process is down."""
        return None if self._acceptor is None else self._acceptor.accepted

    @property
    def running(self) -> bool:
        """Whether its process runs."""
        return self.node is not None

    # Start and stop.

    def start(self) -> None:
        """Start the process from the contents of its disk."""
        if self.node is not None:
            return
        rng = self.world.rng
        self.incarnation += 1
        if self.folder.refusing:
            self.world.at(self.world.now_s + REPAIR_INTERVAL_S, self._retry_start, self.incarnation)
            return
        self._queue, self._writing, self._replies_awaiting_sync, self._replies = [], [], [], {}
        self._busy = self._failed = False
        self._operations, self._calls, self.learned = {}, set(), ()
        acceptor = self._restore_replica()
        self.identity = acceptor.identity
        proposer = f"{acceptor.identity}/{rng.getrandbits(64):x}"
        me = Member(acceptor.identity, self.name)
        self._acceptor = acceptor
        self.node = RegisterNode(
            me,
            acceptor,
            proposer,
            self._founders,
            len(self._founders),
            random.Random(rng.getrandbits(32)),
            self.world.now_s,
            self.world.timeouts,
        )
        self._wake_s = self.world.now_s
        self.note_peers()

    def _retry_start(self, incarnation: int) -> None:
        if incarnation == self.incarnation:
            self.start()

    def _restore_replica(self) -> Acceptor:
        rng = self.world.rng
        try:
            self._ring, records = Ring.open(
                self.folder, SEGMENT_BYTES, RING_BYTES, rng.getrandbits(32), RECLAIM_ABOVE
            )
            acceptor = Acceptor("")
            for record in records:
                acceptor.restore(record.payload)
        except CorruptRecordError as error:
            self.world.history.violations.append(f"the journal of {self.name} is corrupt: {error.detail}")
            self.folder.wipe()
            return self._restore_replica()
        if acceptor.identity:
            return acceptor
        if self._bootstrap and self.name in self._founders:
            acceptor = Acceptor(initial_identity(self.name), initial_proposal(self._founders))
        elif self.world.mutations.amnesiac and self.identity:
            acceptor = Acceptor(self.identity)
        else:
            acceptor = Acceptor(f"replica:{rng.getrandbits(64):x}")
        self._bootstrap = False
        self._ring.commit([acceptor.snapshot()])
        self.folder.settle()
        return acceptor

    def stop(self) -> None:
        """Kill the process; its files are kept."""
        self._end()
        self.folder.kill(self.world.rng)

    def lose_power(self) -> None:
        """Lose power."""
        self._end()
        self.folder.lose_power(self.world.rng)

    def wipe(self) -> None:
        """Stop the machine and erase its disk."""
        self._end()
        self.folder.wipe()

    def _end(self) -> None:
        self.node = None
        self.incarnation += 1
        self.thaw_at_s = 0.0

    # Requests of callers.

    def ask(self, number: int, timeout_s: float = OPERATION_TIMEOUT_S) -> None:
        """Request a change with this number, or a read if it is 0."""
        if self.node is None:
            return
        operation = self.world.history.begin(number, self.name, self.world.now_s)
        self._requests += 1
        self._operations[self._requests] = operation
        until_s = self.world.now_s + timeout_s
        if number:
            event: Event = ChangeRequested(
                self._requests, lambda value: append_number(value, number), until_s
            )
        else:
            event = ReadRequested(self._requests, until_s)
        self._handle(self.incarnation, event)

    def note_peers(self) -> None:
        """Notify the process of the other nodes that it can reach."""
        others = [
            machine
            for name, machine in self.world.machines.items()
            if name != self.name and self.world.is_reachable(self.name, name)
        ]
        peers = tuple(Peer(found.name, Member(found.identity, found.name)) for found in others)
        self._handle(self.incarnation, PeersChanged(peers))

    # Events and actions of the `RegisterNode`.

    def _handle(self, incarnation: int, event: Event) -> None:
        node = self.node
        if node is None or incarnation != self.incarnation:
            return
        now_s = self.world.now_s
        if now_s < self.thaw_at_s:
            self.world.at(self.thaw_at_s, self._handle, incarnation, event)
            return
        self.world.events_handled += 1
        for action in node.handle(now_s, event):
            self._execute(action)
        if self.node is node:
            wake_s = node.next_wake_s(now_s)
            if wake_s < self._wake_s or self._wake_s <= now_s:
                self._wake_s = wake_s
                self.world.at(wake_s, self._tick, incarnation, wake_s)

    def _tick(self, incarnation: int, armed_for_s: float) -> None:
        # An event loop may run a timer early by up to the resolution of its clock. The timer armed last is therefore
        # identified by its deadline, not by the clock: dropping its tick would leave the node without a timer.
        if incarnation == self.incarnation and armed_for_s == self._wake_s:
            self._wake_s = float("inf")
            self._handle(incarnation, Tick())

    def _execute(self, action: Action) -> None:
        world = self.world
        match action:
            case Call():
                self._calls.add(action.call)
                if action.address in world.machines:
                    target = world.machines[action.address]
                    world.send(
                        self.name,
                        action.address,
                        target.receive,
                        self.name,
                        self.incarnation,
                        action.call,
                        action,
                    )
                world.at(world.now_s + action.timeout_s, self._replied, self.incarnation, action.call, None)
            case NotifyLearned():
                if action.address in world.machines:
                    target = world.machines[action.address]
                    world.send(self.name, action.address, target.receive_notice, action)
            case Append():
                self._queue.append(action)
                self._write()
            case Reply():
                self._reply(action)
            case Resolve():
                operation = self._operations.pop(action.operation)
                error = "" if action.error is None else action.error.kind.value
                world.history.end(operation, world.now_s, action.payload, error)
                if not error and world.on_acknowledged is not None:
                    world.on_acknowledged(self.name)
            case Learned():
                self.learned = world.history.learned(self.name, action.payload, self.learned)

    def receive(self, origin: str, incarnation: int, call: int, action: Call) -> None:
        """Handle a call from another machine."""
        if self.node is None:
            return
        self._requests += 1
        sender = self.world.machines[origin]
        self._replies[self._requests] = (origin, sender._replied, (incarnation, call))
        self._handle(self.incarnation, Received(self._requests, over_wire(action.message)))

    def receive_notice(self, action: NotifyLearned) -> None:
        """Handle a notification from another machine."""
        self._handle(self.incarnation, Received(0, over_wire(action.message)))

    def _replied(self, incarnation: int, call: int, reply: object | None) -> None:
        if incarnation == self.incarnation and call in self._calls:
            self._calls.discard(call)
            self._handle(incarnation, Replied(call, reply))

    def _reply(self, action: Reply) -> None:
        waiting = {append.append for append in (*self._writing, *self._queue)}
        if action.durable and waiting and not self.world.mutations.unsynced:
            self._replies_awaiting_sync.append((waiting, action))
        else:
            self._answer(action)

    def _answer(self, action: Reply) -> None:
        origin, work, arguments = self._replies.pop(action.request)
        self.world.send(self.name, origin, work, *arguments, over_wire(action.message))

    # The disk.

    def _write(self) -> None:
        if self._busy or not self._queue or self._ring is None:
            return
        self._busy = True
        self._writing, self._queue = self._queue, []
        sync_duration_s = self.sync_s * (0.5 + self.world.rng.random())
        try:
            if self._failed:
                raise DiskFailedError("simulated disk failure")
            written = self._ring.commit([append.record for append in self._writing])
            if not written:
                self.world.history.violations.append(f"the ring of {self.name} is full")
            # As in the real journal, records that do not fit wait until a segment is reclaimed.
            self._queue[:0] = self._writing[len(written) :]
            del self._writing[len(written) :]
            self._ring.prepare_ahead()
            written_ok = True
        except (DiskFailedError, OSError):
            self._on_disk_failed()
            written_ok = False
        self.world.at(self.world.now_s + sync_duration_s, self._on_written, self.incarnation, written_ok)

    def _on_written(self, incarnation: int, written_ok: bool) -> None:
        if incarnation != self.incarnation:
            return
        if self.world.now_s < self.thaw_at_s:
            self.world.at(self.thaw_at_s, self._on_written, incarnation, written_ok)
            return
        done, self._writing = self._writing, []
        if written_ok:
            self.folder.settle()
            self._reclaim()
        self._busy = False
        self._release({append.append for append in done}, written_ok)
        for append in done:
            self._handle(
                incarnation, AppendSynced(append.append) if written_ok else AppendFailed(append.append)
            )
        self._write()

    def _release(self, done: set[int], written_ok: bool) -> None:
        remaining = []
        for waiting, action in self._replies_awaiting_sync:
            if waiting & done and not written_ok:
                self._replies.pop(action.request, None)
                continue
            waiting -= done
            if waiting:
                remaining.append((waiting, action))
            else:
                self._answer(action)
        self._replies_awaiting_sync = remaining

    def _reclaim(self) -> None:
        ring = self._ring
        if ring is None or self.node is None or not ring.reclaim_needed or ring.oldest is None:
            return
        try:
            ring.commit([self.node.acceptor.snapshot()], reclaiming=True)
        except DiskFailedError:
            self._on_disk_failed()
            return
        self.folder.settle()
        while ring.reclaim_needed and ring.oldest is not None:
            ring.release(ring.oldest)

    def _on_disk_failed(self) -> None:
        self._failed = True
        self.world.at(self.world.now_s + REPAIR_INTERVAL_S, self._repair_disk, self.incarnation)

    def _repair_disk(self, incarnation: int) -> None:
        if incarnation != self.incarnation or self._ring is None:
            return
        try:
            self._ring.heal()
            self.folder.settle()
            self._failed = False
        except DiskFailedError:
            self.world.at(self.world.now_s + REPAIR_INTERVAL_S, self._repair_disk, incarnation)
