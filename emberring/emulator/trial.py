"""A trial of a complete tier on loopback: traffic, a killed node of each role, and replaced model servers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path

import attrs

from emberring.emulator.configurations import SERVICE, TrialLimits, added_route, trial_configuration
from emberring.emulator.engine import EngineSpec
from emberring.emulator.invariant_checker import Violation
from emberring.emulator.job_client import JobHistory
from emberring.emulator.local_tier import LocalTier, TierSize
from emberring.emulator.observations import Observations
from emberring.emulator.operator import Operator
from emberring.emulator.server_fleet import ServerFleet
from emberring.emulator.store_scan import busiest_store
from emberring.emulator.traffic import Tally, Traffic, TrafficPlan
from emberring.errors import NotReadyError

START_TIMEOUT_S = 15.0
RECOVERY_TIMEOUT_S = 15.0


@attrs.frozen
class TrialPlan:
    """The size, traffic and faults of a trial; times in seconds.

    `pause_between_faults_s` separates the faults of nodes that are members of a quorum.
    """

    size: TierSize = attrs.field(factory=TierSize)
    traffic: TrafficPlan = attrs.field(factory=TrafficPlan)
    servers: int = 3
    calm_s: float = 2.0
    downtime_s: float = 1.0
    pause_between_faults_s: float = 4.0
    finish_s: float = 10.0
    kill_roles: tuple[str, ...] = ("gateway", "store", "control")
    server_faults: bool = True


@attrs.frozen
class Fault:
    """An injected fault or change.

    `recovery_s` is the time from a node's restart to its recovery, or the duration of a change; None if it failed.
    """

    what: str
    node: str
    recovery_s: float | None


@attrs.frozen
class TrialReport:
    """The results of a trial."""

    started_s: float
    faults: tuple[Fault, ...]
    tallies: dict[str, Tally]
    jobs: tuple[JobHistory, ...]
    violations: tuple[Violation, ...]
    exit_codes: dict[str, int | None]
    logs: dict[str, tuple[str, ...]]  # the last log lines of nodes that did not exit with code 0

    @property
    def clean(self) -> bool:
        """Whether no invariant was violated, most streams were served, and all jobs, recoveries and exits succeeded."""
        recovered = all(fault.recovery_s is not None for fault in self.faults)
        accepted = [history for history in self.jobs if history.accepted]
        jobs_complete = bool(accepted) and all(history.complete for history in accepted)
        stopped_normally = all(code == 0 for code in self.exit_codes.values())
        sent = sum(tally.sent for tally in self.tallies.values())
        served = sum(tally.served for tally in self.tallies.values())
        return not self.violations and recovered and jobs_complete and stopped_normally and served * 2 > sent


class Trial:
    """Runs a trial by its plan; `report_progress` is called with one line of text for each step."""

    def __init__(
        self, folder: Path, plan: TrialPlan, report_progress: Callable[[str], None], seed: int = 1
    ) -> None:
        self._plan = plan
        self._report_progress = report_progress
        self._observations = Observations()
        self._tier = LocalTier(folder, plan.size)
        self._operator = Operator(self._tier.controls())
        engine = EngineSpec(stride=plan.traffic.stride)
        self._fleet = ServerFleet(SERVICE, engine, self._tier.controls, self._observations)
        self._traffic = Traffic(self._tier.frontends, self._observations, plan.traffic, seed)
        self._faults: list[Fault] = []

    async def run(self) -> TrialReport:
        """Run the trial. Raises `NotReadyError` if the tier does not start."""
        try:
            started_s = await self._start()
            self._traffic.start()
            await asyncio.sleep(self._plan.calm_s)
            await self._inject_faults()
            self._report_progress("traffic ends; waiting for open streams and lots")
            await self._traffic.stop(self._plan.finish_s)
            self._report_progress("asking every node to end")
            codes = await self._tier.stop()
            return self._report(started_s, codes)
        finally:
            self._tier.kill_all()
            await self._fleet.stop()

    async def _start(self) -> float:
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        size = self._plan.size
        self._report_progress(
            f"starting {size.controls} control nodes, {size.stores} stores, {size.gateways} gateways"
        )
        self._tier.start()
        for _ in range(self._plan.servers):
            await self._fleet.add()
        outcome = await self._operator.put_configuration(self._configuration(), 0, START_TIMEOUT_S)
        if not outcome.acknowledged:
            raise NotReadyError(
                f"no control node accepted the first configuration ({self._first_crash_log()})"
            )
        self._report_progress(f"version 1 taken after {loop.time() - started_s:.1f} s")
        if await self._tier.wait_up(self._tier.nodes, START_TIMEOUT_S) is None:
            raise NotReadyError(f"not every node became ready ({self._first_crash_log()})")
        await self._tier.wait_frontends(size.gateways, START_TIMEOUT_S)
        self._report_progress(f"EMBERRING_CONTROL={','.join(self._tier.controls())}")
        self._report_progress(f"all nodes up after {loop.time() - started_s:.1f} s")
        return loop.time() - started_s

    def _configuration(self) -> dict[str, object]:
        return trial_configuration(1, TrialLimits(stride=self._plan.traffic.stride))

    async def _inject_faults(self) -> None:
        for role in self._plan.kill_roles:
            await self._kill_one(role)
            if role == "gateway" and self._plan.server_faults:
                await self._replace_servers()
            elif role != "gateway":
                await asyncio.sleep(self._plan.pause_between_faults_s)

    async def _kill_one(self, role: str) -> None:
        node = self._tier.of_role(role)[0]
        if role == "store":
            node = self._tier.nodes[await busiest_store(self._tier) or node.place.name]
        self._report_progress(f"kill -9 {node.pid} ({node.place.name})")
        node.kill()
        await asyncio.sleep(self._plan.downtime_s)
        node.start(bootstrap=False)
        recovery_s = await self._tier.wait_up([node.place.name], RECOVERY_TIMEOUT_S)
        result = "did not come back" if recovery_s is None else f"back {recovery_s:.1f} s after its restart"
        self._report_progress(f"{node.place.name} {result}")
        self._faults.append(Fault(f"{role} killed", node.place.name, recovery_s))

    async def _replace_servers(self) -> None:
        first, second, *_ = self._fleet.servers
        self._report_progress(f"model server {first} crashes, {second} drains, two new ones come")
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        await self._fleet.crash(first)
        await self._fleet.add()
        await self._fleet.add()
        released = await self._fleet.release(second)
        self._faults.append(Fault("server released", second, loop.time() - started_s if released else None))
        await self._change_configuration()

    async def _change_configuration(self) -> None:
        outcome = await self._operator.patch_configuration(added_route(2), 1)
        took_s = outcome.took_s if outcome.acknowledged else None
        self._report_progress(f"version 2 adds a route: status {outcome.status}")
        self._faults.append(Fault("route added", "version 2", took_s))
        self._traffic.added_route = outcome.acknowledged

    def _first_crash_log(self) -> str:
        for node in self._tier.nodes.values():
            if not node.running and node.log_tail(1):
                return f"{node.place.name}: {node.log_tail(1)[0]}"
        return "all nodes run"

    def _report(self, started_s: float, codes: dict[str, int | None]) -> TrialReport:
        failed_nodes = [name for name, code in codes.items() if code != 0]
        return TrialReport(
            started_s=started_s,
            faults=tuple(self._faults),
            tallies=self._traffic.tallies,
            jobs=tuple(self._traffic.jobs),
            violations=tuple(self._traffic.violations),
            exit_codes=codes,
            logs={name: tuple(self._tier.nodes[name].log_tail(8)) for name in failed_nodes},
        )
