"""The register in a control node's process: connects a `RegisterNode` with the network, the journal and the clock."""

from __future__ import annotations

import asyncio
import itertools
import os
import random
from collections.abc import Callable, Coroutine, Sequence
from pathlib import Path
from typing import Protocol

from emberring.errors import (
    DiskFailedError,
    EmberringError,
    NotReadyError,
)
from emberring.journal import Journal, Position
from emberring.logs import get_logger
from emberring.register.acceptor import Acceptor
from emberring.register.events import (
    Action,
    Append,
    AppendFailed,
    AppendSynced,
    Call,
    Change,
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
from emberring.register.journal_opening import JournalOpener
from emberring.register.messages import (
    Accept,
    Answer,
    CommittedNotice,
    FetchCommitted,
    Ping,
    Prepare,
    Query,
    Request,
)
from emberring.register.model import Member
from emberring.register.node import RegisterNode
from emberring.register.subscribers import ValueSubscribers
from emberring.settings import CONTROL_PORT_OFFSET, Settings
from emberring.transport.messages import Ok
from emberring.transport.network import Caller, Network

logger = get_logger("register")


def resolve_future(future: asyncio.Future[bytes | None] | None, outcome: Resolve) -> None:
    """Pass the outcome of an operation to its caller, if that one still waits."""
    if future is None or future.done():
        return
    if outcome.error is not None:
        future.set_exception(outcome.error)
    else:
        future.set_result(outcome.payload)


class NodeRecordLike(Protocol):
    """The part of a node's status record that `note_peers` needs."""

    @property
    def name(self) -> str:
        """Name of the node."""

    @property
    def address(self) -> str:
        """Its internal address."""

    @property
    def zone(self) -> str:
        """Its zone."""

    @property
    def identity(self) -> str:
        """Identity of its replica."""

    @property
    def leaving(self) -> bool:
        """Whether it is shutting down."""


class RegisterService:
    """The replicated value, changed by compare and swap. Used from one event loop.

    Args:
        settings: of this node.
        network: receives the register's messages and sends its calls.
        journal_dir: the folder of the replica's journal.
    """

    def __init__(self, settings: Settings, network: Network, journal_dir: Path) -> None:
        self._settings = settings
        self._network = network
        self._address = settings.internal_address(CONTROL_PORT_OFFSET)
        seeds = settings.internal_seeds()
        self._opener = JournalOpener(journal_dir, self._address, seeds, settings.bootstrap)
        self._node: RegisterNode | None = None
        self._journal: Journal | None = None
        self._snapshot_segment = -1
        self._numbers = itertools.count(1)
        self._replies: dict[int, asyncio.Future[Answer]] = {}
        self._operations: dict[int, asyncio.Future[bytes | None]] = {}
        self._appends: dict[int, asyncio.Future[Position]] = {}
        self._subscribers = ValueSubscribers()
        self._tasks: set[asyncio.Task[None]] = set()
        self._timer: asyncio.TimerHandle | None = None
        self._peers: tuple[Peer, ...] = ()
        for kind in (Prepare, Accept, Query, Ping, FetchCommitted, CommittedNotice):
            network.handle(kind, self._on_message)

    @property
    def identity(self) -> str:
        """The identity of this node's replica, kept on its disk; empty before `start` has ended."""
        return "" if self._node is None else self._node.me.identity

    async def start(self) -> None:
        """Open the journal, create a replica where it is empty, and take part. Waits for a disk that fails."""
        journal, acceptor = await self._open()
        self._journal = journal
        journal.set_rewriter(self._write_snapshot)
        seeds = self._settings.internal_seeds()
        target_size = 2 * max(1, self._settings.fault_tolerance.machines) + 1
        proposer = f"{acceptor.identity}/{os.urandom(8).hex()}"
        me = Member(acceptor.identity, self._address)
        now_s = asyncio.get_running_loop().time()
        rng = random.Random(os.urandom(8))
        self._node = RegisterNode(me, acceptor, proposer, seeds, target_size, rng, now_s)
        logger.info("event=register_started identity=%s", acceptor.identity)
        self._apply(PeersChanged(self._peers))

    async def stop(self) -> None:
        """Take part no longer; changes and reads in flight end with an unknown outcome or without a quorum."""
        if self._timer is not None:
            self._timer.cancel()
        self._node = None
        for task in list(self._tasks):
            task.cancel()
        stopping = NotReadyError("the register is stopping")
        for operation in self._operations.values():
            if not operation.done():
                operation.set_exception(stopping)
        for reply in self._replies.values():
            if not reply.done():
                reply.set_exception(stopping)
        if self._journal is not None:
            await self._journal.close()

    async def change(self, decide: Change, timeout_s: float) -> bytes:
        """Swap the value for `decide(value)` and return the new value.

        `decide` may be called several times, at last with the value that is replaced. Where it returns None the present
        value is returned (empty bytes if there is none yet).
        An `EmberringError` from `decide` is raised once a quorum has confirmed the value that it judged.
        `NoQuorumError`: not taken, as far as this node knows, for want of a quorum.
        `UnknownOutcomeError`: it may have been taken.
        """
        payload = await self._run_operation(
            lambda operation, until: ChangeRequested(operation, decide, until), timeout_s
        )
        return payload or b""

    async def read(self, timeout_s: float) -> bytes | None:
        """Return the value that a quorum has; None before the first change.

        It is at least as new as each change that was acknowledged before the call.
        `NoQuorumError` where too few replicas answer in time.
        """
        return await self._run_operation(lambda operation, until: ReadRequested(operation, until), timeout_s)

    def subscribe(self, callback: Callable[[bytes], None]) -> None:
        """Call back with each value known to be committed, the present one at once, none older than one before."""
        self._subscribers.add(callback)

    def majority_age_s(self) -> float:
        """Return how long ago a quorum of the replicas was last in contact, in seconds; infinite if never."""
        if self._node is None:
            return float("inf")
        return self._node.majority_age_s(asyncio.get_running_loop().time())

    def is_quorum(self, identities: frozenset[str]) -> bool:
        """Return whether these replicas are a quorum of the committed set; false before this node knows one."""
        return self._node is not None and self._node.is_quorum(identities)

    def note_peers(self, records: Sequence[NodeRecordLike]) -> None:
        """Set the other control nodes known at present; those that are no replicas may become replicas."""
        self._peers = tuple(
            Peer(record.name, Member(record.identity, record.address), record.zone, record.leaving)
            for record in records
        )
        self._apply(PeersChanged(self._peers))

    async def _run_operation(self, event: Callable[[int, float], Event], timeout_s: float) -> bytes | None:
        if self._node is None:
            raise NotReadyError("the register has not started")
        loop = asyncio.get_running_loop()
        number = next(self._numbers)
        future: asyncio.Future[bytes | None] = loop.create_future()
        self._operations[number] = future
        try:
            self._apply(event(number, loop.time() + timeout_s))
            return await future
        finally:
            self._operations.pop(number, None)

    # Journal.

    async def _open(self) -> tuple[Journal, Acceptor]:
        return await self._opener.open()

    async def _write_snapshot(self, segment: int) -> None:
        """Write a snapshot so that the oldest segment can be emptied: nothing in it counts once a later one has it."""
        if self._snapshot_segment > segment:
            return
        # A return would let the journal empty the segment without a snapshot.
        if self._node is None or self._journal is None:
            raise NotReadyError("the register does not run")
        position = await self._journal.append(self._node.acceptor.snapshot(), reclaiming=True)
        self._snapshot_segment = position.segment

    # Events and actions of the `RegisterNode`.

    def _apply(self, event: Event) -> None:
        if self._node is None:
            return
        loop = asyncio.get_running_loop()
        for action in self._node.handle(loop.time(), event):
            self._execute(action)
        if self._node is not None:
            self._arm(loop, self._node.next_wake_s(loop.time()))

    def _arm(self, loop: asyncio.AbstractEventLoop, wake_s: float) -> None:
        if self._timer is not None:
            if self._timer.when() <= wake_s:
                return
            self._timer.cancel()
        self._timer = loop.call_at(wake_s, self._on_timer)

    def _on_timer(self) -> None:
        # Forgotten first: an event loop may run a timer up to its clock's resolution early, and one that had run but
        # was due later by the clock was taken for armed, so that no other was armed.
        self._timer = None
        self._apply(Tick())

    def _execute(self, action: Action) -> None:
        match action:
            case Call():
                self._spawn(self._call(action))
            case NotifyLearned():
                self._spawn(self._network.tell(action.address, action.message))
            case Append():
                self._append(action)
            case Reply():
                self._reply(action)
            case Resolve():
                resolve_future(self._operations.get(action.operation), action)
            case Learned():
                self._subscribers.notify(action.payload)

    def _spawn(self, work: Coroutine[object, object, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _call(self, action: Call) -> None:
        reply: object | None = None
        try:
            reply = await self._reply_to(action)
        except (EmberringError, TimeoutError):
            pass
        except Exception:
            # The outermost handler of a call: one that never ended would leave its replica unasked for good, and
            # this node behind.
            logger.exception("event=call_failed address=%s", action.address)
        self._apply(Replied(action.call, reply))

    async def _reply_to(self, action: Call) -> object:
        if action.address != self._address:
            return await self._network.call(action.address, action.message, object, action.timeout_s)
        async with asyncio.timeout(action.timeout_s):
            return await self._serve(action.message)

    def _append(self, action: Append) -> None:
        if self._journal is None:
            return
        future = self._journal.append(action.record)
        self._appends[action.append] = future
        future.add_done_callback(lambda done: self._appended(action.append, done))

    def _appended(self, append: int, done: asyncio.Future[Position]) -> None:
        self._appends.pop(append, None)
        if done.cancelled():
            return
        self._apply(AppendSynced(append) if done.exception() is None else AppendFailed(append))

    def _reply(self, action: Reply) -> None:
        waiting = list(self._appends.values()) if action.durable else []
        if waiting:
            self._spawn(self._reply_later(action, waiting))
        else:
            self._answer(action)

    async def _reply_later(self, action: Reply, waiting: list[asyncio.Future[Position]]) -> None:
        await asyncio.wait(waiting)
        if all(not future.cancelled() and future.exception() is None for future in waiting):
            self._answer(action)
        else:
            future = self._replies.get(action.request)
            if future is not None and not future.done():
                future.set_exception(DiskFailedError("the record is not on the disk"))

    def _answer(self, action: Reply) -> None:
        future = self._replies.get(action.request)
        if future is not None and not future.done():
            future.set_result(action.message)

    # Messages.

    async def _on_message(self, message: Request, caller: Caller) -> object:
        if self._node is None:
            raise NotReadyError("the register has not started")
        if isinstance(message, CommittedNotice):
            self._apply(Received(0, message))
            return Ok()
        return await self._serve(message)

    async def _serve(self, message: Request) -> Answer:
        number = next(self._numbers)
        future: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
        self._replies[number] = future
        try:
            self._apply(Received(number, message))
            return await future
        finally:
            self._replies.pop(number, None)
