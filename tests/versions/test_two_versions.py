"""Nodes of two versions in one tier: each role on the other version, and a tier replaced node by node.

All tests of this module share a worker (`--dist loadscope`), so one such tier runs at a time.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Iterator, Mapping
from pathlib import Path

import pytest
from versioned_tier import NEW_PROGRAM, ROLES, World, package_folder, reference_program

WHOLE_S = 300.0


@pytest.fixture(scope="module")
def old_program(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Path]:
    with reference_program(tmp_path_factory.mktemp("program")) as program:
        yield program


def run_world(folder: Path, programs: Mapping[str, Path], play: Callable[[World], Awaitable[None]]) -> None:
    """Play in a tier of these programs by role; no process is left."""

    async def run() -> None:
        world = World(folder, programs)
        try:
            async with asyncio.timeout(WHOLE_S):
                await play(world)
        finally:
            await world.clear()

    asyncio.run(run())


async def serve_all(world: World) -> None:
    """Everything that a tier does for its users, once."""
    await world.start()
    await world.ask_streams(3)
    before = await world.submit_lot(40, seed=3, gateway=0)
    await world.finish_lot(before)
    await world.read_lot_again(before)
    await world.drain_server()
    await world.add_route()
    after = await world.submit_lot(20, seed=4, gateway=1)
    await world.finish_lot(after)
    await world.read_lot_again(after)
    await world.read_lot_again(before)
    await world.ask_streams(3)
    world.check_drains()
    await world.end_lot(before)
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
