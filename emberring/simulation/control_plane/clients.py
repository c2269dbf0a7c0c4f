"""Simulated clients of the control nodes: operators that send changes and reads, and model servers."""

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

ANSWER_TIMEOUT_S = 1.0  # of one HTTP call
FIRST_BACKOFF_S = 0.05
MAX_BACKOFF_S = 0.6
TIMEOUT_S = 40.0  # of a request including all retries
DRAIN_MS = 2000.0
SERVING_AFTER_ACK_S = 3.0  # a draining server keeps serving this long after the acknowledgement
UNACKNOWLEDGED_S = 6.0  # a server stops after this time if its drain is not acknowledged
MAX_REPLY_BYTES = 4096


def mark_route(number: int) -> dict[str, Any]:
    """A route whose path identifies the request that produced a configuration."""
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
    """The body of a change request: a complete configuration or a patch."""
    if kind is ChangeRequestKind.PATCH:
        return json.dumps({"Version": version, "Upsert": {"Routes": [mark_route(number)]}}).encode()
    document = trial_configuration(version)
    document["Routes"].append(mark_route(number))
    return json.dumps(document).encode()


def version_and_mark(body: bytes) -> tuple[int, int]:
    """The version of a configuration document and the number of the request that produced it."""
    document = json.loads(body)
    prefixes = [route["PathPrefix"] for route in document["Routes"] if route["Name"] == "mark"]
    return document["Version"], int(prefixes[0][len(MARK_PREFIX) :].strip("/")) if prefixes else 0


class Platform:
    """The network between clients and control nodes.

    `machines` returns the control machines known to clients. `response_loss_share` is the share of responses to
    operators that is lost.
    """

    def __init__(self, world: ControlWorld, machines: Callable[[], list[ControlMachine]]) -> None:
        self.world = world
        self.machines = machines
        self.response_loss_share = 0.0

    async def call(
        self, machine: ControlMachine, method: str, path: str, body: bytes = b"", if_match: str = ""
    ) -> Answer | None:
        """Send one call; returns None after a timeout, a refused connection or a broken one."""
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                await asyncio.sleep(self.world.delay_s())
                if machine.process is None:
                    await self._wait_if_powered_off(machine)
                    return None
                answer = await machine.http(method, path, body, if_match)
                await asyncio.sleep(self.world.delay_s())
                return answer
        except TimeoutError:
            return None

    async def _wait_if_powered_off(self, machine: ControlMachine) -> None:
        if machine.name in self.world.powered_off:
            await asyncio.sleep(ANSWER_TIMEOUT_S)

    def shuffled(self) -> list[ControlMachine]:
        """The machines in random order."""
        found = list(self.machines())
        self.world.rng.shuffle(found)
        return found


