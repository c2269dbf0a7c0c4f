"""The register in a control node's process: connects a `RegisterNode` to the network, the journal and the clock."""

from __future__ import annotations

import asyncio
import itertools
import os
import random
from collections.abc import Callable, Coroutine, Sequence
from pathlib import Path
from typing import Protocol

import attrs

from emberring.errors import (
    DiskFailedError,
    EmberringError,
    NotReadyError,
    UnknownOutcomeError,
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
from emberring.register.pending_operations import OUTCOME_UNKNOWN
from emberring.register.subscribers import ValueSubscribers
from emberring.settings import CONTROL_PORT_OFFSET, Settings
from emberring.transport.messages import Ok
from emberring.transport.network import Caller, Network

logger = get_logger("register")


def resolve_future(future: asyncio.Future[bytes | None] | None, outcome: Resolve) -> None:
    """Complete the future of an operation, unless it is done or its caller is gone."""
    if future is None or future.done():
        return
    if outcome.error is not None:
        future.set_exception(outcome.error)
    else:
        future.set_result(outcome.payload)


@attrs.frozen
class _Operation:
    """A change or a read that waits for its outcome; `error_at_stop` is its outcome if the service stops first."""

    future: asyncio.Future[bytes | None]
    error_at_stop: EmberringError


class NodeRecordLike(Protocol):
    """The part of a node's status record that `set_peers` needs."""

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
    """The replicated value, changed by compare-and-swap. Must be used from one event loop.

    Args:
        settings: the settings of this node.
        network: receives the register's messages and sends its calls.
        journal_dir: the directory of the replica's journal.
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
        self._request_numbers = itertools.count(1)
        self._replies: dict[int, asyncio.Future[Answer]] = {}
        self._operations: dict[int, _Operation] = {}
        self._appends: dict[int, asyncio.Future[Position]] = {}
        self._subscribers = ValueSubscribers()
        self._tasks: set[asyncio.Task[None]] = set()
        self._timer: asyncio.TimerHandle | None = None
        self._peers: tuple[Peer, ...] = ()
        for kind in (Prepare, Accept, Query, Ping, FetchCommitted, CommittedNotice):
            network.handle(kind, self._on_message)

    @property
    def identity(self) -> str:
        """The identity of this node's replica, as stored in its journal; empty unless the service is running."""
        return "" if self._node is None else self._node.me.identity

    async def start(self) -> None:
        """Open the journal, create a replica if it is empty, and join the register. Retries until the disk works."""
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
        """Leave the register and close the journal.

        Reads and calls in flight fail with `NotReadyError`, changes with `UnknownOutcomeError`: other replicas may have
        accepted them.
        """
        if self._timer is not None:
            self._timer.cancel()
        self._node = None
        for task in list(self._tasks):
            task.cancel()
        stopping = NotReadyError("the register is stopping")
        for operation in self._operations.values():
            if not operation.future.done():
                operation.future.set_exception(operation.error_at_stop)
        for reply in self._replies.values():
            if not reply.done():
                reply.set_exception(stopping)
        if self._journal is not None:
            await self._journal.close()

    async def change(self, decide: Change, timeout_s: float) -> bytes:
        """Replace the value by `decide(value)` and return the new value.

        `decide` may be called several times; the last call receives the value that is replaced. If it returns None, the
        current value is returned (empty bytes if there is none yet).

        Raises an `EmberringError` of `decide` once a quorum has confirmed the value that it rejected, `NoQuorumError`
        if no quorum replied in time and the change was not proposed, and `UnknownOutcomeError` if the change may have
        been committed.
        """
        payload = await self._run_operation(
            lambda operation, deadline_s: ChangeRequested(operation, decide, deadline_s),
            timeout_s,
            UnknownOutcomeError(OUTCOME_UNKNOWN),
        )
        return payload or b""

    async def read(self, timeout_s: float) -> bytes | None:
        """Return the committed value, or None before the first change.

        It is at least as new as every change that was acknowledged before the call. Raises `NoQuorumError` if too few
        replicas reply in time.
        """
        return await self._run_operation(
            lambda operation, deadline_s: ReadRequested(operation, deadline_s),
            timeout_s,
            NotReadyError("the register is stopping"),
        )

    def subscribe(self, callback: Callable[[bytes], None]) -> None:
        """Call back with the current committed value at once, and then with each newer one that this node learns."""
        self._subscribers.add(callback)

    def majority_age_s(self) -> float:
        """Return the time since a quorum of the replicas was last in contact, in seconds; infinite if none was."""
        if self._node is None:
            return float("inf")
        return self._node.majority_age_s(asyncio.get_running_loop().time())

    def is_quorum(self, identities: frozenset[str]) -> bool:
        """Return whether these replicas are a quorum of the committed replica set; false if this node knows none."""
        return self._node is not None and self._node.is_quorum(identities)

    def set_peers(self, records: Sequence[NodeRecordLike]) -> None:
        """Set the list of the other control nodes; those that are not replicas may become replicas."""
        self._peers = tuple(
            Peer(record.name, Member(record.identity, record.address), record.zone, record.leaving)
            for record in records
        )
        self._apply(PeersChanged(self._peers))

    async def _run_operation(
        self, event: Callable[[int, float], Event], timeout_s: float, error_at_stop: EmberringError
    ) -> bytes | None:
        if self._node is None:
            raise NotReadyError("the register has not started")
        loop = asyncio.get_running_loop()
        number = next(self._request_numbers)
        future: asyncio.Future[bytes | None] = loop.create_future()
        self._operations[number] = _Operation(future, error_at_stop)
        try:
            self._apply(event(number, loop.time() + timeout_s))
            return await future
        finally:
            self._operations.pop(number, None)

    # Journal.

    async def _open(self) -> tuple[Journal, Acceptor]:
        return await self._opener.open()

    async def _write_snapshot(self, segment: int) -> None:
        """Append a snapshot to a later segment, which makes all records of the oldest segment obsolete."""
        if self._snapshot_segment > segment:
            return
        # Raise instead of returning: after a return the journal would reclaim the segment without a snapshot.
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
            self._schedule_tick(loop, self._node.next_wake_s(loop.time()))

    def _schedule_tick(self, loop: asyncio.AbstractEventLoop, wake_s: float) -> None:
        if self._timer is not None:
            if self._timer.when() <= wake_s:
                return
            self._timer.cancel()
        self._timer = loop.call_at(wake_s, self._on_timer)

    def _on_timer(self) -> None:
        # Cleared first: an event loop may run a timer up to its clock's resolution early. A timer that has run but is
        # still due later by the clock would count as pending, and no further one would be scheduled.
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
                operation = self._operations.get(action.operation)
                resolve_future(operation.future if operation is not None else None, action)
            case Learned():
                self._subscribers.notify(action.payload)

    def _spawn(self, work: Coroutine[object, object, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _call(self, action: Call) -> None:
        reply: object | None = None
        try:
            reply = await self._call_or_serve(action)
        except (EmberringError, TimeoutError):
            pass
        except Exception:
            # Outermost handler of a call: without a `Replied` event the call would stay in flight forever, so that this
            # node would never contact the replica again and fall behind.
            logger.exception("event=call_failed address=%s", action.address)
        self._apply(Replied(action.call, reply))

    async def _call_or_serve(self, action: Call) -> object:
        if action.address != self._address:
            return await self._network.call(action.address, action.message, object, action.timeout_s)
        async with asyncio.timeout(action.timeout_s):
            return await self._serve(action.message)

    def _append(self, action: Append) -> None:
        if self._journal is None:
            return
        future = self._journal.append(action.record)
        self._appends[action.append] = future
        future.add_done_callback(lambda done: self._on_append_done(action.append, done))

    def _on_append_done(self, append: int, done: asyncio.Future[Position]) -> None:
        self._appends.pop(append, None)
        if done.cancelled():
            return
        self._apply(AppendSynced(append) if done.exception() is None else AppendFailed(append))

    def _reply(self, action: Reply) -> None:
        pending_appends = list(self._appends.values()) if action.durable else []
        if pending_appends:
            self._spawn(self._reply_after_appends(action, pending_appends))
        else:
            self._complete_reply(action)

    async def _reply_after_appends(
        self, action: Reply, pending_appends: list[asyncio.Future[Position]]
    ) -> None:
        await asyncio.wait(pending_appends)
        if all(not future.cancelled() and future.exception() is None for future in pending_appends):
            self._complete_reply(action)
        else:
            future = self._replies.get(action.request)
            if future is not None and not future.done():
                future.set_exception(DiskFailedError("the record is not on the disk"))

    def _complete_reply(self, action: Reply) -> None:
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
        number = next(self._request_numbers)
        future: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
        self._replies[number] = future
        try:
            self._apply(Received(number, message))
            return await future
        finally:
            self._replies.pop(number, None)
