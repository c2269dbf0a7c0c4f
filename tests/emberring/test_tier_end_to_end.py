"""The complete tier as processes on loopback: it serves while one node of each role is killed, and exits cleanly."""

from __future__ import annotations

import asyncio
from pathlib import Path

from emberring.emulator.configurations import EXPLAIN_PREFIX, SERVICE, added_route, trial_configuration
from emberring.emulator.engine import EngineSpec
from emberring.emulator.invariant_checker import check_job, check_stream
from emberring.emulator.job_client import JobClient, make_job
from emberring.emulator.live_client import LiveClient, StreamCall, StreamEnd
from emberring.emulator.local_tier import LocalTier
from emberring.emulator.observations import Observations
from emberring.emulator.operator import Operator
from emberring.emulator.server_fleet import ServerFleet
from emberring.emulator.store_scan import busiest_store

START_TIMEOUT_S = 40.0  # several processes start at once, possibly on a busy machine
REQUEST_TIMEOUT_S = 20.0
JOB_TIMEOUT_S = 40.0
STRIDE = 8


class World:
    """A tier with its model servers, clients and operator."""

    def __init__(self, folder: Path) -> None:
        self.observations = Observations()
        self.tier = LocalTier(folder)
        self.operator = Operator(self.tier.controls())
        self.fleet = ServerFleet(SERVICE, EngineSpec(stride=STRIDE), self.tier.controls, self.observations)
        self.live = LiveClient(self.tier.frontends, seed=1, retries=3)
        self.jobs = JobClient(self.tier.frontends, seed=1)
        self.request_count = 0

    async def start(self) -> None:
        self.tier.start()
        for _ in range(3):
            await self.fleet.add()
        first = await self.operator.put_configuration(trial_configuration(), 0, START_TIMEOUT_S)
        assert first.acknowledged, self.logs()
        assert await self.tier.wait_up(self.tier.nodes, START_TIMEOUT_S) is not None, self.logs()
        assert await self.tier.wait_frontends(2, START_TIMEOUT_S), self.logs()

    def logs(self) -> str:
        return "\n".join(f"{name}: {node.log_tail()}" for name, node in self.tier.nodes.items())

    async def streams(self, count: int) -> list[StreamEnd]:
        """Request streams one after another and return how each ended; no invariant may be violated."""
        ends = []
        for _ in range(count):
            self.request_count += 1
            parts = (("ab", 200), (f"{self.request_count:x}", 60))
            call = StreamCall(f"{EXPLAIN_PREFIX}{self.request_count}", b"question", parts, 40)
            results = await self.live.ask(call)
            for result in results:
                assert check_stream(call, result, self.observations, STRIDE, retryable=False) == []
            ends.append(results[-1].end)
        return ends

    async def restart(self, name: str) -> None:
        self.tier.nodes[name].start(bootstrap=False)
        assert await self.tier.wait_up([name], START_TIMEOUT_S) is not None, self.logs()


async def run_scenario(world: World) -> None:
    await world.start()
    assert await world.streams(10) == [StreamEnd.SERVED] * 10
    # A job is accepted; the store that owns it is killed while it runs.
    job = await world.jobs.submit(make_job(60, seed=3), REQUEST_TIMEOUT_S)
    assert job.accepted, job.statuses
    owner = await busiest_store(world.tier)
    assert owner is not None
    world.tier.nodes[owner].kill()
    await world.jobs.follow(job, JOB_TIMEOUT_S)
    assert job.complete, (len(job.results), world.logs())
    assert check_job(job, world.observations, STRIDE) == []
    assert {result.state for result in job.results} == {"completed"}
    await world.restart(owner)
    # A gateway is killed: the other one serves.
    world.tier.nodes["gateway-1"].kill()
    assert (await world.streams(10))[-5:] == [StreamEnd.SERVED] * 5
    await world.restart("gateway-1")
    # A control node is killed: the others commit a change, which it learns after its restart.
    world.tier.nodes["control-1"].kill()
    change = await world.operator.patch_configuration(added_route(2), 1, REQUEST_TIMEOUT_S)
    assert change.acknowledged
    await world.restart("control-1")
    found = await Operator(world.tier.controls()[:1]).read_configuration(REQUEST_TIMEOUT_S)
    assert found is not None
    assert found["Version"] == 2
    # The results of the job that were reported before do not change.
    before = list(job.results)
    assert await world.jobs.read(job, 0)
    assert job.results == before
    assert job.changed == []
    assert await world.jobs.end(job.job, REQUEST_TIMEOUT_S)
    codes = await world.tier.stop()
    assert set(codes.values()) == {0}, (codes, world.logs())


def test_the_tier_serves_while_a_node_of_each_role_is_killed(tmp_path):
    async def run() -> None:
        world = World(tmp_path)
        try:
            async with asyncio.timeout(180):
                await run_scenario(world)
        finally:
            world.tier.kill_all()
            await world.fleet.stop()

    asyncio.run(run())
