"""The simulator of the control plane: no violations without mutations, and its history checks."""

from __future__ import annotations

import asyncio

import pytest

from emberring.configuration.state import ControlState
from emberring.simulation.common.task_owner import install_owner_task_factory
from emberring.simulation.common.virtual_time import run_virtually
from emberring.simulation.control_plane.history import ControlHistory, ObservedRequest
from emberring.simulation.control_plane.mutations import Mutation, seeded
from emberring.simulation.control_plane.process import Process
from emberring.simulation.control_plane.schedule import Kind, Schedule, Step
from emberring.simulation.control_plane.simulator import describe, play, play_seed, shorten


@pytest.mark.parametrize("first", [0, 8])
def test_schedules_leave_nothing_wrong(first: int) -> None:
    verdicts = [play_seed(seed) for seed in range(first, first + 8)]
    assert [describe(verdict) for verdict in verdicts if verdict.violations] == []
    assert sum(verdict.acknowledged for verdict in verdicts) > 10


# Guards against a server that stays unlisted although it sends heartbeats, after a partitioned control node had
# declared it lost and then ended.
@pytest.mark.parametrize("seed", [1121744, 1122108])
def test_servers_that_an_ended_control_node_declared_lost_are_listed_again(seed: int) -> None:
    verdict = play_seed(seed)
    assert not verdict.violations, describe(verdict)


def test_a_repeated_schedule_gives_the_same_verdict() -> None:
    assert play_seed(4) == play_seed(4)


def test_a_mutation_is_found_and_its_schedule_is_shrunk() -> None:
    mutation = Mutation.READS_FROM_MEMORY
    steps = (
        Step(0.3, Kind.PARTITION, 0, 7.0),
        Step(1.5, Kind.CHANGE, 1),
        Step(2.0, Kind.SERVER_START, 0),
        Step(3.0, Kind.CHANGE, 2),
        Step(5.0, Kind.READ, 0),
    )
    schedule = Schedule(3, steps, 8.0)
    verdict = play(schedule, mutation)
    assert verdict.violations
    short = shorten(verdict, mutation)
    assert short.violations
    assert len(short.schedule.steps) < len(schedule.steps)
    assert "wrong:" in describe(short)
    assert "Kind.READ" in describe(verdict)


def test_mutations_are_undone_afterwards() -> None:
    with seeded(Mutation.FORGETS_DIGESTS):
        assert (
            len(
                ControlState()
                .with_configuration(1, b"a", b"1" * 16)
                .with_configuration(2, b"b", b"2" * 16)
                .accepted_digests
            )
            == 1
        )
    assert (
        len(
            ControlState()
            .with_configuration(1, b"a", b"1" * 16)
            .with_configuration(2, b"b", b"2" * 16)
            .accepted_digests
        )
        == 2
    )


# The history on its own.


def a_request(number: int, base: int, version: int, sent_s: float) -> ObservedRequest:
    return ObservedRequest(number, base, version, b"%16d" % number, sent_s)


def a_state(*requests: ObservedRequest) -> ControlState:
    return ControlState(requests[-1].version, b"", tuple(request.digest for request in requests))


def test_a_good_history_is_good() -> None:
    history = ControlHistory()
    first, second, late = a_request(1, 0, 1, 0.0), a_request(2, 1, 5, 1.0), a_request(3, 1, 5, 1.1)
    for request in (first, second, late):
        history.request_sent(request)
    history.on_state_learned(0.5, "a", a_state(first), 0)
    history.request_accepted(0.6, first)
    history.on_state_learned(1.5, "a", a_state(first, second), 1)
    history.request_rejected(1.6, late, 412)
    history.request_accepted(1.7, second)
    history.read(1.8, 1.9, "b", 5, 2)
    history.on_configuration_followed(1.9, "edge", 1, 5, 2)
    assert history.finish() == []


def test_violations_of_histories_are_reported() -> None:
    first, second, third = a_request(1, 0, 1, 0.0), a_request(2, 1, 5, 1.0), a_request(3, 1, 6, 1.0)

    def violations_after(*events_to_apply: str) -> str:
        history = ControlHistory()
        for request in (first, second, third):
            request.ended_s, request.status = None, 0
            history.request_sent(request)
        history.on_state_learned(0.5, "a", a_state(first), 0)
        history.request_accepted(0.6, first)
        for event_to_apply in events_to_apply:
            if event_to_apply == "both":
                history.request_accepted(1.5, second)
                history.request_accepted(1.6, third)
            elif event_to_apply == "older read":
                history.request_accepted(1.5, second)
                history.read(2.0, 2.1, "b", 1, 1)
            elif event_to_apply == "wrong content":
                history.read(2.0, 2.1, "b", 1, 2)
            elif event_to_apply == "older followed":
                history.on_configuration_followed(2.0, "edge", 5, 1, 1)
            elif event_to_apply == "older learned":
                history.on_state_learned(2.0, "a", a_state(first), 5)
            elif event_to_apply == "rejected though committed":
                history.request_rejected(1.5, second, 412)
                history.on_state_learned(2.0, "a", a_state(first, second), 1)
            elif event_to_apply == "rejected without reason":
                history.request_rejected(1.5, second, 412)
            elif event_to_apply == "skipped base":
                other = a_request(4, 5, 7, 1.0)
                history.request_sent(other)
                history.on_state_learned(2.0, "a", a_state(first, other), 1)
        return "; ".join(history.finish())

    assert "both acknowledged" in violations_after("both")
    assert "after 5 was confirmed" in violations_after("older read")
    assert "with the content of request 2" in violations_after("wrong content")
    assert "went back" in violations_after("older followed")
    assert "after 5" in violations_after("older learned")
    assert "rejected with 412 but committed" in violations_after("rejected though committed")
    assert "while its base was in force" in violations_after("rejected without reason")
    assert "version 7 is based on" in violations_after("skipped base")
    assert violations_after() == ""


def test_a_frozen_process_pauses_and_resumes() -> None:
    """An event fires every half second of virtual time, and the process records when it observes each event."""
    observed_s: list[float] = []

    async def watch(events: list[asyncio.Future[None]]) -> None:
        for event in events:
            await event
            observed_s.append(asyncio.get_running_loop().time())

    async def run() -> None:
        loop = asyncio.get_running_loop()
        install_owner_task_factory(loop)
        process = Process("a")
        events = [loop.create_future() for _ in range(14)]
        for number, event in enumerate(events, 1):
            loop.call_at(0.5 * number, event.set_result, None)
        watching = process.start(watch(events))
        loop.call_at(1.2, process.freeze, 3.7)
        loop.call_at(5.2, process.kill)
        await events[-1]
        assert watching.cancelled()

    run_virtually(run())
    # Frozen from 1.2 to 3.7 s: events in that time are observed at its end. Killed at 5.2 s: no events after that.
    assert [round(at_s, 1) for at_s in observed_s] == [0.5, 1.0, *[3.7] * 5, 4.0, 4.5, 5.0]
