"""The simulated control plane: nothing wrong on the program as it is, the worst days forced, mutations found."""

from __future__ import annotations

import asyncio

import pytest

from emberring.configuration.state import ControlState
from emberring.simulation.common.task_owner import own_tasks
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


# A partitioned node took a server for lost and ended: it was never listed again, though its heartbeats came.
@pytest.mark.parametrize("seed", [1121744, 1122108])
def test_servers_that_an_ended_control_node_took_for_lost_are_known_again(seed: int) -> None:
    verdict = play_seed(seed)
    assert not verdict.violations, describe(verdict)


def test_a_schedule_played_again_gives_the_same_verdict() -> None:
    assert play_seed(4) == play_seed(4)


def test_a_mutation_is_found_and_its_schedule_shortened() -> None:
    mutation = Mutation.READS_FROM_MEMORY
    steps = (
        Step(0.3, Kind.CUT_OFF, 0, 7.0),
        Step(1.5, Kind.ORDER, 1),
        Step(2.0, Kind.SERVER, 0),
        Step(3.0, Kind.ORDER, 2),
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


# The history by itself.


def a_request(number: int, base: int, version: int, sent_s: float) -> ObservedRequest:
    return ObservedRequest(number, base, version, b"%16d" % number, sent_s)


def a_state(*requests: ObservedRequest) -> ControlState:
    return ControlState(requests[-1].version, b"", tuple(request.digest for request in requests))


def test_a_good_history_is_good() -> None:
    history = ControlHistory()
    first, second, late = a_request(1, 0, 1, 0.0), a_request(2, 1, 5, 1.0), a_request(3, 1, 5, 1.1)
    for request in (first, second, late):
        history.request_sent(request)
    history.state_learned(0.5, "a", a_state(first), 0)
    history.request_accepted(0.6, first)
    history.state_learned(1.5, "a", a_state(first, second), 1)
    history.request_rejected(1.6, late, 412)
    history.request_accepted(1.7, second)
    history.read(1.8, 1.9, "b", 5, 2)
    history.followed(1.9, "edge", 1, 5, 2)
    assert history.finish() == []


def test_bad_histories_are_reported() -> None:
    first, second, third = a_request(1, 0, 1, 0.0), a_request(2, 1, 5, 1.0), a_request(3, 1, 6, 1.0)

    def wrong(*acts: str) -> str:
        history = ControlHistory()
        for request in (first, second, third):
            request.ended_s, request.status = None, 0
            history.request_sent(request)
        history.state_learned(0.5, "a", a_state(first), 0)
        history.request_accepted(0.6, first)
        for act in acts:
            if act == "both":
                history.request_accepted(1.5, second)
                history.request_accepted(1.6, third)
            elif act == "older read":
                history.request_accepted(1.5, second)
                history.read(2.0, 2.1, "b", 1, 1)
            elif act == "wrong content":
                history.read(2.0, 2.1, "b", 1, 2)
            elif act == "back":
                history.followed(2.0, "edge", 5, 1, 1)
            elif act == "older told":
                history.state_learned(2.0, "a", a_state(first), 5)
            elif act == "refused though taken":
                history.request_rejected(1.5, second, 412)
                history.state_learned(2.0, "a", a_state(first, second), 1)
            elif act == "refused for nothing":
                history.request_rejected(1.5, second, 412)
            elif act == "skips":
                other = a_request(4, 5, 7, 1.0)
                history.request_sent(other)
                history.state_learned(2.0, "a", a_state(first, other), 1)
        return "; ".join(history.finish())

    assert "both acknowledged" in wrong("both")
    assert "where 5 was proved" in wrong("older read")
    assert "with what order 2 said" in wrong("wrong content")
    assert "went back" in wrong("back")
    assert "after 5" in wrong("older told")
    assert "yet it was taken" in wrong("refused though taken")
    assert "while its base was in force" in wrong("refused for nothing")
    assert "was made on" in wrong("skips")
    assert wrong() == ""


def test_a_frozen_process_pauses_and_goes_on() -> None:
    """Something happens each half second, on a clock that jumps; the process notes when it sees that."""
    seen: list[float] = []

    async def watch(events: list[asyncio.Future[None]]) -> None:
        for event in events:
            await event
            seen.append(asyncio.get_running_loop().time())

    async def run() -> None:
        loop = asyncio.get_running_loop()
        own_tasks(loop)
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
    # Frozen from 1.2 to 3.7 s: what happened meanwhile is seen at the thaw. Killed at 5.2 s: nothing after.
    assert [round(at_s, 1) for at_s in seen] == [0.5, 1.0, *[3.7] * 5, 4.0, 4.5, 5.0]
