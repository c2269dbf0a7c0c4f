"""The register in a control node's process: the machine of `node.py` with network, journal and clock around it."""

from __future__ import annotations

import asyncio
import itertools
import os
import random
import shutil
from collections.abc import Callable, Coroutine, Sequence
from pathlib import Path
from typing import Protocol

from emberring.errors import (
    CorruptRecordError,
    DiskFailedError,
    EmberringError,
    NotReadyError,
)
from emberring.journal import Journal, Position, Record
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
from emberring.register.model import Member, initial_identity, initial_proposal
from emberring.register.node import RegisterNode
from emberring.settings import CONTROL_PORT_OFFSET, Settings
from emberring.transport.messages import Ok
from emberring.transport.network import Caller, Network

SEGMENT_BYTES = 1024 * 1024
MAX_BYTES = 64 * 1024 * 1024
RECLAIM_ABOVE_BYTES = 12 * 1024 * 1024
REOPEN_AFTER_S = 0.3

logger = get_logger("register")


def resolve_future(future: asyncio.Future[bytes | None] | None, outcome: Resolve) -> None:
    """Tell the caller of a job, if it still waits, what came of it."""
    if future is None or future.done():
        return
    if outcome.error is not None:
        future.set_exception(outcome.error)
    else:
        future.set_result(outcome.payload)


class NodeRecordLike(Protocol):
    """What `note_peers` needs of a node's fact."""

    @property
    def name(self) -> str: ...
    @property
    def address(self) -> str: ...
    @property
    def zone(self) -> str: ...
    @property
    def identity(self) -> str: ...
    @property
    def leaving(self) -> bool: ...


