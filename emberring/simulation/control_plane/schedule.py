"""Schedules of a simulated control plane, made from seeds."""

from __future__ import annotations

import random
from enum import Enum

import attrs

from emberring.simulation.common.scheduled_step import ScheduledStep


class Kind(Enum):
    """The kind of a step. Its slot selects the machine, in ways that each kind has."""

    ORDER = "order"
    RACE = "race"
    MANY = "many orders"
    REPEAT = "repeated order"
    READ = "read"
    ANSWERS_LOST = "answers lost"
    SERVER = "server starts"
    DRAIN = "server drains"
    GOODBYE = "server says goodbye"
    CRASH = "server crashes"
    KILL = "kill"
    POWER = "power lost"
    KILL_ALL = "all killed"
    POWER_ALL = "all power lost"
    WIPE = "disk lost"
    WIPE_ONE_POWER_REST = "disk lost, power lost"
    REPLACE = "replaced"
    REPLACE_PLANNED = "replaced as planned"
    ADD = "added"
    FREEZE = "frozen"
    CUT_OFF = "cut off"
    CUT_ONE_WAY = "cut off one way"
    CUT_NEAR = "cut off from all"
    CUT_IN_TWO = "cut in two"
    BEHIND = "left behind"
    DISK_SLOW = "disk slow"
    DISK_REFUSES = "disk refuses"
    BAD_NETWORK = "bad network"
    STORE_KILL = "store killed"
    STORE_WIPE = "store's disk lost"
    STORE_ADD = "store added"
    RETIRE = "store emptied"
    RETIRE_TWO = "two stores emptied, disk lost"
    AFTER_ACK = "power lost after acknowledgement"
    GATEWAY_KILL = "gateway killed"
    # Written by hand only: a new kind in the tuples below would make other schedules of all seeds.
    THROTTLE = "core as a quota"
    ZONE_KILL = "zone killed"
    POWER_IN_ORDER = "all power lost, back in an order"


Step = ScheduledStep[Kind]

CLIENTS = (
    Kind.ORDER,
    Kind.ORDER,
    Kind.ORDER,
    Kind.RACE,
    Kind.REPEAT,
    Kind.READ,
    Kind.READ,
    Kind.SERVER,
    Kind.DRAIN,
    Kind.DRAIN,
    Kind.GOODBYE,
    Kind.CRASH,
)
CUTS = (Kind.CUT_OFF, Kind.CUT_OFF, Kind.CUT_ONE_WAY, Kind.CUT_NEAR, Kind.CUT_IN_TWO)
LOSSES = (
    Kind.WIPE,
    Kind.WIPE,
    Kind.REPLACE,
    Kind.REPLACE_PLANNED,
    Kind.WIPE_ONE_POWER_REST,
    Kind.BEHIND,
    Kind.STORE_WIPE,
    Kind.RETIRE_TWO,
    Kind.AFTER_ACK,
    Kind.AFTER_ACK,
    Kind.MANY,
)
STORES = (Kind.STORE_KILL, Kind.STORE_WIPE, Kind.STORE_ADD, Kind.RETIRE, Kind.RETIRE, Kind.CUT_IN_TWO)
CROWDS = (
    Kind.MANY,
    Kind.RACE,
    Kind.RACE,
    Kind.KILL,
    Kind.BAD_NETWORK,
    Kind.ANSWERS_LOST,
    Kind.READ,
    Kind.READ,
)
FAULTS = (
    *CUTS,
    *LOSSES,
    *STORES,
    Kind.KILL,
    Kind.POWER,
    Kind.KILL_ALL,
    Kind.POWER_ALL,
    Kind.ADD,
    Kind.FREEZE,
    Kind.DISK_SLOW,
    Kind.DISK_REFUSES,
    Kind.BAD_NETWORK,
    Kind.GATEWAY_KILL,
    Kind.MANY,
    Kind.ANSWERS_LOST,
)
SPAN_S = 14.0
CUT_SPAN_S = 26.0
MAX_FAULTS = 7


@attrs.frozen
class Schedule:
    """The steps of `span_s` seconds, and the seed of all random choices.

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
    """The schedule of a seed.

    One in four has long partitions, one losses, one many requests at all nodes over slow links, one has all kinds of
    faults.
    """
    rng = random.Random(f"control {seed}")
    theme = seed % 4
    span_s = CUT_SPAN_S if theme == 0 else SPAN_S
    steps: list[Step] = []
    if theme == 0:
        steps += _cuts(rng)
    elif theme == 1:
        steps += _some(rng, LOSSES, span_s, 5)
    elif theme == 2:
        steps += [Step(rng.random(), Kind.MANY, number) for number in range(3)]
        steps += _some(rng, CROWDS, span_s, 4)
    else:
        steps += _some(rng, FAULTS, span_s, MAX_FAULTS)
    steps += _some(rng, CLIENTS, span_s, 26)
    return Schedule(
        seed,
        tuple(sorted(steps, key=lambda step: step.at_s)),
        span_s,
        spares=rng.choice((0, 0, 1, 2)),
        slowest_s=rng.choice((0.03, 0.12) if theme == 2 else (0.003, 0.003, 0.03, 0.12)),
        slow_share=rng.choice((1.0, 0.1) if theme == 2 else (1.0,)),
        sync_s=rng.choice((0.001, 0.004, 0.03)),
    )


def _cuts(rng: random.Random) -> list[Step]:
    """A partition of 15 to 25 s, beside at most three other faults."""
    at_s = rng.random() * 2
    steps = [Step(at_s, rng.choice(CUTS), rng.randrange(6), 15 + rng.random() * 10)]
    return steps + _some(rng, FAULTS, CUT_SPAN_S, 3)


def _some(rng: random.Random, kinds: tuple[Kind, ...], span_s: float, most: int) -> list[Step]:
    steps = []
    for _ in range(rng.randint(1, most)):
        lasts_s = 0.05 + rng.random() ** 2 * 5
        steps.append(Step(rng.random() * span_s, rng.choice(kinds), rng.randrange(12), lasts_s))
    return steps
