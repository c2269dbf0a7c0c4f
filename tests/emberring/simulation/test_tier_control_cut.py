"""A partition between two sides of a hollow control plane."""

from __future__ import annotations

import asyncio

import pytest
from typer.testing import CliRunner

from emberring.cli.simulation_commands import app
from emberring.distribution.view import ORPHAN_S
from emberring.errors import PeerTimeoutError
from emberring.simulation.common.task_owner import install_owner_task_factory
from emberring.simulation.common.virtual_time import run_virtually
from emberring.simulation.scale.control_plane import Size
from emberring.simulation.scale.metered_network import HollowNetwork
from emberring.simulation.scale.partition import measure_partition
from emberring.transport.messages import Ok


def test_calls_between_two_sides_are_lost_in_both_directions() -> None:
    async def run() -> None:
        install_owner_task_factory(asyncio.get_running_loop())
        hub: dict[str, HollowNetwork] = {}
        caller_network, other = HollowNetwork(hub, "a:1"), HollowNetwork(hub, "b:1")
        received: list[Ok] = []

        async def receive(message: Ok, caller: object) -> Ok:
            received.append(message)
            other.side = "parted"  # the partition begins before the reply is sent
            return Ok()

        other.handle(Ok, receive)
        with pytest.raises(PeerTimeoutError):
            await caller_network.start(caller_network.call("b:1", Ok(), Ok, 0.5))
        assert len(received) == 1
        with pytest.raises(PeerTimeoutError):
            await caller_network.start(caller_network.call("b:1", Ok(), Ok, 0.5))
        assert len(received) == 1
        other.side = ""

    run_virtually(run())


@pytest.mark.parametrize("size", [Size(6, 9, 3), Size(10, 20, 5)])
def test_each_side_receives_updates_in_time(size: Size) -> None:
    found = measure_partition(size, ORPHAN_S - 2.0)
    assert found.parted == size.gateways // size.controls
    assert found.absent_s < 2.0
    assert found.drain_s < 0.5
    assert found.configuration_s < 0.5
    assert found.kept == size.servers  # a short partition removes no server
    assert found.drain_after_s < 2.0
    assert found.configuration_after_s < 2.0
    assert found.servers_after_s < 3.0
    assert found.counted_after_s < 3.0


def test_the_command_prints_a_row_for_each_figure() -> None:
    done = CliRunner().invoke(app, ["cut", "--gateways", "6", "--seconds", "5"])
    assert done.exit_code == 0, done.output
    assert "2 of 6 gateways parted for 5 s" in done.output
    assert "configuration known to all" in done.output
