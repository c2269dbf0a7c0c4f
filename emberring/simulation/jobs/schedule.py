"""Schedules of troubles for the check of batch jobs, each made from a seed, and what came of one."""

from __future__ import annotations

import random
from enum import Enum

import attrs

from emberring.simulation.common.scheduled_step import ScheduledStep

TROUBLE_S = 12.0
MOST_TROUBLES = 7
MAX_LISTED_JOBS = 30


class Kind(Enum):
    """What may happen."""

    JOB = "lot"
    KILL = "kill"
    POWER = "power"
    KILL_ALL = "kill_all"
    POWER_ALL = "power_all"
    WIPE = "wipe"
    REPLACE = "replace"
    POWER_AFTER_ACK = "power_after_ack"
    POWER_AFTER_READ = "power_after_read"
    OWNER_POWER_AFTER_READ = "owner_power_after_read"
    WIPE_AFTER_ACK = "wipe_after_ack"
    WIPE_ONE_POWER_REST = "wipe_one_power_rest"
    FREEZE = "freeze"
    CUT_OFF = "cut_off"
    CUT_LINK = "cut_link"
    SLOW_DISK = "slow_disk"
    REFUSING_DISK = "refusing_disk"
    WEATHER = "weather"
    ADD = "add"
    RETIRE = "retire"
    TERM = "term"
    GATEWAY_KILL = "gateway_kill"
    GATEWAY_FREEZE = "gateway_freeze"
    GATEWAY_CUT = "gateway_cut"


_TROUBLES = tuple(kind for kind in Kind if kind is not Kind.JOB)


Step = ScheduledStep[Kind]


@attrs.frozen
class Schedule:
    """A seed, from which all chance in the world comes, and what happens."""

    seed: int
    stores: int
    steps: tuple[Step, ...]


@attrs.frozen
class Verdict:
    """What was wrong with a schedule (empty: nothing), and how much happened in it."""

    schedule: Schedule
    mistakes: tuple[str, ...]
    taken: int = 0
    listed: int = 0
    runs: int = 0
    events: int = 0


def make_schedule(seed: int) -> Schedule:
    """The schedule of a seed."""
    rng = random.Random(f"lots {seed}")
    steps = []
    for _ in range(rng.randint(1, MOST_TROUBLES)):
        kind = rng.choice(_TROUBLES)
        steps.append(
            Step(1.0 + rng.random() * TROUBLE_S, kind, rng.randrange(6), 0.1 + rng.random() ** 2 * 3.5)
        )
    for _ in range(rng.randint(4, MAX_LISTED_JOBS)):
        steps.append(Step(0.8 + rng.random() * TROUBLE_S, Kind.JOB))
    return Schedule(seed, rng.choice((3, 3, 4)), tuple(sorted(steps, key=lambda step: step.at_s)))
