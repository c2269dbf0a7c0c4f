"""A trial of a complete tier on loopback: traffic, one node of each role killed, servers lost and replaced."""

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
    """What happens and when; times in seconds.

    `pause_between_faults_s` lies between two faults of machines that count for a quorum.
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
    """An injected fault; `recovery_s` is the time from the restart to the recovery, None where there was none."""

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
    logs: dict[str, tuple[str, ...]]  # the last lines of nodes that did not end in order

    @property
    def clean(self) -> bool:
        """Whether no rule was broken, every accepted job is complete and every node recovered and ended normally."""
        recovered = all(fault.recovery_s is not None for fault in self.faults)
        taken = [history for history in self.jobs if history.accepted]
        jobs = bool(taken) and all(history.complete for history in taken)
        ended = all(code == 0 for code in self.exit_codes.values())
        sent = sum(tally.sent for tally in self.tallies.values())
        served = sum(tally.served for tally in self.tallies.values())
        return not self.violations and recovered and jobs and ended and served * 2 > sent


class Trial:
    """Runs a trial by its plan; `say` is called with a line for each step."""

    def __init__(self, folder: Path, plan: TrialPlan, say: Callable[[str], None], seed: int = 1) -> None:
        self._plan = plan
        self._say = say
        self._observations = Observations()
        self._tier = LocalTier(folder, plan.size)
        self._operator = Operator(self._tier.controls())
        engine = EngineSpec(stride=plan.traffic.stride)
        self._fleet = ServerFleet(SERVICE, engine, self._tier.controls, self._observations)
        self._traffic = Traffic(self._tier.frontends, self._observations, plan.traffic, seed)
        self._faults: list[Fault] = []

    async def play(self) -> TrialReport:
        """Run the trial; `NotReadyError` where the tier does not start."""
        try:
            started_s = await self._start()
            self._traffic.start()
            await asyncio.sleep(self._plan.calm_s)
            await self._inject_faults()
            self._say("traffic ends; waiting for open streams and lots")
            await self._traffic.stop(self._plan.finish_s)
            self._say("asking every node to end")
            codes = await self._tier.stop()
            return self._report(started_s, codes)
        finally:
            self._tier.kill_all()
            await self._fleet.stop()

    async def _start(self) -> float:
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        size = self._plan.size
        self._say(f"starting {size.controls} control nodes, {size.stores} stores, {size.gateways} gateways")
        self._tier.start()
        for _ in range(self._plan.servers):
            await self._fleet.add()
        outcome = await self._operator.put_configuration(self._configuration(), 0, START_TIMEOUT_S)
        if not outcome.acknowledged:
            raise NotReadyError(f"no control node took the first configuration ({self._first_log()})")
        self._say(f"version 1 taken after {loop.time() - started_s:.1f} s")
        if await self._tier.wait_up(self._tier.nodes, START_TIMEOUT_S) is None:
            raise NotReadyError(f"not every node came up ({self._first_log()})")
        await self._tier.wait_frontends(size.gateways, START_TIMEOUT_S)
        self._say(f"EMBERRING_CONTROL={','.join(self._tier.controls())}")
        self._say(f"all nodes up after {loop.time() - started_s:.1f} s")
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
        self._say(f"kill -9 {node.pid} ({node.place.name})")
        node.kill()
        await asyncio.sleep(self._plan.downtime_s)
        node.start(bootstrap=False)
        recovery_s = await self._tier.wait_up([node.place.name], RECOVERY_TIMEOUT_S)
        result = "did not come back" if recovery_s is None else f"back {recovery_s:.1f} s after its restart"
        self._say(f"{node.place.name} {result}")
        self._faults.append(Fault(f"{role} killed", node.place.name, recovery_s))

    async def _replace_servers(self) -> None:
        first, second, *_ = self._fleet.servers
        self._say(f"model server {first} crashes, {second} drains, two new ones come")
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
        self._say(f"version 2 adds a route: status {outcome.status}")
        self._faults.append(Fault("route added", "version 2", took_s))
        self._traffic.added_route = outcome.acknowledged

    def _first_log(self) -> str:
        for node in self._tier.nodes.values():
            if not node.running and node.log_tail(1):
                return f"{node.place.name}: {node.log_tail(1)[0]}"
        return "all nodes run"

    def _report(self, started_s: float, codes: dict[str, int | None]) -> TrialReport:
        bad = [name for name, code in codes.items() if code != 0]
        return TrialReport(
            started_s=started_s,
            faults=tuple(self._faults),
            tallies=self._traffic.tallies,
            jobs=tuple(self._traffic.jobs),
            violations=tuple(self._traffic.violations),
            exit_codes=codes,
            logs={name: tuple(self._tier.nodes[name].log_tail(8)) for name in bad},
        )
