"""Steps of a schedule that are performed by operators and model servers."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Coroutine
from typing import Any

from emberring.configuration.change_requests import ChangeRequestKind
from emberring.simulation.control_plane.clients import ModelServer
from emberring.simulation.control_plane.control_machine import ControlMachine
from emberring.simulation.control_plane.deployment import Deployment
from emberring.simulation.control_plane.history import ACCEPTED, ObservedRequest
from emberring.simulation.control_plane.schedule import Step

CHANGES_IN_SERIES = 40  # change requests
RESPONSE_LOSS_SHARE = 0.7  # share of the responses to operators that are lost during the step
ADDRESS_REUSE_S = 2.0  # from the crash of a server until its address is used again
MAX_HEARTBEAT_DELAY_S = 5.0  # from then on
EARLY_CRASHES = 4  # incarnations that crash before their first heartbeat arrives
MAX_MACHINES = 12  # of which one is drawn; the number is taken modulo those that there are


class ClientSteps:
    """Performs the steps of clients; does nothing once `_ended` is set."""

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        self._world = deployment.world
        self._ended = False
        self._tasks: set[asyncio.Task[None]] = set()
        self._accepted_requests: list[tuple[ObservedRequest, ChangeRequestKind]] = []

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _call_later(self, wait_s: float, callback: Callable[..., None], *arguments: Any) -> None:
        self._world.at(self._world.now_s + wait_s, callback, *arguments)

    def _control_machine(self, step: Step) -> ControlMachine:
        control_machines = self._deployment.control_machines
        return control_machines[step.slot % len(control_machines)]

    # Operators.

    def _kind(self) -> ChangeRequestKind:
        patch = self._deployment.operators.known_version > 0 and self._world.rng.random() < 0.5
        return ChangeRequestKind.PATCH if patch else ChangeRequestKind.REPLACE

    def _send_change(self, step: Step, version: int | None = None) -> None:
        operators = self._deployment.operators
        known_version = operators.known_version
        kind = self._kind()
        request = operators.request(
            known_version, version or known_version + self._world.rng.randint(1, 3), kind
        )
        self._spawn(self._send(request, kind, self._control_machine(step)))

    async def _send(self, request: ObservedRequest, kind: ChangeRequestKind, machine: ControlMachine) -> None:
        if await self._deployment.operators.send(request, kind, machine) == ACCEPTED:
            self._accepted_requests.append((request, kind))

    def _send_concurrent_changes(self, step: Step) -> None:
        version = self._deployment.operators.known_version + self._world.rng.randint(1, 3)
        self._send_change(step, version)
        self._send_change(Step(step.at_s, step.kind, step.slot + 1), version)

    def _send_change_series(self, step: Step) -> None:
        self._spawn(self._send_all_of_series())

    async def _send_all_of_series(self) -> None:
        operators = self._deployment.operators
        for _ in range(CHANGES_IN_SERIES):
            if self._ended:
                return
            kind = self._kind()
            request = operators.request(operators.known_version, operators.known_version + 1, kind)
            if await operators.send(request, kind) == ACCEPTED:
                self._accepted_requests.append((request, kind))

    def _repeat_change(self, step: Step) -> None:
        if self._accepted_requests:
            request, kind = self._accepted_requests[step.slot % len(self._accepted_requests)]
            self._spawn(self._deployment.operators.repeat(request, kind, self._control_machine(step)))

    def _read(self, step: Step) -> None:
        self._spawn(self._read_at(self._control_machine(step)))

    async def _read_at(self, machine: ControlMachine) -> None:
        await self._deployment.operators.read(machine)

    def _lose_responses(self, step: Step) -> None:
        self._deployment.platform.response_loss_share = RESPONSE_LOSS_SHARE
        self._call_later(step.duration_s, setattr, self._deployment.platform, "response_loss_share", 0.0)

    # Model servers.

    def _start_server(self, step: Step) -> None:
        self._deployment.add_server()

    def _ready_server(self, step: Step) -> ModelServer | None:
        found = [
            server
            for server in self._deployment.servers
            if not server.gone and server.state == "ready" and not server.is_successor
        ]
        return found[step.slot % len(found)] if found else None

    def _drain_server(self, step: Step) -> None:
        if (server := self._ready_server(step)) is not None:
            server.drain()

    def _deregister_server(self, step: Step) -> None:
        if (server := self._ready_server(step)) is not None:
            server.deregister()

    def _crash_server(self, step: Step) -> None:
        if (server := self._ready_server(step)) is not None:
            server.crash()

    def _restart_server(self, step: Step) -> None:
        """Crash a server and start its next incarnation at its address while heartbeats of ended ones are on their way.

        These are its last heartbeat, and the first ones of incarnations that crashed before anything was heard of them.
        Each arrives twice, at any control node, also after heartbeats of the living server.
        """
        server = self._ready_server(step)
        if server is None:
            return
        server.crash()
        self._call_later(ADDRESS_REUSE_S, self._start_successor, server.address)
        rng = random.Random(f"late heartbeats {self._deployment.schedule.seed} {step.at_s}")
        late = [(server.name, server.next_heartbeat)]
        late += [(f"{server.name}-early-{number}", server.heartbeat(1)) for number in range(EARLY_CRASHES)]
        for name, body in late * 2:
            wait_s = rng.uniform(ADDRESS_REUSE_S, ADDRESS_REUSE_S + MAX_HEARTBEAT_DELAY_S)
            self._call_later(wait_s, self._deliver_late, name, body, rng.randrange(MAX_MACHINES))

    def _start_successor(self, address: str) -> None:
        if not self._ended:
            self._deployment.add_server(address)

    def _deliver_late(self, name: str, body: bytes, slot: int) -> None:
        machines = self._deployment.control_machines
        if not self._ended and machines:
            machine = machines[slot % len(machines)]
            self._spawn(self._deliver(machine, name, body))

    async def _deliver(self, machine: ControlMachine, name: str, body: bytes) -> None:
        await self._deployment.platform.call(machine, "PUT", f"/v1/instances/{name}", body)