class RegisterService:
    """The replicated value, changed by compare and swap. Used from one event loop."""

    def __init__(self, settings: Settings, network: Network, journal_dir: Path) -> None:
        self._settings = settings
        self._network = network
        self._directory = journal_dir
        self._may_create_initial = settings.bootstrap
        self._address = settings.internal_address(CONTROL_PORT_OFFSET)
        self._node: RegisterNode | None = None
        self._journal: Journal | None = None
        self._snapshot_segment = -1
        self._numbers = itertools.count(1)
        self._replies: dict[int, asyncio.Future[Answer]] = {}
        self._operations: dict[int, asyncio.Future[bytes | None]] = {}
        self._appends: dict[int, asyncio.Future[Position]] = {}
        self._subscribers: list[Callable[[bytes], None]] = []
        self._last_learned: bytes | None = None
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
        """Open the journal, be born where it is empty, and take part. Waits for a disk that refuses."""
        journal, acceptor = await self._open()
        self._journal = journal
        journal.set_rewriter(self._write_snapshot)
        seeds = self._settings.internal_seeds()
        wanted = 2 * max(1, self._settings.fault_tolerance.machines) + 1
        proposer = f"{acceptor.identity}/{os.urandom(8).hex()}"
        me = Member(acceptor.identity, self._address)
        now_s = asyncio.get_running_loop().time()
        rng = random.Random(os.urandom(8))
        self._node = RegisterNode(me, acceptor, proposer, seeds, wanted, rng, now_s)
        logger.info("event=register_started identity=%s", acceptor.identity)
        self._apply(PeersChanged(self._peers))

    async def stop(self) -> None:
        """Take part no longer; changes and reads under way end in doubt or without a quorum."""
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
        """Swap the value for `decide(value)`, which may be called several times, at last with the value replaced.

        Returns the new value, or the present one where `decide` returned None (empty bytes if there is none yet).
        An `EmberringError` from `decide` is raised once a quorum has confirmed the value that it judged.
        `NoQuorumError`: not taken, as far as this node knows, for want of a quorum.
        `UnknownOutcomeError`: it may have been taken.
        """
        payload = await self._operation(
            lambda operation, until: ChangeRequested(operation, decide, until), timeout_s
        )
        return payload or b""

    async def read(self, timeout_s: float) -> bytes | None:
        """The value as a quorum has it, at least as new as all changes acknowledged before; None before the first.

        `NoQuorumError` where too few replicas answer in time.
        """
        return await self._operation(lambda operation, until: ReadRequested(operation, until), timeout_s)

    def subscribe(self, callback: Callable[[bytes], None]) -> None:
        """Be told each value known to be chosen, the present one at once; never an older one after a newer."""
        self._subscribers.append(callback)
        if self._last_learned is not None:
            callback(self._last_learned)

    def majority_age_s(self) -> float:
        """How long ago a quorum of the replicas was last in contact, in seconds; infinite if never."""
        if self._node is None:
            return float("inf")
        return self._node.majority_age_s(asyncio.get_running_loop().time())

    def is_quorum(self, identities: frozenset[str]) -> bool:
        """Whether these replicas are a quorum of the set that this node knows to be chosen; not before it knows one."""
        return self._node is not None and self._node.is_quorum(identities)

    def note_peers(self, facts: Sequence[NodeRecordLike]) -> None:
        """All other control nodes known at present; those that are not replicas may become some."""
        self._peers = tuple(
            Peer(fact.name, Member(fact.identity, fact.address), fact.zone, fact.leaving) for fact in facts
        )
        self._apply(PeersChanged(self._peers))

    async def _operation(self, event: Callable[[int, float], Event], timeout_s: float) -> bytes | None:
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

    # Start.

    async def _open(self) -> tuple[Journal, Acceptor]:
        loop = asyncio.get_running_loop()
        while True:
            try:
                journal, records = await loop.run_in_executor(None, self._open_journal)
                return journal, await self._restore_replica(journal, records)
            except DiskFailedError as error:
                logger.warning("event=journal_refused detail=%r", error.detail)
            await asyncio.sleep(REOPEN_AFTER_S)

    def _open_journal(self) -> tuple[Journal, list[Record]]:
        """The journal and its records; one that is damaged is a lost disk, and whoever kept it must not come back."""
        try:
            return Journal.open(self._directory, SEGMENT_BYTES, MAX_BYTES, RECLAIM_ABOVE_BYTES)
        except CorruptRecordError as error:
            logger.error("event=journal_discarded detail=%r", error.detail)
            self._may_create_initial = False
        try:
            shutil.rmtree(self._directory)
        except OSError as error:
            raise DiskFailedError(f"{type(error).__name__}: {error}") from error
        return Journal.open(self._directory, SEGMENT_BYTES, MAX_BYTES, RECLAIM_ABOVE_BYTES)

    async def _restore_replica(self, journal: Journal, records: list[Record]) -> Acceptor:
        """The replica that these records are; a new one, kept before it does anything, where they name none."""
        acceptor = Acceptor("")
        for record in records:
            acceptor.restore(record.payload)
        if not acceptor.identity:
            acceptor = self._new_acceptor()
            await journal.append(acceptor.snapshot())
        return acceptor

    def _new_acceptor(self) -> Acceptor:
        seeds = self._settings.internal_seeds()
        if self._may_create_initial and self._address in seeds:
            return Acceptor(initial_identity(self._address), initial_proposal(seeds))
        return Acceptor(f"replica:{os.urandom(16).hex()}")

    async def _write_snapshot(self, segment: int) -> None:
        """Empty the oldest segment: nothing in it counts once a snapshot stands in a later one."""
        if self._snapshot_segment > segment:
            return
        # Guard: a return would give the segment up without a snapshot.
        if self._node is None or self._journal is None:
            raise NotReadyError("the register does not run")
        position = await self._journal.append(self._node.acceptor.snapshot(), reclaiming=True)
        self._snapshot_segment = position.segment

    # The machine.

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
            if not self._timer.cancelled() and loop.time() < self._timer.when() <= wake_s:
                return
            self._timer.cancel()
        self._timer = loop.call_at(wake_s, self._apply, Tick())

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
                self._notify_subscribers(action.payload)

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
            # Guard: a call that never ends leaves its replica unasked for good, and this one behind.
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

    def _notify_subscribers(self, payload: bytes) -> None:
        self._last_learned = payload
        for callback in list(self._subscribers):
            try:
                callback(payload)
            except Exception:
                logger.exception("event=subscriber_failed")

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
