"""Nodes of two versions in one tier: one role on another version than the rest, rolling upgrades and full restarts.

All tests of this module run in one worker (`--dist loadscope`), so only one such tier runs at a time.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Iterator, Mapping
from pathlib import Path

import pytest
from versioned_tier import NEW_PROGRAM, ROLES, Traffic, World, package_folder, reference_program

WHOLE_S = 300.0
STREAMS_PER_S = 8.0
JOB_EVERY_S = 1.0
SERVED_SHARE = 0.9  # minimum share of streams served during the upgrade; rejected ones must not be executed


@pytest.fixture(scope="module")
def old_program(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Path]:
    with reference_program(tmp_path_factory.mktemp("program")) as program:
        yield program


def run_world(folder: Path, programs: Mapping[str, Path], play: Callable[[World], Awaitable[None]]) -> None:
    """Run `play` in a tier with these programs by role; all processes are stopped at the end."""

    async def run() -> None:
        world = World(folder, programs)
        try:
            async with asyncio.timeout(WHOLE_S):
                await play(world)
        finally:
            await world.clear()

    asyncio.run(run())


async def serve_all(world: World) -> None:
    """Use each function of a tier once: streams, batch jobs, a server's drain and a configuration change."""
    await world.start()
    await world.ask_streams(3)
    before = await world.submit_job(40, seed=3, gateway=0)
    await world.finish_job(before)
    await world.read_job_again(before)
    await world.drain_server()
    await world.add_route()
    after = await world.submit_job(20, seed=4, gateway=1)
    await world.finish_job(after)
    await world.read_job_again(after)
    await world.read_job_again(before)
    await world.ask_streams(3)
    world.check_drains()
    await world.end_job(before)
    await world.stop()


def test_each_program_starts_from_its_own_folder(old_program):
    for program in (NEW_PROGRAM, old_program):
        assert package_folder(program) == program.resolve() / "emberring"


@pytest.mark.parametrize("rest", ["new", "old"])
@pytest.mark.parametrize("role", ROLES)
def test_a_role_of_the_other_version_serves_with_the_rest(role, rest, old_program, tmp_path):
    programs = {"new": NEW_PROGRAM, "old": old_program}
    other = "old" if rest == "new" else "new"
    chosen = {each: programs[other if each == role else rest] for each in ROLES}
    run_world(tmp_path, chosen, serve_all)


async def replace_all(world: World, program: Path) -> None:
    """Upgrade all nodes to this program one by one under traffic; no acknowledged data or change is lost."""
    await world.start()
    finished = await world.submit_job(40, seed=3)
    await world.finish_job(finished)
    await world.drain_server()
    await world.add_route()
    open_job = await world.submit_job(200, seed=5, gateway=1)
    world.start_traffic(STREAMS_PER_S, JOB_EVERY_S)
    for role in ROLES:
        for node in world.tier.of_role(role):
            await world.tier.replace(node.place.name, program)
            await world.settle()
    traffic = await world.stop_traffic()
    assert {node.program for node in world.tier.versioned()} == {program}
    await world.finish_job(open_job)
    check_traffic(world, traffic)
    for job in (finished, open_job, *traffic.jobs):
        await world.read_job_again(job)
    world.check_drains()
    # Earlier acknowledged changes are still in effect, and the upgraded tier accepts changes.
    await world.settle()
    await world.ask_added_route()
    await world.drain_server()
    await world.replace_configuration()
    await world.ask_streams(2)
    world.check_drains()
    await world.stop()


def check_traffic(world: World, traffic: Traffic) -> None:
    """Every batch job was accepted and each result is listed once; streams were served, or not executed at all."""
    assert world.own_violations(traffic) == [], world.logs()
    assert traffic.jobs
    for job in traffic.jobs:
        assert job.accepted, (job.statuses, world.logs())
        world.check_job(job)
    for name, tally in traffic.tallies.items():
        assert tally.sent, name
        assert tally.served >= SERVED_SHARE * tally.sent, (name, tally, world.logs())


def test_a_tier_is_replaced_node_by_node_and_loses_nothing(old_program, tmp_path):
    run_world(tmp_path, dict.fromkeys(ROLES, old_program), lambda world: replace_all(world, NEW_PROGRAM))


async def replace_whole(world: World, program: Path) -> None:
    """Stop all nodes before starting this program on their data, so no node gets data from an old node."""
    await world.start()
    finished = await world.submit_job(40, seed=3)
    await world.finish_job(finished)
    await world.drain_server()
    await world.add_route()
    open_job = await world.submit_job(200, seed=5, gateway=1)
    await world.tier.replace_whole(program)
    await world.settle()
    await world.finish_job(open_job)
    await world.read_job_again(finished)
    await world.ask_added_route()
    await world.replace_configuration()
    world.check_drains()
    await world.stop()


def test_a_tier_started_anew_finds_what_the_other_version_wrote(old_program, tmp_path):
    run_world(tmp_path, dict.fromkeys(ROLES, old_program), lambda world: replace_whole(world, NEW_PROGRAM))
