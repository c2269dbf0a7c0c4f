"""The only server of one service crashes; batch jobs of another service, whose servers are idle, are never run."""

from __future__ import annotations

import asyncio

from rig_two.callers import BatchClient, batch_route
from rig_two.case import Case, NotRunError, run
from rig_two.judging import FINISH_S, items_lost
from rig_two.model_server import ModelServer, Run

LOST_SERVICE, SOUND_SERVICE = "huvo11a", "pime27c"
LOST_HOSTS = [f"branch{number}.example" for number in range(1, 9)]
SOUND_HOSTS = [f"audit{number}.example" for number in range(1, 9)]
PREFIX = "/pule252/"
ITEMS = 20  # of a batch job
JOBS_PER_LOST_HOST = 3
CALM_S = 6.0  # from the crash to the first batch job, so that the crash is long over when the rule is judged


async def play(case: Case) -> bool:
    """Play the case; return whether the rule was kept."""
    record = case.record
    runs: list[Run] = []
    lost = ModelServer(LOST_SERVICE, "kilima-a", record, runs)
    sound = [ModelServer(SOUND_SERVICE, zone, record, runs) for zone in ("kilima-b", "kilima-c")]
    routes = [
        batch_route(f"r-{host}", PREFIX, service, Host=host)
        for service, hosts in ((LOST_SERVICE, LOST_HOSTS), (SOUND_SERVICE, SOUND_HOSTS))
        for host in hosts
    ]
    frontends = await case.bring_up((lost, *sound), routes, [LOST_SERVICE, SOUND_SERVICE])

    if case.trouble:
        lost.crash()
    await asyncio.sleep(CALM_S)
    others = await _submit(case, frontends, LOST_HOSTS * JOBS_PER_LOST_HOST)
    jobs = await _submit(case, frontends, SOUND_HOSTS)
    record.note("case: the traffic ends")
    await asyncio.sleep(FINISH_S)
    lost_items = await items_lost(case, jobs, others, runs)
    for server in (lost, *sound):
        server.crash()
    return lost_items == 0


async def _submit(case: Case, frontends: list[str], hosts: list[str]) -> list[BatchClient]:
    jobs = [BatchClient(case.record, frontends, PREFIX, ITEMS, host=host) for host in hosts]
    for job in jobs:
        if not await job.submit():
            raise NotRunError("a batch job was not accepted")
    return jobs


run(play, __file__)
