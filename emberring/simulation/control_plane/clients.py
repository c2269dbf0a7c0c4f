"""Those who call the control nodes from outside: operators with orders and reads, and model servers."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from typing import Any

from emberring.configuration.change_requests import ChangeRequestKind, read_change_request
from emberring.emulator.configurations import HOST, SERVICE, trial_configuration
from emberring.simulation.control_plane.control_machine import HEARTBEAT_MS, Answer, ControlMachine
from emberring.simulation.control_plane.follower_process import MARK_PREFIX
from emberring.simulation.control_plane.history import REFUSED, TAKEN, OrderSeen
from emberring.simulation.control_plane.world import ControlWorld

SILENCE_S = 1.0
FIRST_BACKOFF_S = 0.05
MAX_BACKOFF_S = 0.6
GIVE_UP_S = 40.0
DRAIN_MS = 2000.0
LINGER_S = 3.0  # a server that drains serves on for so long after it was acknowledged
UNHEARD_S = 6.0  # a server that leaves and is not acknowledged ends after so long
MOST_BYTES = 4096


def mark_route(number: int) -> dict[str, Any]:
    """A route by which a configuration tells which order made it."""
    return {
        "Name": "mark",
        "Host": HOST,
        "PathPrefix": f"{MARK_PREFIX}{number}/",
        "Type": "streaming",
        "TimeoutMs": 5000,
        "TargetLatencyMs": 300,
        "Priority": 0,
        "Service": SERVICE,
        "MaxAttempts": 2,
        "gap_aim_ms": 250,
    }


def order_body(kind: ChangeRequestKind, number: int, version: int) -> bytes:
    """What an order says: a whole configuration, or a patch."""
    if kind is ChangeRequestKind.PATCH:
        return json.dumps({"Version": version, "Upsert": {"Routes": [mark_route(number)]}}).encode()
    document = trial_configuration(version)
    document["Routes"].append(mark_route(number))
    return json.dumps(document).encode()


def version_and_mark(body: bytes) -> tuple[int, int]:
    """What a configuration that was read back says."""
    document = json.loads(body)
    prefixes = [route["PathPrefix"] for route in document["Routes"] if route["Name"] == "mark"]
    return document["Version"], int(prefixes[0][len(MARK_PREFIX) :].strip("/")) if prefixes else 0


class Platform:
    """The way from outside to the control nodes: `machines` has those of the platform's list. Answers to the operator
    may be lost while `answers_lost` says so."""

    def __init__(self, world: ControlWorld, machines: Callable[[], list[ControlMachine]]) -> None:
        self.world = world
        self.machines = machines
        self.answers_lost = 0.0

    async def call(
        self, machine: ControlMachine, method: str, path: str, body: bytes = b"", if_match: str = ""
    ) -> Answer | None:
        """One call; None after silence, a refused or a broken connection."""
        try:
            async with asyncio.timeout(SILENCE_S):
                await asyncio.sleep(self.world.way_s())
                if machine.process is None:
                    await self._nobody(machine)
                    return None
                answer = await machine.http(method, path, body, if_match)
                await asyncio.sleep(self.world.way_s())
                return answer
        except TimeoutError:
            return None

    async def _nobody(self, machine: ControlMachine) -> None:
        if machine.name in self.world.dark:
            await asyncio.sleep(SILENCE_S)

    def shuffled(self) -> list[ControlMachine]:
        """The machines in an order drawn by lot."""
        found = list(self.machines())
        self.world.rng.shuffle(found)
        return found


class Operators:
    """Orders and reads of operators, repeated as the protocol says. `on_taken` is told acknowledged versions."""

    def __init__(self, platform: Platform, on_taken: Callable[[int], None]) -> None:
        self._platform = platform
        self._world = platform.world
        self._on_taken = on_taken
        self._numbers = 0
        self.known = 0  # the newest version that an operator knows to be in force

    def order(self, base: int, version: int, kind: ChangeRequestKind) -> OrderSeen:
        """A new order, not sent yet."""
        self._numbers += 1
        body = order_body(kind, self._numbers, version)
        digest = read_change_request(kind, str(base), body).digest
        return OrderSeen(self._numbers, base, version, digest, self._world.sync())

    async def send(
        self, order: OrderSeen, kind: ChangeRequestKind, first: ControlMachine | None = None
    ) -> int:
        """Send an order until its answer is clear; its last status, 0 where it was given up."""
        body = order_body(kind, order.number, order.version)
        self._world.seen.order_sent(order)
        pause_s = FIRST_BACKOFF_S
        waiting = [first] if first is not None else []
        while self._world.sync() < order.sent_s + GIVE_UP_S:
            waiting = waiting or self._platform.shuffled()
            machine = waiting.pop(0)
            status = await self._send_once(machine, order, kind, body)
            if status:
                return status
            await asyncio.sleep(pause_s)
            pause_s = min(MAX_BACKOFF_S, 2 * pause_s)
        return 0

    async def _send_once(
        self, machine: ControlMachine, order: OrderSeen, kind: ChangeRequestKind, body: bytes
    ) -> int:
        answer = await self._platform.call(machine, kind.value, "/v1/config", body, str(order.base))
        now_s = self._world.sync()
        if answer is None or self._world.rng.random() < self._platform.answers_lost:
            return 0
        if answer.status == TAKEN:
            self._world.seen.order_taken(now_s, order)
            self.known = max(self.known, order.version)
            self._on_taken(order.version)
        elif answer.status in REFUSED:
            self._world.seen.order_refused(now_s, order, answer.status)
        else:
            return 0
        return answer.status

    async def repeat(self, order: OrderSeen, kind: ChangeRequestKind, machine: ControlMachine) -> None:
        """Send an order that was acknowledged once more, as after a lost answer: it must not be refused."""
        body = order_body(kind, order.number, order.version)
        answer = await self._platform.call(machine, kind.value, "/v1/config", body, str(order.base))
        if answer is not None and answer.status in REFUSED:
            self._world.seen.wrong(
                f"{order} was acknowledged, and refused with {answer.status} when repeated"
            )

    async def read(self, machine: ControlMachine) -> int | None:
        """Read the configuration at a machine; its version, or None where it gave none."""
        sent_s = self._world.sync()
        answer = await self._platform.call(machine, "GET", "/v1/config")
        if answer is None or answer.status != TAKEN:
            return None
        version, mark = version_and_mark(answer.body)
        self._world.seen.read(sent_s, self._world.sync(), machine.name, version, mark)
        return version


class ModelServer:
    """A model server: its heartbeats, and how it leaves. `on_left` is told when its leaving was acknowledged."""

    def __init__(self, platform: Platform, name: str, on_left: Callable[[ModelServer], None]) -> None:
        self.name = name
        self.state = "ready"
        self.acknowledged_s: float | None = None  # of its word that it leaves
        self.leaving_s: float | None = None
        self.gone = False
        self._platform = platform
        self._world = platform.world
        self._on_left = on_left
        self._sequence = 0
        self._called: ControlMachine | None = None
        self._task = asyncio.get_running_loop().create_task(self._beat())

    def crash(self) -> None:
        """End without a word."""
        self.gone = True
        self._task.cancel()

    def drain(self) -> None:
        """Leave, as planned work does."""
        self._leave("draining")

    def say_goodbye(self) -> None:
        """Leave without ever draining: the goodbye comes first."""
        self._leave("gone")

    def _leave(self, state: str) -> None:
        if self.gone or self.state != "ready":
            return
        self.state = state
        self.leaving_s = self._world.sync()
        self._task.cancel()
        self._task = asyncio.get_running_loop().create_task(self._go())

    async def _beat(self) -> None:
        while True:
            await self._tell()
            await asyncio.sleep(HEARTBEAT_MS / 1000)

    async def _go(self) -> None:
        assert self.leaving_s is not None
        while self._world.sync() < self.leaving_s + UNHEARD_S:
            if await self._tell():
                self.acknowledged_s = self._world.sync()
                self._on_left(self)
                await asyncio.sleep(LINGER_S)
                break
            await asyncio.sleep(FIRST_BACKOFF_S)
        if self.state == "draining":
            self.state = "gone"
            await self._tell()
        self.gone = True

    async def _tell(self) -> bool:
        """One heartbeat, or a goodbye, at the node that answered last, or else at others in turn."""
        machines = self._platform.shuffled()
        if self._called in machines:
            machines.remove(self._called)
            machines.insert(0, self._called)
        for machine in machines:
            answer = await self._call(machine)
            if answer is not None and answer.status == TAKEN and len(answer.body) <= MOST_BYTES:
                self._called = machine
                return True
        return False

    async def _call(self, machine: ControlMachine) -> Answer | None:
        path = f"/v1/instances/{self.name}"
        if self.state == "gone":
            return await self._platform.call(machine, "DELETE", path)
        self._sequence += 1
        heartbeat = {
            "Service": SERVICE,
            "Address": f"{self.name}:8080",
            "Zone": "zone-0",
            "Capacity": 8,
            "State": self.state,
            "Sequence": self._sequence,
        }
        return await self._platform.call(machine, "PUT", path, json.dumps(heartbeat).encode())
