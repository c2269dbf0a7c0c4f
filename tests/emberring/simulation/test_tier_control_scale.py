"""Hollow control planes: metering, and properties that hold at any size."""

from __future__ import annotations

import asyncio
import math

import pytest
from typer.testing import CliRunner

from emberring.cli.simulation_commands import app
from emberring.distribution.follower import DETAIL_WAIT_S, REPORT_WAIT_S
from emberring.errors import PeerTimeoutError, PeerUnavailableError
from emberring.simulation.common.task_owner import install_owner_task_factory
from emberring.simulation.common.virtual_time import run_virtually
from emberring.simulation.scale.control_plane import Size, measure, power
from emberring.simulation.scale.metered_network import HollowNetwork
from emberring.transport.messages import Ok

VIRTUAL_S = 60.0  # virtual time that a peer waits


def busy(steps: int) -> int:
    return sum(number * number for number in range(steps))


def test_cpu_time_is_added_to_the_meter_of_the_node_that_uses_it() -> None:
    async def run() -> None:
        install_owner_task_factory(asyncio.get_running_loop())
        hub: dict[str, HollowNetwork] = {}
        caller_network, worker = HollowNetwork(hub, "a:1"), HollowNetwork(hub, "b:1")

        async def work(message: Ok, caller: object) -> Ok:
            busy(200_000)
            await asyncio.sleep(VIRTUAL_S)
            busy(200_000)
            return Ok()

        worker.handle(Ok, work)
        await caller_network.start(caller_network.call("b:1", Ok(), Ok, 2 * VIRTUAL_S))
        assert worker.meter.cpu_s > 5 * caller_network.meter.cpu_s > 0.0
        assert worker.meter.cpu_s < 2.5  # waiting does not count as CPU time
        assert caller_network.meter.calls == 1
        assert caller_network.meter.sent_bytes == worker.meter.received_bytes > 0
        assert caller_network.meter.received_bytes == worker.meter.sent_bytes > 0

    run_virtually(run())


def test_unresponsive_and_absent_peers_raise_different_errors() -> None:
    async def run() -> None:
        install_owner_task_factory(asyncio.get_running_loop())
        hub: dict[str, HollowNetwork] = {}
        caller_network, unresponsive = HollowNetwork(hub, "a:1"), HollowNetwork(hub, "b:1")

        async def sleep(message: Ok, caller: object) -> Ok:
            await asyncio.sleep(VIRTUAL_S)
            return Ok()

        unresponsive.handle(Ok, sleep)
        with pytest.raises(PeerTimeoutError):
            await caller_network.start(caller_network.call("b:1", Ok(), Ok, 0.5))
        with pytest.raises(PeerUnavailableError):
            await caller_network.start(caller_network.call("c:1", Ok(), Ok, 0.5))

    run_virtually(run())


# Maximum calls per second of the two pull loops of a gateway: with few servers, and with many.
MAX_CALLS_FEW_SERVERS = 1.0 / DETAIL_WAIT_S + 1.0 / REPORT_WAIT_S
MAX_CALLS_MANY_SERVERS = 2.0 / REPORT_WAIT_S


@pytest.mark.parametrize(
    ("size", "max_calls"),
    [
        (Size(gateways=3, servers=4), MAX_CALLS_FEW_SERVERS),
        (Size(gateways=12, servers=30), MAX_CALLS_FEW_SERVERS),
        (Size(gateways=8, servers=8, controls=5), MAX_CALLS_FEW_SERVERS),
        (Size(gateways=3, servers=320), MAX_CALLS_MANY_SERVERS),
    ],
)
def test_all_nodes_are_up_to_date_and_updates_are_fast(size: Size, max_calls: float) -> None:
    found = measure(size, seconds=1.0)
    assert found.known == size.servers
    assert 0.0 < found.drain_acknowledged_s < 0.1
    assert found.drain_known_s < 0.5
    assert found.configuration_known_s < 0.5
    for role in (found.control, found.gateway):
        assert 0.0 < role.cpu <= role.cpu_most
        assert 0.0 < role.bytes <= role.bytes_most
    assert found.gateway.calls <= max_calls  # independent of the size, and lower if updates are large


def test_bytes_are_deterministic() -> None:
    first, second = (measure(Size(gateways=4, servers=6), seconds=1.0) for _ in range(2))
    assert first.gateway.calls == second.gateway.calls
    assert first.gateway.bytes == pytest.approx(second.gateway.bytes, rel=0.02)


@pytest.mark.parametrize(
    ("sizes", "values", "exponent"),
    [
        ([1.0, 10.0], [2.0, 200.0], 2.0),
        ([1.0, 10.0, 100.0], [5.0, 5.0, 5.0], 0.0),
        ([1.0, 4.0], [1.0, 2.0], 0.5),
    ],
)
def test_power_law_exponent(sizes: list[float], values: list[float], exponent: float) -> None:
    assert power(sizes, values) == pytest.approx(exponent)


@pytest.mark.parametrize(
    ("sizes", "values"), [([5.0], [1.0]), ([1.0, 2.0], [0.0, 1.0]), ([1.0, 2.0], [1.0, math.inf])]
)
def test_power_law_exponent_is_nan_for_unusable_values(sizes: list[float], values: list[float]) -> None:
    assert math.isnan(power(sizes, values))


def test_the_command_prints_a_row_for_each_figure() -> None:
    done = CliRunner().invoke(app, ["scale", "--gateways", "2", "--gateways", "4", "--seconds", "1"])
    assert done.exit_code == 0, done.output
    assert "gateway: kB" in done.output
    assert "drain known to all" in done.output


def test_the_command_rejects_a_size_above_its_limit() -> None:
    done = CliRunner().invoke(app, ["scale", "--gateways", "100000"])
    assert done.exit_code != 0
