"""Fault schedules of the simulator of batch jobs, generated from seeds, and its verdicts."""

from __future__ import annotations

import random
from enum import Enum

import attrs

from emberring.simulation.common.scheduled_step import ScheduledStep
from emberring.simulation.jobs.world import NetworkConditions

FAULT_PERIOD_S = 12.0
MAX_FAULTS = 7
MAX_JOBS = 30


class StepKind(Enum):
    """Kind of a step: a submission or a fault."""

    JOB = "lot"
    KILL = "kill"
    POWER_LOSS = "power"
    KILL_ALL = "kill_all"
    POWER_LOSS_ALL = "power_all"
    DISK_LOSS = "wipe"
    REPLACE = "replace"
    POWER_LOSS_AFTER_ACK = "power_after_ack"
    POWER_LOSS_AFTER_READ = "power_after_read"
    OWNER_POWER_LOSS_AFTER_READ = "owner_power_after_read"
    DISK_LOSS_AFTER_ACK = "wipe_after_ack"
    DISK_LOSS_POWER_LOSS_REST = "wipe_one_power_rest"
    FREEZE = "freeze"
    PARTITION = "cut_off"
    LINK_PARTITION = "cut_link"
    SLOW_DISK = "slow_disk"
    FAILING_DISK = "refusing_disk"
    BAD_NETWORK = "bad network"
    ADD = "add"
    RETIRE = "retire"
    SIGTERM = "term"
    GATEWAY_KILL = "gateway_kill"
    GATEWAY_FREEZE = "gateway_freeze"
    GATEWAY_PARTITION = "gateway_cut"


_FAULT_KINDS = tuple(kind for kind in StepKind if kind is not StepKind.JOB)


Step = ScheduledStep[StepKind]


@attrs.frozen
class Schedule:
    """The seed of all random choices in the world, the number of stores, and the steps."""

    seed: int
    stores: int
    steps: tuple[Step, ...]


@attrs.frozen
class Verdict:
    """The violations found in the run of a schedule, and counts of its activity."""

    schedule: Schedule
    violations: tuple[str, ...]
    accepted: int = 0
    results_read: int = 0
    runs: int = 0
    events: int = 0


def make_schedule(seed: int) -> Schedule:
    """Return the schedule of a seed."""
    rng = random.Random(f"lots {seed}")
    steps = []
    for _ in range(rng.randint(1, MAX_FAULTS)):
        kind = rng.choice(_FAULT_KINDS)
        steps.append(
            Step(1.0 + rng.random() * FAULT_PERIOD_S, kind, rng.randrange(6), 0.1 + rng.random() ** 2 * 3.5)
        )
    for _ in range(rng.randint(4, MAX_JOBS)):
        steps.append(Step(0.8 + rng.random() * FAULT_PERIOD_S, StepKind.JOB))
    return Schedule(seed, rng.choice((3, 3, 4)), tuple(sorted(steps, key=lambda step: step.at_s)))


def normal_network(seed: int) -> NetworkConditions:
    """Return the network conditions of a seed without network faults; some have slow links, some lose messages."""
    rng = random.Random(
        f"weather {seed}"
    )  # unchanged from earlier versions so that seeds keep their schedules
    return NetworkConditions(rng.choice((0.0, 0.0, 0.01, 0.03)), 0.002 * 20 ** rng.random())
