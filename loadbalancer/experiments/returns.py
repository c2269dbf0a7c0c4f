"""Does all of the service come back? Each trouble at each load, with callers that try again and callers that don't,
beside the same run without the trouble: the same seed, the same arrivals.

A service that is held down by what a trouble left behind is metastable (Bronson et al., Metastable Failures in
Distributed Systems, HotOS 2021; Huang et al., Metastable Failures in the Wild, OSDI 2022): it takes a run without the
trouble to know what should be there.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from itertools import product

from loadbalancer.experiments.engine import simulate, workers
from loadbalancer.experiments.experiment import Experiment, Trouble
from loadbalancer.experiments.results import Job

BEGINS_S, ENDS_S = 5.0, 13.0  # of each trouble
AFTER_S, SEEN_S = 20.0, 10.0  # from its end to when it is to be over, and how long is looked at from there
LOADS = (0.5, 0.7, 0.85, 1.0, 1.3)  # of capacity
REPEATS = (0, 1, 2, 3)
SHORT = 0.02  # of the requests, from which the service has not come back


def troubles(zone: str, servers: int) -> dict[str, list[Trouble]]:
    """What may go wrong, by name; `servers` is how many there are."""
    third, half = max(1, servers // 3), max(1, servers // 2)

    def one(kind: str, begins: float = BEGINS_S, ends: float = ENDS_S, **more: object) -> Trouble:
        return Trouble.model_validate({"kind": kind, "at_s": begins, "until_s": ends} | more)

    return {
        "zone stopped, back cold": [one("zone_stopped", zone=zone)],
        "zone lost, back cold": [one("zone_lost", zone=zone)],
        "zone cut off": [one("partition", zone=zone)],
        "a third slow": [one("slow", servers=third, factor=10.0)],
        "a third fail": [one("failing", servers=third, factor=100.0)],
        "a third half fail": [one("failing", servers=third, factor=50.0)],
        "a third refuse": [one("refusing", servers=third)],
        "a third silent": [one("stalled", servers=third)],
        "a third come and go": [
            one("stalled", BEGINS_S + 2 * at, BEGINS_S + 1 + 2 * at, servers=third) for at in range(4)
        ],
        "all slow": [one("slow", servers=servers, factor=10.0)],
        "all fail": [one("failing", servers=servers, factor=100.0)],
        "all silent": [one("stalled", servers=servers)],
        "all restarted": [one("restart", ENDS_S - 2.0, ENDS_S, servers=servers)],
        "half of the nodes killed": [one("node_killed", ENDS_S, ENDS_S + 1.0, servers=half)],
        "no list": [one("list_empty")],
    }


@dataclass(frozen=True)
class Return:
    """How one trouble was got over. Shares are of requests, answered in time."""

    trouble: str
    load: float
    repeats: int
    lists: str
    with_it: float
    without: float

    @property
    def short(self) -> float:
        """What is missing; over SHORT it has not come back."""
        return self.without - self.with_it


def _plan(base: Experiment, load: float, repeats: int, lists: str, some: list[Trouble]) -> Experiment:
    row = base.model_dump()
    row["seconds"] = ENDS_S + AFTER_S + SEEN_S
    row["load"] |= {"of_capacity": load, "rate_per_s": None}
    row["load"]["repeats"]["most"] = repeats
    row["fleet"]["lists"] = lists
    row |= {"troubles": [item.model_dump() for item in some], "sweep": []}
    return Experiment.model_validate(row)


def share_after(plan: Experiment, policy: int, seed: int) -> float:
    """Share answered in time of the requests that were due from 20 s after the trouble on, for 10 s."""
    seconds = simulate(Job(plan, (), policy, seed))["seconds"]
    rows = [row for row in seconds if ENDS_S + AFTER_S <= row[0] < ENDS_S + AFTER_S + SEEN_S]
    due, good = (sum(int(row[at]) for row in rows) for at in (1, 2))
    return good / max(1, due)


def known(base: Experiment) -> dict[str, list[Trouble]]:
    """The troubles that this fleet may have, by name."""
    zones = base.fleet.zones
    some = troubles(zones[len(zones) // 2], base.fleet.servers)
    if len(zones) == 1:  # there is nowhere else to go
        some = {name: items for name, items in some.items() if not name.startswith("zone")}
    return some


def search(
    base: Experiment,
    policy: int,
    cores: int,
    loads: Sequence[float] = LOADS,
    repeats: Sequence[int] = REPEATS,
    lists: Sequence[str] = ("told", "static"),
    only: Sequence[str] = (),
) -> Iterator[Return]:
    """Each trouble, or `only` those of these names, at each load; `policy` is its place in the experiment, which is
    played with its first seed."""
    seed = base.seeds[0]
    cases = list(product(loads, repeats, lists))
    with workers(cores) as pool:
        calm = {case: pool.submit(share_after, _plan(base, *case, []), policy, seed) for case in cases}
        asked = {
            (name, case): pool.submit(share_after, _plan(base, *case, some), policy, seed)
            for name, some in known(base).items()
            if not only or name in only
            for case in cases
        }
        for (name, case), found in asked.items():
            yield Return(name, *case, found.result(), calm[case].result())
