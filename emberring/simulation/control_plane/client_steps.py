"""The steps of a schedule that operators and model servers carry out."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from emberring.configuration.change_requests import ChangeRequestKind
from emberring.simulation.control_plane.clients import ModelServer
from emberring.simulation.control_plane.control_machine import ControlMachine
from emberring.simulation.control_plane.deployment import Deployment
from emberring.simulation.control_plane.history import ACCEPTED, ObservedRequest
from emberring.simulation.control_plane.schedule import Step

MANY = 40  # requests in a row
ANSWERS_LOST = 0.7  # share of the answers to operators, while they are lost


class ClientSteps:
    """The steps of clients; none is carried out once `_ended`."""

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        self._world = deployment.world
        self._ended = False
        self._tasks: set[asyncio.Task[None]] = set()
        self._accepted_requests: list[tuple[ObservedRequest, ChangeRequestKind]] = []

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _later(self, wait_s: float, work: Callable[..., None], *arguments: Any) -> None:
        self._world.at(self._world.now_s + wait_s, work, *arguments)

    def _control_machine(self, step: Step) -> ControlMachine:
        control_machines = self._deployment.control_machines
        return control_machines[step.slot % len(control_machines)]

    # Operators.

    def _kind(self) -> ChangeRequestKind:
        patch = self._deployment.operators.known > 0 and self._world.rng.random() < 0.5
        return ChangeRequestKind.PATCH if patch else ChangeRequestKind.REPLACE

    def _request(self, step: Step, version: int | None = None) -> None:
        operators = self._deployment.operators
        known = operators.known
        kind = self._kind()
        request = operators.request(known, version or known + self._world.rng.randint(1, 3), kind)
        self._spawn(self._send(request, kind, self._control_machine(step)))

    async def _send(self, request: ObservedRequest, kind: ChangeRequestKind, machine: ControlMachine) -> None:
        if await self._deployment.operators.send(request, kind, machine) == ACCEPTED:
            self._accepted_requests.append((request, kind))

    def _race(self, step: Step) -> None:
        version = self._deployment.operators.known + self._world.rng.randint(1, 3)
        self._request(step, version)
        self._request(Step(step.at_s, step.kind, step.slot + 1), version)

    def _many(self, step: Step) -> None:
        self._spawn(self._send_many())

    async def _send_many(self) -> None:
        operators = self._deployment.operators
        for _ in range(MANY):
            if self._ended:
                return
            kind = self._kind()
            request = operators.request(operators.known, operators.known + 1, kind)
            if await operators.send(request, kind) == ACCEPTED:
                self._accepted_requests.append((request, kind))

    def _repeat(self, step: Step) -> None:
        if self._accepted_requests:
            request, kind = self._accepted_requests[step.slot % len(self._accepted_requests)]
            self._spawn(self._deployment.operators.repeat(request, kind, self._control_machine(step)))

    def _read(self, step: Step) -> None:
        self._spawn(self._read_at(self._control_machine(step)))

    async def _read_at(self, machine: ControlMachine) -> None:
        await self._deployment.operators.read(machine)

    def _lose_answers(self, step: Step) -> None:
        self._deployment.platform.answers_lost = ANSWERS_LOST
        self._later(step.lasts_s, setattr, self._deployment.platform, "answers_lost", 0.0)

    # Model servers.

    def _server(self, step: Step) -> None:
        self._deployment.add_server()

    def _staying(self, step: Step) -> ModelServer | None:
        found = [server for server in self._deployment.servers if not server.gone and server.state == "ready"]
        return found[step.slot % len(found)] if found else None

    def _drain(self, step: Step) -> None:
        if (server := self._staying(step)) is not None:
            server.drain()

    def _goodbye(self, step: Step) -> None:
        if (server := self._staying(step)) is not None:
            server.say_goodbye()

    def _crash(self, step: Step) -> None:
        if (server := self._staying(step)) is not None:
            server.crash()
