"""The operators' worst days of control as schedules, each beside clients that call all the time."""

from __future__ import annotations

from emberring.simulation.control_plane.schedule import Kind, Schedule, Step

SPAN_S = 24.0


def clients_all_the_time(span_s: float) -> tuple[Step, ...]:
    """Orders at all nodes, reads and leaving servers, as long as this."""
    steps = []
    at_s = 0.3
    while at_s < span_s - 2:
        number = len(steps)
        kind = (Kind.ORDER, Kind.READ, Kind.RACE, Kind.READ, Kind.REPEAT, Kind.SERVER, Kind.DRAIN)[number % 7]
        steps.append(Step(at_s, kind, number % 5))
        at_s += 0.6
    return tuple(steps)


WORST_DAYS: dict[str, tuple[Step, ...]] = {
    # 1: a control machine cut off for twenty seconds
    "cut off": (Step(1.0, Kind.CUT_OFF, 0, 20.0),),
    "cut off one way": (Step(1.0, Kind.CUT_ONE_WAY, 1, 20.0),),
    "cut off from all": (Step(1.0, Kind.CUT_NEAR, 2, 20.0),),
    "cut in two": (Step(1.0, Kind.CUT_IN_TWO, 0, 20.0),),
    "cut off, all killed as it heals": (Step(1.0, Kind.CUT_OFF, 0, 15.0), Step(16.05, Kind.KILL_ALL, 0, 0.5)),
    "cut off, then another in its turn": (
        Step(1.0, Kind.CUT_OFF, 0, 10.0),
        Step(11.5, Kind.CUT_OFF, 1, 10.0),
    ),
    "cut in two, followers at spares": (  # two founders were away for a moment, so followers went to others
        Step(0.2, Kind.KILL, 0, 1.0),
        Step(1.8, Kind.KILL, 2, 1.0),
        Step(5.0, Kind.CUT_IN_TWO, 0, 17.0),
    ),
    "servers leave during a cut": (
        Step(1.0, Kind.CUT_IN_TWO, 0, 20.0),
        *(Step(1.2, Kind.SERVER, number) for number in range(9)),
        *(Step(5.0 + 0.9 * number, Kind.DRAIN, number) for number in range(12)),
    ),
    "frozen": (Step(1.0, Kind.FREEZE, 0, 12.0), Step(14.0, Kind.FREEZE, 1, 6.0)),
    # 2: two operators, repeats after lost answers
    "answers lost": (Step(0.5, Kind.ANSWERS_LOST, 0, 15.0), Step(1.0, Kind.MANY, 0)),
    "races in a row": tuple(Step(0.5 + 0.3 * number, Kind.RACE, number) for number in range(40)),
    "answers lost, all lose power": (
        Step(0.5, Kind.ANSWERS_LOST, 0, 12.0),
        Step(5.0, Kind.POWER_ALL, 0, 1.0),
    ),
    # 3: losses right after a repair or a replacement
    "second loss": (
        Step(1.0, Kind.WIPE, 0, 0.5),
        Step(6.6, Kind.WIPE, 1, 0.5),
        Step(12.2, Kind.WIPE, 2, 0.5),
        Step(17.8, Kind.WIPE, 0, 0.5),
    ),
    "loss right after a replacement": (Step(1.0, Kind.REPLACE, 0, 1.0), Step(7.2, Kind.WIPE, 0, 0.5)),
    "loss right after a planned replacement": (
        Step(1.0, Kind.REPLACE_PLANNED, 0, 1.0),
        Step(7.4, Kind.WIPE, 1, 0.5),
    ),
    "disk lost as all others lose power": (
        Step(2.0, Kind.AFTER_ACK, 1, 1.0),
        Step(9.0, Kind.AFTER_ACK, 3, 1.0),
        Step(16.0, Kind.AFTER_ACK, 5, 1.0),
    ),
    "two stores emptied, then a disk lost": (
        Step(1.0, Kind.RETIRE_TWO, 0, 1.0),
        Step(12.0, Kind.STORE_WIPE, 3, 1.0),
    ),
    # 4: many changes, then a return
    "left behind by many changes": (Step(1.0, Kind.BEHIND, 0, 3.0),),
    "dark for many changes": (
        Step(0.5, Kind.POWER, 1, 12.0),
        Step(1.0, Kind.MANY, 0),
        Step(4.0, Kind.MANY, 1),
        Step(7.0, Kind.MANY, 2),
        Step(12.6, Kind.POWER_ALL, 0, 1.0),
    ),
    "dark until all is calm": (Step(18.0, Kind.POWER, 1, 9.0), Step(18.2, Kind.MANY, 0)),
    "cut off until all is calm": (Step(18.0, Kind.CUT_OFF, 1, 9.0), Step(18.2, Kind.MANY, 0)),
    "disk refuses while many changes are made": (
        Step(0.5, Kind.DISK_REFUSES, 1, 4.0),
        Step(0.7, Kind.MANY, 0),
        Step(5.0, Kind.POWER, 1, 0.5),
        Step(6.0, Kind.MANY, 2),
    ),
    # Many processes at once, and a core as a quota
    "throttled": (Step(1.0, Kind.THROTTLE, 0, 20.0),),
    "throttled, then a disk lost": (Step(1.0, Kind.THROTTLE, 0, 20.0), Step(6.0, Kind.WIPE, 1, 0.5)),
    "throttled while cut off": (Step(1.0, Kind.THROTTLE, 0, 20.0), Step(3.0, Kind.CUT_OFF, 0, 8.0)),
    "zone after zone killed": tuple(Step(1.0 + 5.0 * zone, Kind.ZONE_KILL, zone, 1.0) for zone in range(3)),
    **{
        f"all power lost, back in order {order}": (
            Step(2.0, Kind.POWER_IN_ORDER, order, 0.5),
            Step(11.0, Kind.POWER_IN_ORDER, 5 - order, 0.1),
        )
        for order in range(6)
    },
}


def worst_day(name: str, seed: int, spares: int, sync_s: float = 0.001) -> Schedule:
    steps = (*WORST_DAYS[name], *clients_all_the_time(SPAN_S))
    return Schedule(seed, tuple(sorted(steps, key=lambda step: step.at_s)), SPAN_S, spares, sync_s=sync_s)
