"""A simulated deployment of control nodes: their clock, network, disks and deaths, all from one seed.

The nodes are the real machines of `emberring.register.node` over the real ring of `emberring.journal`.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from typing import Any

import attrs

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
from emberring.register.replica_set_manager import ReconfigurationTimeouts
from emberring.simulation.register.disk import SimulatedFolder
from emberring.simulation.register.history import History, Operation, append_number

SEGMENT_BYTES = 4096
RING_BYTES = 64 * 1024
RECLAIM_ABOVE = 16 * 1024
HEAL_EVERY_S = 0.25
PATIENCE_S = 1.0
SHORTEST_WAY_S = 0.0005
QUICK_S = 0.001


@attrs.frozen
class Bugs:
    """Known mistakes to seed, so that the checks can be shown to find them. `amnesiac`: a replica that lost its disk
    keeps its identity and votes; `unsynced`: replies do not wait for the disk."""

    amnesiac: bool = False
    unsynced: bool = False


@attrs.define
class Weather:
    """How the network treats messages: shares lost and doubled, the longest delay in seconds, and the share of messages
    that may take so long; the others are quick."""

    lost: float = 0.0
    doubled: float = 0.0
    slowest_s: float = 0.003
    slow_share: float = 1.0

    def way_s(self, rng: random.Random) -> float:
        """How long a message takes (s)."""
        slow = self.slow_share >= 1.0 or rng.random() < self.slow_share
        return SHORTEST_WAY_S + rng.random() * (self.slowest_s if slow else min(QUICK_S, self.slowest_s))


class World:
    """The clock and the network. `machines` by name; a name is also its address."""

    def __init__(self, seed: int, bugs: Bugs, patience: ReconfigurationTimeouts) -> None:
        self.patience = patience
        self.rng = random.Random(seed)
        self.bugs = bugs
        self.now_s = 0.0
        self.history = History()
        self.machines: dict[str, Machine] = {}
        self.weather = Weather()
        self.cut: set[frozenset[str]] = set()
        self.on_acknowledged: Callable[[str], None] | None = None
        self.handled = 0
        self._heap: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._held: list[tuple[str, str, Callable[..., None], tuple[Any, ...]]] = []
        self._order = 0

    def at(self, when_s: float, work: Callable[..., None], *arguments: Any) -> None:
        """Do this at that time."""
        self._order += 1
        heapq.heappush(self._heap, (when_s, self._order, work, arguments))

    def run(self, until_s: float) -> None:
        """Let time pass."""
        while self._heap and self._heap[0][0] <= until_s:
            self.now_s, _, work, arguments = heapq.heappop(self._heap)
            work(*arguments)
        self.now_s = until_s

    def send(self, origin: str, target: str, work: Callable[..., None], *arguments: Any) -> None:
        """Carry a message, perhaps late, twice or never; over a cut it is lost, or comes when the cut is over."""
        if origin == target:
            self.at(self.now_s, work, *arguments)
            return
        if frozenset((origin, target)) in self.cut:
            if self.rng.random() < 0.5:
                self._held.append((origin, target, work, arguments))
            return
        weather = self.weather
        if weather.lost and self.rng.random() < weather.lost:
            return
        copies = 2 if weather.doubled and self.rng.random() < weather.doubled else 1
        for _ in range(copies):
            self.at(self.now_s + weather.way_s(self.rng), work, *arguments)

    def join(self) -> None:
        """No cut any more."""
        self.cut = set()
        held, self._held = self._held, []
        for _, _, work, arguments in held:
            self.at(self.now_s + self.rng.random() * 0.01, work, *arguments)

    def reach(self, one: str, other: str) -> bool:
        """Whether two machines run and are not cut from each other."""
        if not (self.machines[one].running and self.machines[other].running):
            return False
        return frozenset((one, other)) not in self.cut


class Machine:
    """One machine: its disk, and the process on it while it runs."""

    def __init__(self, world: World, name: str, founders: tuple[str, ...], bootstrap: bool) -> None:
        self.world = world
        self.name = name
        self.folder = SimulatedFolder()
        self.node: RegisterNode | None = None
        self.life = 0
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
        self._durable: list[tuple[set[int], Reply]] = []
        self._wake_s = float("inf")
        self.identity = ""
        self._acceptor: Acceptor | None = None

    @property
    def held(self) -> Proposal | None:
        """What its replica accepted last, also while it is down."""
        return None if self._acceptor is None else self._acceptor.accepted

    @property
    def running(self) -> bool:
        """Whether its process lives."""
        return self.node is not None

    # Life and death.

    def start(self) -> None:
        """Start the process on what its disk holds."""
        if self.node is not None:
            return
        rng = self.world.rng
        self.life += 1
        if self.folder.refusing:
            self.world.at(self.world.now_s + HEAL_EVERY_S, self._start_again, self.life)
            return
        self._queue, self._writing, self._durable, self._replies = [], [], [], {}
        self._busy = self._failed = False
        self._operations, self._calls, self.learned = {}, set(), ()
        acceptor = self._born()
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
            self.world.patience,
        )
        self._wake_s = self.world.now_s
        self.note_peers()

    def _start_again(self, life: int) -> None:
        if life == self.life:
            self.start()

    def _born(self) -> Acceptor:
        rng = self.world.rng
        try:
            self._ring, records = Ring.open(
                self.folder, SEGMENT_BYTES, RING_BYTES, rng.getrandbits(32), RECLAIM_ABOVE
            )
            acceptor = Acceptor("")
            for record in records:
                acceptor.restore(record.payload)
        except CorruptRecordError as error:
            self.world.history.mistakes.append(f"the journal of {self.name} is corrupt: {error.detail}")
            self.folder.wipe()
            return self._born()
        if acceptor.identity:
            return acceptor
        if self._bootstrap and self.name in self._founders:
            acceptor = Acceptor(initial_identity(self.name), initial_proposal(self._founders))
        elif self.world.bugs.amnesiac and self.identity:
            acceptor = Acceptor(self.identity)
        else:
            acceptor = Acceptor(f"replica:{rng.getrandbits(64):x}")
        self._bootstrap = False
        self._ring.commit([acceptor.snapshot()])
        self.folder.settle()
        return acceptor

    def stop(self) -> None:
        """The process is killed; its files stay as it left them."""
        self._end()
        self.folder.kill(self.world.rng)

    def lose_power(self) -> None:
        """The machine is off at once."""
        self._end()
        self.folder.lose_power(self.world.rng)

    def wipe(self) -> None:
        """The machine is off and its disk lost."""
        self._end()
        self.folder.wipe()

    def _end(self) -> None:
        self.node = None
        self.life += 1
        self.thaw_at_s = 0.0

    # Callers.

    def ask(self, number: int, patience_s: float = PATIENCE_S) -> None:
        """A caller wants a change with this number, or a read (0), at this node."""
        if self.node is None:
            return
        operation = self.world.history.begin(number, self.name, self.world.now_s)
        self._requests += 1
        self._operations[self._requests] = operation
        until_s = self.world.now_s + patience_s
        if number:
            event: Event = ChangeRequested(
                self._requests, lambda value: append_number(value, number), until_s
            )
        else:
            event = ReadRequested(self._requests, until_s)
        self._handle(self.life, event)

    def note_peers(self) -> None:
        """Tell the process which other nodes it may know of."""
        others = [
            machine
            for name, machine in self.world.machines.items()
            if name != self.name and self.world.reach(self.name, name)
        ]
        peers = tuple(Peer(found.name, Member(found.identity, found.name)) for found in others)
        self._handle(self.life, PeersChanged(peers))

    # The machine.

    def _handle(self, life: int, event: Event) -> None:
        node = self.node
        if node is None or life != self.life:
            return
        now_s = self.world.now_s
        if now_s < self.thaw_at_s:
            self.world.at(self.thaw_at_s, self._handle, life, event)
            return
        self.world.handled += 1
        for action in node.handle(now_s, event):
            self._execute(action)
        if self.node is node:
            wake_s = node.next_wake_s(now_s)
            if wake_s < self._wake_s or self._wake_s <= now_s:
                self._wake_s = wake_s
                self.world.at(wake_s, self._tick, life)

    def _tick(self, life: int) -> None:
        if life == self.life and self.world.now_s >= self._wake_s:
            self._wake_s = float("inf")
            self._handle(life, Tick())

    def _execute(self, action: Action) -> None:
        world = self.world
        match action:
            case Call():
                self._calls.add(action.call)
                if action.address in world.machines:
                    target = world.machines[action.address]
                    world.send(
                        self.name, action.address, target.receive, self.name, self.life, action.call, action
                    )
                world.at(world.now_s + action.timeout_s, self._replied, self.life, action.call, None)
            case NotifyLearned():
                if action.address in world.machines:
                    target = world.machines[action.address]
                    world.send(self.name, action.address, target.hint, action)
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

    def receive(self, origin: str, life: int, call: int, action: Call) -> None:
        """A call from another machine."""
        if self.node is None:
            return
        self._requests += 1
        sender = self.world.machines[origin]
        self._replies[self._requests] = (origin, sender._replied, (life, call))
        self._handle(self.life, Received(self._requests, action.message))

    def hint(self, action: NotifyLearned) -> None:
        """A hint from another machine."""
        self._handle(self.life, Received(0, action.message))

    def _replied(self, life: int, call: int, reply: object | None) -> None:
        if life == self.life and call in self._calls:
            self._calls.discard(call)
            self._handle(life, Replied(call, reply))

    def _reply(self, action: Reply) -> None:
        waiting = {append.append for append in (*self._writing, *self._queue)}
        if action.durable and waiting and not self.world.bugs.unsynced:
            self._durable.append((waiting, action))
        else:
            self._answer(action)

    def _answer(self, action: Reply) -> None:
        origin, work, arguments = self._replies.pop(action.request)
        self.world.send(self.name, origin, work, *arguments, action.message)

    # The disk.

    def _write(self) -> None:
        if self._busy or not self._queue:
            return
        assert self._ring is not None
        self._busy = True
        self._writing, self._queue = self._queue, []
        took_s = self.sync_s * (0.5 + self.world.rng.random())
        try:
            if self._failed:
                raise DiskFailedError("the disk refuses")
            written = self._ring.commit([append.record for append in self._writing])
            if len(written) < len(self._writing):
                self.world.history.mistakes.append(f"the ring of {self.name} is full")
            self._ring.prepare_ahead()
            good = True
        except (DiskFailedError, OSError):
            self._fail()
            good = False
        self.world.at(self.world.now_s + took_s, self._written, self.life, good)

    def _written(self, life: int, good: bool) -> None:
        if life != self.life:
            return
        if self.world.now_s < self.thaw_at_s:
            self.world.at(self.thaw_at_s, self._written, life, good)
            return
        done, self._writing = self._writing, []
        if good:
            self.folder.settle()
            self._reclaim()
        self._busy = False
        self._release({append.append for append in done}, good)
        for append in done:
            self._handle(life, AppendSynced(append.append) if good else AppendFailed(append.append))
        self._write()

    def _release(self, done: set[int], good: bool) -> None:
        left = []
        for waiting, action in self._durable:
            if waiting & done and not good:
                self._replies.pop(action.request, None)
                continue
            waiting -= done
            if waiting:
                left.append((waiting, action))
            else:
                self._answer(action)
        self._durable = left

    def _reclaim(self) -> None:
        ring = self._ring
        if ring is None or self.node is None or not ring.crowded or ring.oldest is None:
            return
        try:
            ring.commit([self.node.acceptor.snapshot()], reclaiming=True)
        except DiskFailedError:
            self._fail()
            return
        self.folder.settle()
        while ring.crowded and ring.oldest is not None:
            ring.release(ring.oldest)

    def _fail(self) -> None:
        self._failed = True
        self.world.at(self.world.now_s + HEAL_EVERY_S, self._heal, self.life)

    def _heal(self, life: int) -> None:
        if life != self.life or self._ring is None:
            return
        try:
            self._ring.heal()
            self.folder.settle()
            self._failed = False
        except DiskFailedError:
            self.world.at(self.world.now_s + HEAL_EVERY_S, self._heal, life)
