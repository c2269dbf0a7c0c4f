"""Hand-written worst-case schedules of the control plane, each combined with continuous client requests."""

from __future__ import annotations

from emberring.simulation.control_plane.schedule import Kind, Schedule, Step

SPAN_S = 24.0


def continuous_client_steps(span_s: float) -> tuple[Step, ...]:
    """Changes at all nodes, reads and draining servers for `span_s` seconds."""
    steps = []
    at_s = 0.3
    while at_s < span_s - 2:
        number = len(steps)
        kind = (
            Kind.CHANGE,
            Kind.READ,
            Kind.RACE,
            Kind.READ,
            Kind.REPEATED_CHANGE,
            Kind.SERVER_START,
            Kind.SERVER_DRAIN,
        )[number % 7]
        steps.append(Step(at_s, kind, number % 5))
        at_s += 0.6
    return tuple(steps)


WORST_DAYS: dict[str, tuple[Step, ...]] = {
    # 1: a control machine is partitioned for twenty seconds
    "cut off": (Step(1.0, Kind.PARTITION, 0, 20.0),),
    "cut off one way": (Step(1.0, Kind.PARTITION_ONE_WAY, 1, 20.0),),
    "cut off from all": (Step(1.0, Kind.PARTITION_FROM_ALL, 2, 20.0),),
    "cut in two": (Step(1.0, Kind.PARTITION_IN_HALVES, 0, 20.0),),
    "cut off, all killed as it heals": (
        Step(1.0, Kind.PARTITION, 0, 15.0),
        Step(16.05, Kind.KILL_ALL, 0, 0.5),
    ),
    "cut off, then another in its turn": (
        Step(1.0, Kind.PARTITION, 0, 10.0),
        Step(11.5, Kind.PARTITION, 1, 10.0),
    ),
    "cut in two, followers at spares": (  # two founders are down briefly, so followers switch to other control nodes
        Step(0.2, Kind.KILL, 0, 1.0),
        Step(1.8, Kind.KILL, 2, 1.0),
        Step(5.0, Kind.PARTITION_IN_HALVES, 0, 17.0),
    ),
    "servers leave during a cut": (
        Step(1.0, Kind.PARTITION_IN_HALVES, 0, 20.0),
        *(Step(1.2, Kind.SERVER_START, number) for number in range(9)),
        *(Step(5.0 + 0.9 * number, Kind.SERVER_DRAIN, number) for number in range(12)),
    ),
    "servers start again, heartbeats late": (
        *(Step(0.1, Kind.SERVER_START, number) for number in range(9)),
        *(Step(2.0 + 1.1 * number, Kind.SERVER_RESTART, number) for number in range(9)),
    ),
    "frozen": (Step(1.0, Kind.FREEZE, 0, 12.0), Step(14.0, Kind.FREEZE, 1, 6.0)),
    # 2: concurrent operators, retries after lost responses
    "answers lost": (Step(0.5, Kind.RESPONSES_LOST, 0, 15.0), Step(1.0, Kind.CHANGE_SERIES, 0)),
    "races in a row": tuple(Step(0.5 + 0.3 * number, Kind.RACE, number) for number in range(40)),
    "answers lost, all lose power": (
        Step(0.5, Kind.RESPONSES_LOST, 0, 12.0),
        Step(5.0, Kind.POWER_LOSS_ALL, 0, 1.0),
    ),
    # 3: disk losses right after a repair or a replacement
    "second loss": (
        Step(1.0, Kind.DISK_LOSS, 0, 0.5),
        Step(6.6, Kind.DISK_LOSS, 1, 0.5),
        Step(12.2, Kind.DISK_LOSS, 2, 0.5),
        Step(17.8, Kind.DISK_LOSS, 0, 0.5),
    ),
    "loss right after a replacement": (Step(1.0, Kind.REPLACE, 0, 1.0), Step(7.2, Kind.DISK_LOSS, 0, 0.5)),
    "loss right after a planned replacement": (
        Step(1.0, Kind.REPLACE_PLANNED, 0, 1.0),
        Step(7.4, Kind.DISK_LOSS, 1, 0.5),
    ),
    "disk lost as all others lose power": (
        Step(2.0, Kind.POWER_LOSS_AFTER_ACK, 1, 1.0),
        Step(9.0, Kind.POWER_LOSS_AFTER_ACK, 3, 1.0),
        Step(16.0, Kind.POWER_LOSS_AFTER_ACK, 5, 1.0),
    ),
    "two stores emptied, then a disk lost": (
        Step(1.0, Kind.RETIRE_TWO, 0, 1.0),
        Step(12.0, Kind.STORE_DISK_LOSS, 3, 1.0),
    ),
    # 4: a member rejoins after many changes
    "left behind by many changes": (Step(1.0, Kind.STALE_MEMBER, 0, 3.0),),
    "dark for many changes": (
        Step(0.5, Kind.POWER_LOSS, 1, 12.0),
        Step(1.0, Kind.CHANGE_SERIES, 0),
        Step(4.0, Kind.CHANGE_SERIES, 1),
        Step(7.0, Kind.CHANGE_SERIES, 2),
        Step(12.6, Kind.POWER_LOSS_ALL, 0, 1.0),
    ),
    "dark until all is calm": (Step(18.0, Kind.POWER_LOSS, 1, 9.0), Step(18.2, Kind.CHANGE_SERIES, 0)),
    "cut off until all is calm": (Step(18.0, Kind.PARTITION, 1, 9.0), Step(18.2, Kind.CHANGE_SERIES, 0)),
    "disk refuses while many changes are made": (
        Step(0.5, Kind.DISK_FAILS, 1, 4.0),
        Step(0.7, Kind.CHANGE_SERIES, 0),
        Step(5.0, Kind.POWER_LOSS, 1, 0.5),
        Step(6.0, Kind.CHANGE_SERIES, 2),
    ),
    # Several processes at the same time, and CPU quotas
    "throttled": (Step(1.0, Kind.THROTTLE, 0, 20.0),),
    "throttled, then a disk lost": (Step(1.0, Kind.THROTTLE, 0, 20.0), Step(6.0, Kind.DISK_LOSS, 1, 0.5)),
    "throttled while cut off": (Step(1.0, Kind.THROTTLE, 0, 20.0), Step(3.0, Kind.PARTITION, 0, 8.0)),
    "zone after zone killed": tuple(Step(1.0 + 5.0 * zone, Kind.ZONE_KILL, zone, 1.0) for zone in range(3)),
    **{
        f"all power lost, back in order {order}": (
            Step(2.0, Kind.POWER_LOSS_ALL_RETURN_IN_ORDER, order, 0.5),
            Step(11.0, Kind.POWER_LOSS_ALL_RETURN_IN_ORDER, 5 - order, 0.1),
        )
        for order in range(6)
    },
}


def worst_case_schedule(name: str, seed: int, spares: int, sync_s: float = 0.001) -> Schedule:
    steps = (*WORST_DAYS[name], *continuous_client_steps(SPAN_S))
    return Schedule(seed, tuple(sorted(steps, key=lambda step: step.at_s)), SPAN_S, spares, sync_s=sync_s)
