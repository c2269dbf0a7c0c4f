"""A simulated control machine: a disk, a replica of the register, and a complete control node."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from typing import Any

import attrs

from emberring.configuration.state import ControlState
from emberring.control.node import ControlNode
from emberring.distribution.records import NodeRecord
from emberring.register.events import (
    Action,
    ChangeRequested,
    Event,
    Learned,
    Peer,
    PeersChanged,
    ReadRequested,
    Resolve,
)
from emberring.register.model import Member
from emberring.register.service import resolve_future
from emberring.settings import FaultTolerance, Settings
from emberring.simulation.control_plane.network import SimulatedNetwork
from emberring.simulation.control_plane.process import Process
from emberring.simulation.control_plane.world import ControlWorld
from emberring.simulation.register.machine import Machine

FIRST_PORT = 7000
INTERNAL_PORT = FIRST_PORT + 1
HEARTBEAT_MS = 1200.0
RESPONSE_TIMEOUT_S = 30.0


def internal_address(ip: str) -> str:
    """The internal address of the control node on a machine."""
    return f"{ip}:{INTERNAL_PORT}"


@attrs.frozen
class Answer:
    """An HTTP response of a control node."""

    status: int
    body: bytes


class ControlMachine(Machine):
    """One control machine.

    `founders` are the addresses of the machines that bootstrap the register; `bootstrap` is true for those machines.
    """

    world: ControlWorld

    def __init__(
        self,
        world: ControlWorld,
        networks: dict[str, SimulatedNetwork],
        ip: str,
        founders: tuple[str, ...],
        bootstrap: bool,
    ) -> None:
        super().__init__(world, internal_address(ip), founders, bootstrap)
        self.ip = ip
        self.process: Process | None = None
        self.control: ControlNode | None = None
        self.learned_version = 0
        self._networks = networks
        self._futures: dict[int, asyncio.Future[bytes | None]] = {}
        self._callbacks: list[Callable[[bytes], None]] = []
        self._last_learned: bytes | None = None

    # Start and stop.

    def start(self) -> None:
        """Start the replica from the contents of the disk, and then the control node."""
        if self.node is not None:
            return
        self._futures, self._callbacks, self._last_learned = {}, [], None
        self.learned_version = 0
        super().start()
        if self.node is not None:
            self._start_process()

    def _start_process(self) -> None:
        world = self.world
        world.powered_off.discard(self.name)
        self.process = Process(self.name)
        network = SimulatedNetwork(world, self.process, self._networks)
        self.control = self.process.call(self._make_control, network)
        self.process.start(self._run(self.control))

    def _make_control(self, network: SimulatedNetwork) -> ControlNode:
        register = HostedRegister(self)
        return ControlNode(self._settings(), network, register, incarnation=f"{self.ip}.{self.incarnation}")

    def _settings(self) -> Settings:
        return Settings(
            node_name=f"core-{self.ip}",
            ip=self.ip,
            zone=f"zone-{self.ip}",
            port_range=(FIRST_PORT, FIRST_PORT + 15),
            seed_nodes=tuple(self._founders),
            heartbeat_ms=HEARTBEAT_MS,
            fault_tolerance=FaultTolerance(machines=max(1, len(self._founders) // 2)),
        )

    @staticmethod
    async def _run(control: ControlNode) -> None:
        control.start()

    def begin_shutdown(self) -> None:
        """Simulate SIGTERM: the node announces its shutdown."""
        if self.process is not None and self.control is not None:
            self.process.call(self.control.announce_shutdown)

    def freeze(self, until_s: float) -> None:
        """Freeze the process until the given time (s)."""
        self.thaw_at_s = max(self.thaw_at_s, until_s)
        if self.process is not None:
            self.process.freeze(until_s)

    def lose_power(self) -> None:
        super().lose_power()
        self.world.powered_off.add(self.name)

    def wipe(self) -> None:
        super().wipe()
        self.world.powered_off.add(self.name)

    def _end(self) -> None:
        super()._end()
        self.control = None
        if self.process is not None:
            self.process.kill()
            self.process = None

    # The host of the register replica.

    def note_peers(self) -> None:
        """Do nothing: the control node reports the live peers itself."""

    async def job(self, event: Callable[[int, float], Event], timeout_s: float) -> bytes | None:
        """Run a change or a read on the register; returns its result or raises its error."""
        now_s = self.world.sync()
        self._requests += 1
        number = self._requests
        future: asyncio.Future[bytes | None] = asyncio.get_running_loop().create_future()
        self._futures[number] = future
        self._handle(self.incarnation, event(number, now_s + timeout_s))
        return await future

    def on_live_peers(self, records: Sequence[NodeRecord]) -> None:
        """Handle the live control nodes that the control node reports."""
        self.world.sync()
        peers = tuple(
            Peer(record.name, Member(record.identity, record.address), record.zone, record.leaving)
            for record in records
        )
        self._handle(self.incarnation, PeersChanged(peers))

    def subscribe(self, callback: Callable[[bytes], None]) -> None:
        """Register a callback for each committed value that the replica learns."""
        self._callbacks.append(callback)
        if self._last_learned is not None:
            callback(self._last_learned)

    def _execute(self, action: Action) -> None:
        match action:
            case Resolve():
                resolve_future(self._futures.pop(action.operation, None), action)
            case Learned():
                self._learn_value(action.payload)
            case _:
                super()._execute(action)

    def _learn_value(self, payload: bytes) -> None:
        state = ControlState.decode(payload)
        self.world.control_history.on_state_learned(self.world.now_s, self.name, state, self.learned_version)
        self.learned_version = state.version
        self._last_learned = payload
        for callback in list(self._callbacks):
            assert self.process is not None
            self.process.call(callback, payload)

    # HTTP calls of clients.

    async def http(self, method: str, path: str, body: bytes, if_match: str) -> Answer | None:
        """Respond to a request; returns None if the process is not running or ends before it responds."""
        if self.process is None or self.control is None:
            return None
        answering = self.process.start(self._respond(self.control, method, path, body, if_match))
        await asyncio.wait({answering}, timeout=RESPONSE_TIMEOUT_S)
        if answering.cancelled() or not answering.done():
            return None
        return answering.result()

    @staticmethod
    async def _respond(control: ControlNode, method: str, path: str, body: bytes, if_match: str) -> Answer:
        sent: list[Any] = []

        async def receive() -> Any:
            return {"type": "http.request", "body": body, "more_body": False}

        async def send(event: Any) -> None:
            sent.append(event)

        headers = [(b"if-match", if_match.encode())] if if_match else []
        scope = {"type": "http", "method": method, "path": path, "headers": headers}
        await control.app(scope, receive, send)
        return Answer(sent[0]["status"], sent[1]["body"])


class HostedRegister:
    """The register interface of the control node, backed by the replica of the machine."""

    def __init__(self, machine: ControlMachine) -> None:
        self._machine = machine

    @property
    def identity(self) -> str:
        """The identity of the replica on the machine's disk."""
        return self._machine.identity

    async def start(self) -> None:
        """Do nothing: the machine starts the replica."""

    async def stop(self) -> None:
        """Do nothing: the replica stops with the machine."""

    async def change(self, decide: Callable[[bytes | None], bytes | None], timeout_s: float) -> bytes | None:
        """Replace the value by the result of `decide`."""
        return await self._machine.job(
            lambda operation, until_s: ChangeRequested(operation, decide, until_s), timeout_s
        )

    async def read(self, timeout_s: float) -> bytes | None:
        """Read the value from a quorum."""
        return await self._machine.job(
            lambda operation, until_s: ReadRequested(operation, until_s), timeout_s
        )

    def subscribe(self, callback: Callable[[bytes], None]) -> None:
        """Register a callback for every committed value."""
        self._machine.subscribe(callback)

    def majority_age_s(self) -> float:
        """Return the time (s) since the last contact with a majority."""
        node = self._machine.node
        return float("inf") if node is None else node.majority_age_s(self._machine.world.sync())

    def is_quorum(self, identities: frozenset[str]) -> bool:
        """Return whether these replicas form a quorum of the current replica set."""
        node = self._machine.node
        return node is not None and node.is_quorum(identities)

    def set_peers(self, records: Sequence[NodeRecord]) -> None:
        """Report the other live control nodes."""
        self._machine.on_live_peers(records)
