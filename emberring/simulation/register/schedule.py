"""Fault schedules of the register simulator: steps with their times, and conditions."""

from __future__ import annotations

import random
from enum import Enum

import attrs

from emberring.register.replica_set_manager import RECONFIGURATION_TIMEOUTS, ReconfigurationTimeouts
from emberring.simulation.common.scheduled_step import ScheduledStep

FAULT_PERIOD_S = 5.0
"""Duration of the period with faults and callers, in seconds."""

CONCENTRATED_FAULTS_S = 0.8
"""Every other schedule has all its faults within a window of this length, in seconds."""

MAX_FAULTS = 8
"""Maximum number of faults of a schedule."""

MAX_OPERATIONS = 30
"""Maximum number of changes and reads of a schedule, excluding those of a burst."""

SHORT_TIMEOUTS = ReconfigurationTimeouts(
    dead_after_s=0.4, name_unreachable_s=0.2, rank_delay_s=0.1, joiner_wait_s=0.2
)
"""Timeouts at which unresponsive replicas are replaced early."""

SHORTEST_TIMEOUTS = ReconfigurationTimeouts(
    dead_after_s=0.2, name_unreachable_s=0.1, rank_delay_s=0.0, joiner_wait_s=0.0
)
"""Timeouts at which several replicas try to change the replica set at the same time."""


class StepKind(Enum):
    """The kinds of steps of a schedule; their values are shown in reports."""

    CHANGE = "change"
    READ = "read"
    KILL = "kill"
    POWER = "power"
    KILL_ALL = "kill_all"
    POWER_ALL = "power_all"
    WIPE = "wipe"
    REPLACE = "replace"
    REPLACE_FIRST = "replace_first"
    POWER_AFTER_ACK = "power_after_ack"
    WIPE_AFTER_ACK = "wipe_after_ack"
    WIPE_ONE_POWER_REST = "wipe_one_power_rest"
    FREEZE = "freeze"
    CUT_OFF = "cut_off"
    PARTITION_IN_TWO = "cut_apart"
    SLOW_DISK = "slow_disk"
    REFUSING_DISK = "refusing_disk"
    BAD_NETWORK = "bad network"
    ADD = "add"
    BURST = "burst"


_FAULTS = tuple(kind for kind in StepKind if kind not in (StepKind.CHANGE, StepKind.READ))
_CONCENTRATED_FAULTS = (
    *_FAULTS,
    StepKind.CUT_OFF,
    StepKind.PARTITION_IN_TWO,
    StepKind.PARTITION_IN_TWO,
    StepKind.FREEZE,
    StepKind.WIPE,
    StepKind.WIPE,
    StepKind.WIPE_AFTER_ACK,
)


Step = ScheduledStep[StepKind]
"""A step of a schedule of this simulator."""


@attrs.frozen
class Conditions:
    """Conditions of network, disks and nodes during the fault period.

    Slow messages make attempts overlap, a small share of slow messages lets one attempt overtake another, and short
    timeouts cause repeated changes of the replica set.

    Attributes:
        slowest_s: the longest delay of a message, in seconds.
        sync_s: duration of a sync of a disk, in seconds.
        lost: share of messages lost.
        doubled: share of messages delivered twice.
        spares: number of control nodes beyond the initial replicas.
        timeouts: timeouts of a reconfiguration.
        slow_share: share of messages that may be slow.
    """

    slowest_s: float = 0.003
    sync_s: float = 0.001
    lost: float = 0.0
    doubled: float = 0.0
    spares: int = 0
    timeouts: ReconfigurationTimeouts = RECONFIGURATION_TIMEOUTS
    slow_share: float = 1.0


@attrs.frozen
class Schedule:
    """The seed of all random draws, the steps, and the conditions of the fault period."""

    seed: int
    steps: tuple[Step, ...]
    conditions: Conditions = Conditions()


def make_schedule(seed: int) -> Schedule:
    """Return the schedule of a seed; odd seeds have all faults, and most operations, within a short window."""
    rng = random.Random(f"schedule {seed}")
    concentrated_from_s = rng.random() * (FAULT_PERIOD_S - CONCENTRATED_FAULTS_S) if seed % 2 else None
    steps = []
    for _ in range(rng.randint(1, MAX_FAULTS)):
        at_s = (
            rng.random() * FAULT_PERIOD_S
            if concentrated_from_s is None
            else concentrated_from_s + rng.random() * CONCENTRATED_FAULTS_S
        )
        kind = rng.choice(_FAULTS if concentrated_from_s is None else _CONCENTRATED_FAULTS)
        steps.append(Step(at_s, kind, rng.randrange(6), 0.02 + rng.random() ** 2 * 2.5))
    for _ in range(rng.randint(5, MAX_OPERATIONS)):
        operation_kind = StepKind.READ if rng.random() < 0.3 else StepKind.CHANGE
        at_s = rng.random() * (FAULT_PERIOD_S + 1.0)
        if concentrated_from_s is not None and rng.random() < 0.7:
            at_s = concentrated_from_s + rng.random() * 2 * CONCENTRATED_FAULTS_S
        steps.append(Step(at_s, operation_kind, rng.randrange(6)))
    return Schedule(seed, tuple(sorted(steps, key=lambda step: step.at_s)), _make_conditions(rng))


def _make_conditions(rng: random.Random) -> Conditions:
    return Conditions(
        slowest_s=rng.choice((0.003, 0.003, 0.03, 0.1, 0.3)),
        sync_s=rng.choice((0.001, 0.001, 0.02, 0.1)),
        lost=rng.choice((0.0, 0.0, 0.1, 0.3)),
        doubled=rng.choice((0.0, 0.1, 0.3)),
        spares=rng.choice((0, 0, 1, 2)),
        timeouts=rng.choice(
            (RECONFIGURATION_TIMEOUTS, RECONFIGURATION_TIMEOUTS, SHORT_TIMEOUTS, SHORTEST_TIMEOUTS)
        ),
        slow_share=rng.choice((1.0, 1.0, 0.15)),
    )
