"""Runs the complete control plane in virtual time on schedules from seeds; checks histories and progress."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import attrs

from emberring.configuration.change_requests import ChangeRequestKind
from emberring.simulation.common.shrinking import shrink_schedule
from emberring.simulation.common.task_owner import install_owner_task_factory
from emberring.simulation.common.virtual_time import run_virtually
from emberring.simulation.control_plane.deployment import APPLY_S, CONTACT_S, Deployment
from emberring.simulation.control_plane.fault_injector import FaultInjector
from emberring.simulation.control_plane.history import ACCEPTED
from emberring.simulation.control_plane.mutations import Mutation, seeded
from emberring.simulation.control_plane.schedule import Schedule, make_schedule, with_restarts

ACK_S = 4.0
# Below the bound of 4.9 s, and before the change sent after the last fault could help a replica to catch up.
CATCH_UP_S = 2.9
COMPLETE_S = 8.0  # deadline for a complete replica set, from the last fault
SERVERS_KNOWN_S = 8.0  # deadline for every gateway to know every server, from the last fault
POLL_S = 0.02


@attrs.frozen
class Times:
    """Recovery times in seconds, from the end of the last fault."""

    change_s: float = 0.0
    followers_s: float = 0.0  # from the acknowledgement
    replicas_s: float = 0.0
    replica_set_s: float = 0.0


@attrs.frozen
class Verdict:
    """The violations found in the run of a schedule, and counts of its activity."""

    schedule: Schedule
    violations: tuple[str, ...]
    acknowledged: int = 0
    events: int = 0
    times: Times = Times()


class _ScheduleRun:
    """One run of a schedule."""

    def __init__(self, schedule: Schedule, mutation: Mutation | None) -> None:
        self._schedule = schedule
        self._mutation = mutation
        self.verdict = Verdict(schedule, ())

    async def run(self) -> None:
        """Run the schedule and set `verdict`."""
        install_owner_task_factory(asyncio.get_running_loop())
        deployment = Deployment(self._schedule, self._mutation)
        asyncio.get_running_loop().set_exception_handler(
            lambda _, context: deployment.world.control_history.add_violation(
                f"fault: {context.get('exception', context['message'])!r}"
            )
        )
        fault_injector = FaultInjector(deployment)
        await deployment.start()
        began_s = deployment.world.sync()
        for step in self._schedule.steps:
            deployment.world.at(began_s + step.at_s, fault_injector.run, step)
        await asyncio.sleep(self._schedule.span_s)
        fault_injector.end()
        times = await _Recovery(deployment).run()
        await deployment.stop()
        history = deployment.world.control_history
        acknowledged = sum(1 for request in history.requests if request.status == ACCEPTED)
        self.verdict = Verdict(
            self._schedule, tuple(history.finish()), acknowledged, deployment.world.events_handled, times
        )


class _Recovery:
    """Checks that the deployment recovers in time after the last fault."""

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        self._world = deployment.world

    async def run(self) -> Times:
        """Wait for each condition; a condition that misses its deadline is a violation."""
        complete_s, request = await asyncio.gather(
            self._until(self._replica_set_is_complete, COMPLETE_S, "the replica set is not complete"),
            self._check_change(),
        )
        await self._until(self._servers_known, SERVERS_KNOWN_S, "a gateway does not know all servers")
        await self._check_drain()
        await self._check_final_reads()
        return Times(request[0], request[1], request[2], complete_s)

    async def _until(self, condition: Callable[[], bool], within_s: float, message: str) -> float:
        began_s = self._world.sync()
        while not condition():
            await asyncio.sleep(POLL_S)
            if self._world.sync() - began_s > within_s:
                self._world.control_history.add_violation(f"{message} within {within_s} s")
                return within_s
        return self._world.now_s - began_s

    async def _check_change(self) -> tuple[float, float, float]:
        """Send a change based on the newest version once machines are in contact again."""
        replicas = asyncio.get_running_loop().create_task(
            self._until(self._replicas_agree, CATCH_UP_S, "a replica has not caught up")
        )
        await asyncio.sleep(CONTACT_S)
        operators = self._deployment.operators
        began_s = self._world.sync()
        base = max(
            [
                operators.known_version,
                *(machine.learned_version for machine in self._deployment.control_machines),
            ]
        )
        request = operators.request(base, base + 1, ChangeRequestKind.REPLACE)
        status = await operators.send(request, ChangeRequestKind.REPLACE)
        took_s = self._world.sync() - began_s
        if status != ACCEPTED:
            self._world.control_history.add_violation(
                f"after the last fault, {request} was answered {status}"
            )
        if took_s > ACK_S:
            self._world.control_history.add_violation(f"after the last fault, {request} took {took_s:.1f} s")
        followers_s = await self._until(
            lambda: self._followers_have(request.version),
            APPLY_S,
            "a follower does not have the newest version",
        )
        return took_s, followers_s, await replicas

    def _followers_have(self, version: int) -> bool:
        return all(
            store.follower is not None
            and store.follower.configuration is not None
            and store.follower.configuration.version >= version
            for store in self._deployment.followers
            if not store.gone
        )

    def _replicas_agree(self) -> bool:
        learned = [
            machine.node.learned.number if machine.node is not None and machine.node.learned else None
            for machine in self._deployment.control_machines
        ]
        return None not in learned and len(set(learned)) == 1

    def _replica_set_is_complete(self) -> bool:
        here = {machine.identity for machine in self._deployment.control_machines if machine.node is not None}
        for machine in self._deployment.control_machines:
            if machine.node is None or machine.node.learned is None:
                return False
            replicas = machine.node.learned.state.replicas
            if replicas.joining or not all(member.identity in here for member in replicas.members):
                return False
        return True

    def _servers_known(self) -> bool:
        serving = [
            server for server in self._deployment.servers if not server.gone and server.state == "ready"
        ]
        return all(
            self._deployment.routes_to(gateway, server)
            for gateway in self._deployment.gateways
            for server in serving
        )

    async def _check_drain(self) -> None:
        """Check that a drain is acknowledged in time; `Deployment` checks that gateways stop using the server."""
        server = self._deployment.add_server()
        await asyncio.sleep(APPLY_S)
        server.drain()
        await self._until(lambda: server.acknowledged_s is not None, ACK_S, "a drain was not acknowledged")
        await asyncio.sleep(APPLY_S + POLL_S)

    async def _check_final_reads(self) -> None:
        """Check that every control machine responds to a read; the history checks its version."""
        for machine in self._deployment.control_machines:
            if await self._deployment.operators.read(machine) is None:
                self._world.control_history.add_violation(f"the last read at {machine.name} was not answered")


def play(schedule: Schedule, mutation: Mutation | None = None) -> Verdict:
    """Run a schedule; a schedule always gives the same verdict in the same process."""
    schedule_run = _ScheduleRun(schedule, mutation)
    with seeded(mutation):
        run_virtually(schedule_run.run())
    return schedule_run.verdict


def play_seed(seed: int, mutation: Mutation | None = None) -> Verdict:
    """Run the schedule of a seed."""
    return play(with_restarts(make_schedule(seed)), mutation)


def shorten(verdict: Verdict, mutation: Mutation | None = None) -> Verdict:
    """Shrink a failing schedule; returns the verdict of the shortest failing one found."""
    return shrink_schedule(verdict, lambda schedule: play(schedule, mutation))


def describe(verdict: Verdict) -> str:
    """Describe a failing schedule: seed, steps in the syntax of a test, and violations."""
    schedule = verdict.schedule
    lines = [
        f"seed {schedule.seed}: {len(schedule.steps)} steps in {schedule.span_s} s, {schedule.spares} spares, "
        f"delays of up to {schedule.slowest_s} s, syncs of {schedule.sync_s} s"
    ]
    for step in schedule.steps:
        lines.append(f"  Step({step.at_s:.4f}, Kind.{step.kind.name}, {step.slot}, {step.duration_s:.4f}),")
    lines += [f"  wrong: {violation}" for violation in verdict.violations]
    return "\n".join(lines)
