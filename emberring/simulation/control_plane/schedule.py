"""Generates the schedules of a simulated control plane from seeds."""

from __future__ import annotations

import random
from enum import Enum

import attrs

from emberring.simulation.common.scheduled_step import ScheduledStep


class Kind(Enum):
    """The kind of a step. Each kind interprets the slot of the step, usually as the index of a machine."""

    CHANGE = "order"
    RACE = "race"
    CHANGE_SERIES = "many orders"
    REPEATED_CHANGE = "repeated order"
    READ = "read"
    RESPONSES_LOST = "answers lost"
    SERVER_START = "server starts"
    SERVER_DRAIN = "server drains"
    SERVER_DEREGISTRATION = "server says goodbye"
    SERVER_CRASH = "server crashes"
    KILL = "kill"
    POWER_LOSS = "power lost"
    KILL_ALL = "all killed"
    POWER_LOSS_ALL = "all power lost"
    DISK_LOSS = "disk lost"
    DISK_LOSS_POWER_LOSS_REST = "disk lost, power lost"
    REPLACE = "replaced"
    REPLACE_PLANNED = "replaced as planned"
    ADD = "added"
    FREEZE = "frozen"
    PARTITION = "cut off"
    PARTITION_ONE_WAY = "cut off one way"
    PARTITION_FROM_ALL = "cut off from all"
    PARTITION_IN_HALVES = "cut in two"
    STALE_MEMBER = "left behind"
    DISK_SLOW = "disk slow"
    DISK_FAILS = "disk refuses"
    BAD_NETWORK = "bad network"
    STORE_KILL = "store killed"
    STORE_DISK_LOSS = "store's disk lost"
    STORE_ADD = "store added"
    RETIRE = "store emptied"
    RETIRE_TWO = "two stores emptied, disk lost"
    POWER_LOSS_AFTER_ACK = "power lost after acknowledgement"
    GATEWAY_KILL = "gateway killed"
    # Not in the tuples below, so that the seeds keep their other steps: see `with_restarts`.
    SERVER_RESTART = "server starts again, heartbeats late"
    # Used only in hand-written schedules: adding a kind to the tuples below would change the schedules of all seeds.
    THROTTLE = "core as a quota"
    ZONE_KILL = "zone killed"
    POWER_LOSS_ALL_RETURN_IN_ORDER = "all power lost, back in an order"


Step = ScheduledStep[Kind]

CLIENTS = (
    Kind.CHANGE,
    Kind.CHANGE,
    Kind.CHANGE,
    Kind.RACE,
    Kind.REPEATED_CHANGE,
    Kind.READ,
    Kind.READ,
    Kind.SERVER_START,
    Kind.SERVER_DRAIN,
    Kind.SERVER_DRAIN,
    Kind.SERVER_DEREGISTRATION,
    Kind.SERVER_CRASH,
)
PARTITIONS = (
    Kind.PARTITION,
    Kind.PARTITION,
    Kind.PARTITION_ONE_WAY,
    Kind.PARTITION_FROM_ALL,
    Kind.PARTITION_IN_HALVES,
)
LOSSES = (
    Kind.DISK_LOSS,
    Kind.DISK_LOSS,
    Kind.REPLACE,
    Kind.REPLACE_PLANNED,
    Kind.DISK_LOSS_POWER_LOSS_REST,
    Kind.STALE_MEMBER,
    Kind.STORE_DISK_LOSS,
    Kind.RETIRE_TWO,
    Kind.POWER_LOSS_AFTER_ACK,
    Kind.POWER_LOSS_AFTER_ACK,
    Kind.CHANGE_SERIES,
)
STORES = (
    Kind.STORE_KILL,
    Kind.STORE_DISK_LOSS,
    Kind.STORE_ADD,
    Kind.RETIRE,
    Kind.RETIRE,
    Kind.PARTITION_IN_HALVES,
)
CONTENTION = (
    Kind.CHANGE_SERIES,
    Kind.RACE,
    Kind.RACE,
    Kind.KILL,
    Kind.BAD_NETWORK,
    Kind.RESPONSES_LOST,
    Kind.READ,
    Kind.READ,
)
FAULTS = (
    *PARTITIONS,
    *LOSSES,
    *STORES,
    Kind.KILL,
    Kind.POWER_LOSS,
    Kind.KILL_ALL,
    Kind.POWER_LOSS_ALL,
    Kind.ADD,
    Kind.FREEZE,
    Kind.DISK_SLOW,
    Kind.DISK_FAILS,
    Kind.BAD_NETWORK,
    Kind.GATEWAY_KILL,
    Kind.CHANGE_SERIES,
    Kind.RESPONSES_LOST,
)
RESTART_SHARE = 0.25  # of the schedules have restarts of servers with late heartbeats
MAX_RESTARTS = 4
SPAN_S = 14.0
PARTITION_SPAN_S = 26.0
MAX_FAULTS = 7