class Operators:
    """Sends changes and reads of operators, with the retries that the protocol requires.

    `on_accepted` is called with each acknowledged version.
    """

    def __init__(self, platform: Platform, on_accepted: Callable[[int], None]) -> None:
        self._platform = platform
        self._world = platform.world
        self._on_accepted = on_accepted
        self._numbers = 0
        self.known_version = 0  # the newest version acknowledged to an operator

    def request(self, base: int, version: int, kind: ChangeRequestKind) -> ObservedRequest:
        """Create a new request without sending it."""
        self._numbers += 1
        body = request_body(kind, self._numbers, version)
        digest = read_change_request(kind, str(base), body).digest
        return ObservedRequest(self._numbers, base, version, digest, self._world.sync())

    async def send(
        self, request: ObservedRequest, kind: ChangeRequestKind, first: ControlMachine | None = None
    ) -> int:
        """Send a request until its outcome is known; returns the last status, or 0 after the timeout."""
        body = request_body(kind, request.number, request.version)
        self._world.control_history.request_sent(request)
        backoff_s = FIRST_BACKOFF_S
        waiting = [first] if first is not None else []
        while self._world.sync() < request.sent_s + TIMEOUT_S:
            waiting = waiting or self._platform.shuffled()
            machine = waiting.pop(0)
            status = await self._send_once(machine, request, kind, body)
            if status:
                return status
            await asyncio.sleep(backoff_s)
            backoff_s = min(MAX_BACKOFF_S, 2 * backoff_s)
        return 0

    async def _send_once(
        self, machine: ControlMachine, request: ObservedRequest, kind: ChangeRequestKind, body: bytes
    ) -> int:
        answer = await self._platform.call(machine, kind.value, "/v1/config", body, str(request.base))
        now_s = self._world.sync()
        if answer is None or self._world.rng.random() < self._platform.response_loss_share:
            return 0
        if answer.status == ACCEPTED:
            self._world.control_history.request_accepted(now_s, request)
            self.known_version = max(self.known_version, request.version)
            self._on_accepted(request.version)
        elif answer.status in REJECTED:
            self._world.control_history.request_rejected(now_s, request, answer.status)
        else:
            return 0
        return answer.status

    async def repeat(
        self, request: ObservedRequest, kind: ChangeRequestKind, machine: ControlMachine
    ) -> None:
        """Send an acknowledged request again, as after a lost response: it must not be rejected."""
        body = request_body(kind, request.number, request.version)
        answer = await self._platform.call(machine, kind.value, "/v1/config", body, str(request.base))
        if answer is not None and answer.status in REJECTED:
            self._world.control_history.add_violation(
                f"{request} was acknowledged, then rejected with {answer.status} when repeated"
            )

    async def read(self, machine: ControlMachine) -> int | None:
        """Read the configuration from a machine; returns its version, or None if the read failed."""
        sent_s = self._world.sync()
        answer = await self._platform.call(machine, "GET", "/v1/config")
        if answer is None or answer.status != ACCEPTED:
            return None
        version, mark = version_and_mark(answer.body)
        self._world.control_history.read(sent_s, self._world.sync(), machine.name, version, mark)
        return version


class ModelServer:
    """A model server that sends heartbeats and shuts down.

    `on_shutdown_acknowledged` is called when its drain or deregistration is acknowledged. `address` is its own one, or
    that of a server that has ended; such a successor is not ended by a step, so that the final checks cover it.
    """

    def __init__(
        self,
        platform: Platform,
        name: str,
        on_shutdown_acknowledged: Callable[[ModelServer], None],
        address: str = "",
    ) -> None:
        self.name = name
        self.address = address or f"{name}:8080"
        self.is_successor = bool(address)
        self.state = "ready"
        self.acknowledged_s: float | None = None  # when its drain or deregistration was acknowledged
        self.leaving_s: float | None = None
        self.gone = False
        self._platform = platform
        self._world = platform.world
        self._on_shutdown_acknowledged = on_shutdown_acknowledged
        self._sequence = 0
        self._last_answering: ControlMachine | None = None
        self._task = asyncio.get_running_loop().create_task(self._send_heartbeats())

    def crash(self) -> None:
        """Stop without a drain or deregistration."""
        self.gone = True
        self._task.cancel()

    def drain(self) -> None:
        """Start draining, as for planned maintenance."""
        self._begin_shutdown("draining")

    def deregister(self) -> None:
        """Deregister without draining first."""
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
                self._on_shutdown_acknowledged(self)
                await asyncio.sleep(SERVING_AFTER_ACK_S)
                break
            await asyncio.sleep(FIRST_BACKOFF_S)
        if self.state == "draining":
            self.state = "gone"
            await self._report_state()
        self.gone = True

    async def _report_state(self) -> bool:
        """Send a heartbeat or a deregistration to the node that answered last, then to the others in turn.

        Returns whether a node accepted it.
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
        return await self._platform.call(machine, "PUT", path, self.heartbeat(self._sequence))

    def heartbeat(self, sequence: int) -> bytes:
        """Return the body of its heartbeat with this sequence number."""
        content = {
            "Service": SERVICE,
            "Address": self.address,
            "Zone": "zone-0",
            "Capacity": 8,
            "State": self.state,
            "Sequence": sequence,
        }
        return json.dumps(content).encode()

    @property
    def next_heartbeat(self) -> bytes:
        """The body of the heartbeat that it would send next."""
        return self.heartbeat(self._sequence + 1)
