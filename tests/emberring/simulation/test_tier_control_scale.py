"""Hollow control planes: what is metered, and what must hold at any size."""

from __future__ import annotations

import asyncio
import math

import pytest
from typer.testing import CliRunner

from emberring.cli.simulation_commands import app
from emberring.distribution.follower import DETAIL_WAIT_S, REPORT_WAIT_S
from emberring.errors import PeerTimeoutError, PeerUnavailableError
from emberring.simulation.common.task_owner import own_tasks
from emberring.simulation.common.virtual_time import run_virtually
from emberring.simulation.scale.control_plane import Size, measure, power
from emberring.simulation.scale.metered_network import HollowNetwork
from emberring.transport.messages import Ok

VIRTUAL_S = 60.0  # of a clock that jumps


def busy(steps: int) -> int:
    return sum(number * number for number in range(steps))


def test_processor_time_counts_for_the_node_that_uses_it() -> None:
    async def play() -> None:
        own_tasks(asyncio.get_running_loop())
        hub: dict[str, HollowNetwork] = {}
        asker, worker = HollowNetwork(hub, "a:1"), HollowNetwork(hub, "b:1")

        async def work(message: Ok, caller: object) -> Ok:
            busy(200_000)
            await asyncio.sleep(VIRTUAL_S)
            busy(200_000)
            return Ok()

        worker.handle(Ok, work)
        await asker.start(asker.call("b:1", Ok(), Ok, 2 * VIRTUAL_S))
        assert worker.meter.cpu_s > 5 * asker.meter.cpu_s > 0.0
        assert worker.meter.cpu_s < 2.5  # what it waited is no processor time
        assert asker.meter.calls == 1
        assert asker.meter.sent_bytes == worker.meter.received_bytes > 0
        assert asker.meter.received_bytes == worker.meter.sent_bytes > 0

    run_virtually(play())


def test_a_silent_peer_and_an_absent_one_are_distinguished() -> None:
    async def play() -> None:
        own_tasks(asyncio.get_running_loop())
        hub: dict[str, HollowNetwork] = {}
        asker, silent = HollowNetwork(hub, "a:1"), HollowNetwork(hub, "b:1")

        async def sleep(message: Ok, caller: object) -> Ok:
            await asyncio.sleep(VIRTUAL_S)
            return Ok()

        silent.handle(Ok, sleep)
        with pytest.raises(PeerTimeoutError):
            await asker.start(asker.call("b:1", Ok(), Ok, 0.5))
        with pytest.raises(PeerUnavailableError):
            await asker.start(asker.call("c:1", Ok(), Ok, 0.5))

    run_virtually(play())


# What a gateway's two pullers ask in a second, at the most: where word of all servers is small, and where it is large.
FREQUENT_CALLS = 1.0 / DETAIL_WAIT_S + 1.0 / REPORT_WAIT_S
SELDOM_CALLS = 2.0 / REPORT_WAIT_S


@pytest.mark.parametrize(
    ("size", "most_calls"),
    [
        (Size(gateways=3, servers=4), FREQUENT_CALLS),
        (Size(gateways=12, servers=30), FREQUENT_CALLS),
        (Size(gateways=8, servers=8, controls=5), FREQUENT_CALLS),
        (Size(gateways=3, servers=320), SELDOM_CALLS),
    ],
)
def test_all_nodes_are_up_to_date_and_updates_are_fast(size: Size, most_calls: float) -> None:
    found = measure(size, seconds=1.0)
    assert found.known == size.servers
    assert 0.0 < found.drain_acknowledged_s < 0.1
    assert found.drain_known_s < 0.5
    assert found.configuration_known_s < 0.5
    for role in (found.control, found.gateway):
        assert 0.0 < role.cpu <= role.cpu_most
        assert 0.0 < role.bytes <= role.bytes_most
    assert found.gateway.calls <= most_calls  # it grows with nothing, and shrinks where each word is large


def test_bytes_are_deterministic() -> None:
    first, second = (measure(Size(gateways=4, servers=6), seconds=1.0) for _ in range(2))
    assert first.gateway.calls == second.gateway.calls
    assert first.gateway.bytes == pytest.approx(second.gateway.bytes, rel=0.02)


@pytest.mark.parametrize(
    ("sizes", "values", "wanted"),
    [
        ([1.0, 10.0], [2.0, 200.0], 2.0),
        ([1.0, 10.0, 100.0], [5.0, 5.0, 5.0], 0.0),
        ([1.0, 4.0], [1.0, 2.0], 0.5),
    ],
)
def test_powers(sizes: list[float], values: list[float], wanted: float) -> None:
    assert power(sizes, values) == pytest.approx(wanted)


@pytest.mark.parametrize(
    ("sizes", "values"), [([5.0], [1.0]), ([1.0, 2.0], [0.0, 1.0]), ([1.0, 2.0], [1.0, math.inf])]
)
def test_no_power_where_there_is_none(sizes: list[float], values: list[float]) -> None:
    assert math.isnan(power(sizes, values))


def test_the_command_prints_a_row_for_each_figure() -> None:
    done = CliRunner().invoke(app, ["scale", "--gateways", "2", "--gateways", "4", "--seconds", "1"])
    assert done.exit_code == 0, done.output
    assert "gateway: kB" in done.output
    assert "drain known to all" in done.output


def test_the_command_refuses_what_it_can_not_play() -> None:
    done = CliRunner().invoke(app, ["scale", "--gateways", "100000"])
    assert done.exit_code != 0