@attrs.frozen
class Schedule:
    """The steps of a run of `span_s` seconds, and the seed of all random choices.

    `spares` is the number of control nodes beyond the founders; `slowest_s` is the longest delay of the `slow_share`
    of messages that are slow; `sync_s` is the time of a sync to disk.
    """

    seed: int
    steps: tuple[Step, ...]
    span_s: float = SPAN_S
    spares: int = 0
    slowest_s: float = 0.003
    slow_share: float = 1.0
    sync_s: float = 0.001


def make_schedule(seed: int) -> Schedule:
    """Return the schedule of a seed.

    The seed modulo 4 selects the theme: long partitions, disk losses, many requests at all nodes over slow links, or
    all kinds of faults.
    """
    rng = random.Random(f"control {seed}")
    theme = seed % 4
    span_s = PARTITION_SPAN_S if theme == 0 else SPAN_S
    steps: list[Step] = []
    if theme == 0:
        steps += _partition_steps(rng)
    elif theme == 1:
        steps += _random_steps(rng, LOSSES, span_s, 5)
    elif theme == 2:
        steps += [Step(rng.random(), Kind.CHANGE_SERIES, number) for number in range(3)]
        steps += _random_steps(rng, CONTENTION, span_s, 4)
    else:
        steps += _random_steps(rng, FAULTS, span_s, MAX_FAULTS)
    steps += _random_steps(rng, CLIENTS, span_s, 26)
    return Schedule(
        seed,
        tuple(sorted(steps, key=lambda step: step.at_s)),
        span_s,
        spares=rng.choice((0, 0, 1, 2)),
        slowest_s=rng.choice((0.03, 0.12) if theme == 2 else (0.003, 0.003, 0.03, 0.12)),
        slow_share=rng.choice((1.0, 0.1) if theme == 2 else (1.0,)),
        sync_s=rng.choice((0.001, 0.004, 0.03)),
    )


def with_restarts(schedule: Schedule) -> Schedule:
    """Return the schedule with restarts of model servers, if it is in the part that has them.

    They are drawn apart from the other steps, which each seed keeps.
    """
    rng = random.Random(f"restarts {schedule.seed}")
    if rng.random() >= RESTART_SHARE:
        return schedule
    restarts = [
        Step(rng.random() * schedule.span_s, Kind.SERVER_RESTART, rng.randrange(12))
        for _ in range(rng.randint(1, MAX_RESTARTS))
    ]
    steps = sorted((*schedule.steps, *restarts), key=lambda step: step.at_s)
    return attrs.evolve(schedule, steps=tuple(steps))


def _partition_steps(rng: random.Random) -> list[Step]:
    """Return a partition of 15 to 25 s and at most three other faults."""
    at_s = rng.random() * 2
    steps = [Step(at_s, rng.choice(PARTITIONS), rng.randrange(6), 15 + rng.random() * 10)]
    return steps + _random_steps(rng, FAULTS, PARTITION_SPAN_S, 3)


def _random_steps(rng: random.Random, kinds: tuple[Kind, ...], span_s: float, max_count: int) -> list[Step]:
    steps = []
    for _ in range(rng.randint(1, max_count)):
        duration_s = 0.05 + rng.random() ** 2 * 5
        steps.append(Step(rng.random() * span_s, rng.choice(kinds), rng.randrange(12), duration_s))
    return steps
