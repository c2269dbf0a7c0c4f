"""Checks whether the service fully recovers after a trouble: each trouble at each load, with and without callers that
retry, compared with a run without the trouble, of the same seed and arrivals.

A service that stays degraded after the cause has ended is in a metastable failure (Bronson et al., Metastable Failures
in Distributed Systems, HotOS 2021; Huang et al., Metastable Failures in the Wild, OSDI 2022). The run without the
trouble gives the share that a full recovery must reach.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from itertools import product

from loadbalancer.experiments.engine import simulate, worker_pool
from loadbalancer.experiments.experiment import Experiment, Fault
from loadbalancer.experiments.results import Job

BEGINS_S, ENDS_S = 5.0, 13.0  # start and end of each trouble
RECOVERY_S, WINDOW_S = 20.0, 10.0  # time allowed for the recovery, and the interval evaluated after it
LOADS = (0.5, 0.7, 0.85, 1.0, 1.3)  # of capacity
REPEATS = (0, 1, 2, 3)
SHORT = 0.02  # missing share of requests above which the service has not recovered


def faults_by_name(zone: str, servers: int) -> dict[str, list[Fault]]:
    """The troubles by name; `servers` is the number of servers in the fleet."""
    third, half = max(1, servers // 3), max(1, servers // 2)

    def one(kind: str, begins: float = BEGINS_S, ends: float = ENDS_S, **more: object) -> Fault:
        return Fault.model_validate({"kind": kind, "at_s": begins, "until_s": ends} | more)

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
    """The recovery from one trouble, as shares of requests answered in time."""

    trouble: str
    load: float
    repeats: int
    lists: str
    with_it: float
    without: float

    @property
    def short(self) -> float:
        """The share missing after the trouble; above SHORT the service has not recovered."""
        return self.without - self.with_it


def _plan(base: Experiment, load: float, repeats: int, lists: str, chosen: list[Fault]) -> Experiment:
    row = base.model_dump()
    row["seconds"] = ENDS_S + RECOVERY_S + WINDOW_S
    row["load"] |= {"of_capacity": load, "rate_per_s": None}
    row["load"]["repeats"]["most"] = repeats
    row["fleet"]["lists"] = lists
    row |= {"troubles": [item.model_dump() for item in chosen], "sweep": []}
    return Experiment.model_validate(row)


def share_after(plan: Experiment, policy: int, seed: int) -> float:
    """The share answered in time of the requests due in the 10 s that begin 20 s after the trouble's end."""
    seconds = simulate(Job(plan, (), policy, seed))["seconds"]
    rows = [row for row in seconds if ENDS_S + RECOVERY_S <= row[0] < ENDS_S + RECOVERY_S + WINDOW_S]
    due, in_time = (sum(int(row[at]) for row in rows) for at in (1, 2))
    return in_time / max(1, due)


def known(base: Experiment) -> dict[str, list[Fault]]:
    """The troubles that are possible in this fleet, by name."""
    zones = base.fleet.zones
    chosen = faults_by_name(zones[len(zones) // 2], base.fleet.servers)
    if len(zones) == 1:  # with one zone, no other zone can take over
        chosen = {name: items for name, items in chosen.items() if not name.startswith("zone")}
    return chosen


def search(
    base: Experiment,
    policy: int,
    cores: int,
    loads: Sequence[float] = LOADS,
    repeats: Sequence[int] = REPEATS,
    lists: Sequence[str] = ("told", "static"),
    only: Sequence[str] = (),
) -> Iterator[Return]:
    """Run each trouble, or those named in `only`, at each load; `policy` is its index in the experiment. The first seed
    of the experiment is used."""
    seed = base.seeds[0]
    cases = list(product(loads, repeats, lists))
    with worker_pool(cores) as pool:
        baselines = {case: pool.submit(share_after, _plan(base, *case, []), policy, seed) for case in cases}
        futures = {
            (name, case): pool.submit(share_after, _plan(base, *case, chosen), policy, seed)
            for name, chosen in known(base).items()
            if not only or name in only
            for case in cases
        }
        for (name, case), future in futures.items():
            yield Return(name, *case, future.result(), baselines[case].result())
