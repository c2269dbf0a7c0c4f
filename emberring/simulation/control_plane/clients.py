"""Clients of the control nodes: operators, who send changes and reads, and model servers."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from typing import Any

from emberring.configuration.change_requests import ChangeRequestKind, read_change_request
from emberring.emulator.configurations import HOST, SERVICE, trial_configuration
from emberring.simulation.control_plane.control_machine import HEARTBEAT_MS, Answer, ControlMachine
from emberring.simulation.control_plane.follower_process import MARK_PREFIX
from emberring.simulation.control_plane.history import ACCEPTED, REJECTED, ObservedRequest
from emberring.simulation.control_plane.world import ControlWorld

ANSWER_TIMEOUT_S = 1.0  # of one call
FIRST_BACKOFF_S = 0.05
MAX_BACKOFF_S = 0.6
TIMEOUT_S = 40.0  # of a request with all its retries
DRAIN_MS = 2000.0
LINGER_S = 3.0  # a draining server goes on serving for so long after the acknowledgement
UNACKNOWLEDGED_S = 6.0  # a server whose drain is not acknowledged ends after so long
MAX_REPLY_BYTES = 4096


def mark_route(number: int) -> dict[str, Any]:
    """A route that identifies the request that made a configuration."""
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


def request_body(kind: ChangeRequestKind, number: int, version: int) -> bytes:
    """The body of a request: a complete configuration, or a patch."""
    if kind is ChangeRequestKind.PATCH:
        return json.dumps({"Version": version, "Upsert": {"Routes": [mark_route(number)]}}).encode()
    document = trial_configuration(version)
    document["Routes"].append(mark_route(number))
    return json.dumps(document).encode()


def version_and_mark(body: bytes) -> tuple[int, int]:
    """The version of a configuration that was read, and the number of the request that made it."""
    document = json.loads(body)
    prefixes = [route["PathPrefix"] for route in document["Routes"] if route["Name"] == "mark"]
    return document["Version"], int(prefixes[0][len(MARK_PREFIX) :].strip("/")) if prefixes else 0


class Platform:
    """The network between clients and control nodes.

    `machines` gives the control machines that clients know; the share `answers_lost` of the answers to operators is
    lost.
    """

    def __init__(self, world: ControlWorld, machines: Callable[[], list[ControlMachine]]) -> None:
        self.world = world
        self.machines = machines
        self.answers_lost = 0.0

    async def call(
        self, machine: ControlMachine, method: str, path: str, body: bytes = b"", if_match: str = ""
    ) -> Answer | None:
        """One call; None after a time-out, a refused or a broken connection."""
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                await asyncio.sleep(self.world.delay_s())
                if machine.process is None:
                    await self._wait_for_dark(machine)
                    return None
                answer = await machine.http(method, path, body, if_match)
                await asyncio.sleep(self.world.delay_s())
                return answer
        except TimeoutError:
            return None

    async def _wait_for_dark(self, machine: ControlMachine) -> None:
        if machine.name in self.world.dark:
            await asyncio.sleep(ANSWER_TIMEOUT_S)

    def shuffled(self) -> list[ControlMachine]:
        """The machines in random order."""
        found = list(self.machines())
        self.world.rng.shuffle(found)
        return found


class Operators:
    """Changes and reads of operators, retried as the protocol requires.

    `on_accepted` is called with acknowledged versions.
    """

    def __init__(self, platform: Platform, on_accepted: Callable[[int], None]) -> None:
        self._platform = platform
        self._world = platform.world
        self._on_accepted = on_accepted
        self._numbers = 0
        self.known = 0  # the newest version that an operator knows to be in force

    def request(self, base: int, version: int, kind: ChangeRequestKind) -> ObservedRequest:
        """A new request, not sent yet."""
        self._numbers += 1
        body = request_body(kind, self._numbers, version)
        digest = read_change_request(kind, str(base), body).digest
        return ObservedRequest(self._numbers, base, version, digest, self._world.sync())

    async def send(
        self, request: ObservedRequest, kind: ChangeRequestKind, first: ControlMachine | None = None
    ) -> int:
        """Send a request until its outcome is known; its last status, 0 after the time-out."""
        body = request_body(kind, request.number, request.version)
        self._world.seen.request_sent(request)
        pause_s = FIRST_BACKOFF_S
        waiting = [first] if first is not None else []
        while self._world.sync() < request.sent_s + TIMEOUT_S:
            waiting = waiting or self._platform.shuffled()
            machine = waiting.pop(0)
            status = await self._send_once(machine, request, kind, body)
            if status:
                return status
            await asyncio.sleep(pause_s)
            pause_s = min(MAX_BACKOFF_S, 2 * pause_s)
        return 0

    async def _send_once(
        self, machine: ControlMachine, request: ObservedRequest, kind: ChangeRequestKind, body: bytes
    ) -> int:
        answer = await self._platform.call(machine, kind.value, "/v1/config", body, str(request.base))
        now_s = self._world.sync()
        if answer is None or self._world.rng.random() < self._platform.answers_lost:
            return 0
        if answer.status == ACCEPTED:
            self._world.seen.request_accepted(now_s, request)
            self.known = max(self.known, request.version)
            self._on_accepted(request.version)
        elif answer.status in REJECTED:
            self._world.seen.request_rejected(now_s, request, answer.status)
        else:
            return 0
        return answer.status

    async def repeat(
        self, request: ObservedRequest, kind: ChangeRequestKind, machine: ControlMachine
    ) -> None:
        """Send an acknowledged request once more, as after a lost answer: it must not be rejected."""
        body = request_body(kind, request.number, request.version)
        answer = await self._platform.call(machine, kind.value, "/v1/config", body, str(request.base))
        if answer is not None and answer.status in REJECTED:
            self._world.seen.wrong(
                f"{request} was acknowledged, and refused with {answer.status} when repeated"
            )

    async def read(self, machine: ControlMachine) -> int | None:
        """Read the configuration at a machine; its version, or None where it gave none."""
        sent_s = self._world.sync()
        answer = await self._platform.call(machine, "GET", "/v1/config")
        if answer is None or answer.status != ACCEPTED:
            return None
        version, mark = version_and_mark(answer.body)
        self._world.seen.read(sent_s, self._world.sync(), machine.name, version, mark)
        return version


class ModelServer:
    """A model server: its heartbeats and its shutdown.

    `on_left` is called when its drain or goodbye was acknowledged.
    """

    def __init__(self, platform: Platform, name: str, on_left: Callable[[ModelServer], None]) -> None:
        self.name = name
        self.state = "ready"
        self.acknowledged_s: float | None = None  # when its drain or goodbye was
        self.leaving_s: float | None = None
        self.gone = False
        self._platform = platform
        self._world = platform.world
        self._on_left = on_left
        self._sequence = 0
        self._last_answering: ControlMachine | None = None
        self._task = asyncio.get_running_loop().create_task(self._send_heartbeats())

    def crash(self) -> None:
        """End without a drain or goodbye."""
        self.gone = True
        self._task.cancel()

    def drain(self) -> None:
        """Drain, as for planned maintenance."""
        self._begin_shutdown("draining")

    def say_goodbye(self) -> None:
        """Send a goodbye without draining before."""
        self._begin_shutdown("gone")

    def _begin_shutdown(self, state: str) -> None:
        if self.gone or self.state != "ready":
            return
        self.state = state
        self.leaving_s = self._world.sync()
        self._task.cancel()
        self._task = asyncio.get_running_loop().create_task(self._shut_down(self.leaving_s))

    async def _send_heartbeats(self) -> None:
        while True:
            await self._report_state()
            await asyncio.sleep(HEARTBEAT_MS / 1000)

    async def _shut_down(self, since_s: float) -> None:
        while self._world.sync() < since_s + UNACKNOWLEDGED_S:
            if await self._report_state():
                self.acknowledged_s = self._world.sync()
                self._on_left(self)
                await asyncio.sleep(LINGER_S)
                break
            await asyncio.sleep(FIRST_BACKOFF_S)
        if self.state == "draining":
            self.state = "gone"
            await self._report_state()
        self.gone = True

    async def _report_state(self) -> bool:
        """Send a heartbeat, or a goodbye, to the node that answered last, or else to others in turn.

        Whether one accepted it.
        """
        machines = self._platform.shuffled()
        if self._last_answering in machines:
            machines.remove(self._last_answering)
            machines.insert(0, self._last_answering)
        for machine in machines:
            answer = await self._call(machine)
            if answer is not None and answer.status == ACCEPTED and len(answer.body) <= MAX_REPLY_BYTES:
                self._last_answering = machine
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
