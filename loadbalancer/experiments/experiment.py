"""An experiment as its file states it: fleet, load, troubles, policies, seeds, and what is swept.

Times are in the unit that a key's name ends with. Read, checked and complained of as the sidecar's files are.
"""

from __future__ import annotations

import itertools
from typing import Annotated, Any, Literal, Self

from pydantic import Field, model_validator

from loadbalancer.experiments.policies import LIMITS, PICKERS
from loadbalancer.sidecar.models import EffectName, Milliseconds, Model, Name, Share

Seconds = Annotated[float, Field(gt=0, le=86_400)]
OURS = "ours"


class Service(Model):
    """How long a call takes on a warm, idle core."""

    kind: Literal["fixed", "exponential", "lognormal", "bimodal", "histogram"] = "exponential"
    mean_ms: Milliseconds = 10.0
    cv: float = Field(1.0, gt=0, le=20, description="lognormal: standard deviation over the mean")
    slow_ms: float = Field(0.0, ge=0, le=3_600_000, description="bimodal: the longer of the two")
    slow_share: Share = 0.0
    values_ms: list[float] = Field([], description="histogram: each value,")
    weights: list[float] = Field([], description="and how often it comes")

    @model_validator(mode="after")
    def _whole(self) -> Self:
        if self.kind == "histogram":
            if not self.values_ms or len(self.values_ms) != len(self.weights):
                raise ValueError("a histogram needs as many weights as values_ms, one at least")
            if min(self.values_ms) < 0 or min(self.weights) < 0 or sum(self.weights) <= 0:
                raise ValueError("values_ms and weights are 0 or more, and one weight is more than 0")
        if self.kind == "bimodal" and self.slow_ms <= self.mean_ms:
            raise ValueError("slow_ms is to be over mean_ms, which is the shorter of the two here")
        return self

    @property
    def average_ms(self) -> float:
        if self.kind == "bimodal":
            return self.mean_ms + self.slow_share * (self.slow_ms - self.mean_ms)
        if self.kind == "histogram":
            pairs = zip(self.values_ms, self.weights, strict=True)
            return sum(value * weight for value, weight in pairs) / sum(self.weights)
        return self.mean_ms


class Class(Model):
    name: Name
    share: float = Field(1.0, gt=0, le=1e6, description="of the requests, beside the other classes'")
    aim_ms: Milliseconds = 200.0
    give_up_ms: Milliseconds = 1000.0
    worth: float = Field(1.0, gt=0, le=1e6)
    late_worth: Share = 0.0
    effect: EffectName = "safe"
    service: Service = Service()


class Dependency(Model):
    """Something that all servers share."""

    cores: int = Field(8, ge=1, le=100_000)
    work_ms: Milliseconds = 2.0


class Fleet(Model):
    servers: int = Field(15, ge=1, le=50_000)
    cores: int = Field(4, ge=1, le=1024)
    limit: int = Field(0, ge=0, le=1_000_000, description="calls that a server holds at most; 0: no limit")
    zones: list[Name] = Field(["a"], min_length=1, max_length=16)
    nodes: int = Field(4, ge=1, le=20_000, description="balancers; requests go to them evenly")
    network_ms: float = Field(0.5, ge=0, le=10_000, description="one way")
    cross_zone_ms: float = Field(0.0, ge=0, le=10_000, description="one way, beside that")
    cross_zone_price: float = Field(0.0, ge=0, le=1000)
    list_late_ms: float = Field(200.0, ge=0, le=600_000, description="until nodes hear of a change")
    lists: Literal["told", "static"] = Field(
        "told", description="static: nodes hear of no change and of no start"
    )
    cold_from: float = Field(0.14, gt=0, le=1)
    cold_ms: float = Field(21_000.0, ge=0, le=86_400_000)
    overload_factor: float = Field(4.0, gt=0, le=100)
    max_attempts: int = Field(3, ge=1, le=10)
    dependency: Dependency | None = None


class Repeats(Model):
    """What callers do with an answer that is none."""

    most: int = Field(0, ge=0, le=20)
    backoff_ms: float = Field(100.0, ge=0, le=600_000)
    heed_retry_after: bool = True


class Load(Model):
    kind: Literal["open", "closed"] = "open"
    of_capacity: float | None = Field(
        None, gt=0, le=100, description="requests, as a multiple of what servers bear"
    )
    rate_per_s: float | None = Field(None, gt=0, le=10_000_000)
    shape: Literal["steady", "ramp", "bursts", "daily"] = "steady"
    to: float = Field(2.0, ge=0, le=100, description="ramp, bursts, daily: times the rate, at the highest")
    period_s: Seconds = 10.0
    callers: int = Field(100, ge=1, le=1_000_000, description="of a closed loop")
    think_ms: float = Field(0.0, ge=0, le=3_600_000, description="of a closed loop, on average")
    patience_ms: float = Field(
        0.0, ge=0, le=3_600_000, description="after which callers leave, on average; 0: never"
    )
    repeats: Repeats = Repeats()

    @model_validator(mode="after")
    def _one_rate(self) -> Self:
        if self.kind == "open" and (self.of_capacity is None) == (self.rate_per_s is None):
            raise ValueError("an open loop has either of_capacity or rate_per_s")
        return self


TroubleName = Literal[
    "slow", "stalled", "failing", "refusing", "restart", "rolling_restart", "zone_lost", "zone_stopped", "partition",
    "list_late", "list_empty", "clock_jump", "node_killed",
]  # fmt: skip


class Trouble(Model):
    kind: TroubleName
    at_s: float = Field(ge=0, le=86_400)
    until_s: float | None = Field(None, ge=0, le=86_400)
    servers: int = Field(1, ge=0, le=50_000, description="the first so many, or nodes of node_killed")
    zone: Name | None = None
    factor: float = Field(
        10.0, gt=0, le=10_000, description="slow: of service times; failing: the share in 100"
    )

    @model_validator(mode="after")
    def _ends(self) -> Self:
        if self.until_s is not None and self.until_s <= self.at_s:
            raise ValueError("until_s is to be after at_s")
        return self


class Policy(Model):
    name: Name
    pick: Literal[
        "ours", "random", "round_robin", "least_outstanding", "two_choices", "peak_ewma", "omniscient"
    ] = "ours"
    limit: Literal["none", "fixed", "aimd", "gradient", "deadline"] = "none"
    most: float = Field(
        0.0, ge=0, le=1e6, description="calls in flight a node, at first; 0: as fits the fleet"
    )

    @model_validator(mode="after")
    def _own_limit(self) -> Self:
        if self.pick == OURS and self.limit != "none":
            raise ValueError("ours has a limit of its own; limit is for the others")
        return self


assert set(Policy.model_fields["pick"].annotation.__args__) == {OURS, *PICKERS}  # type: ignore[union-attr]
assert set(Policy.model_fields["limit"].annotation.__args__) == set(LIMITS)  # type: ignore[union-attr]


class Sweep(Model):
    set: str = Field(
        pattern=r"^[a-z_]+(\.[a-z_]+)*$", description="a key of this file, as `load.of_capacity`"
    )
    values: list[float | int | str | bool] = Field(min_length=1, max_length=100)


class Experiment(Model):
    kind: Literal["experiment"]
    version: Literal[1]
    name: Name
    title: str = Field("", max_length=400)
    seconds: Seconds = 30.0
    warm_s: float = Field(5.0, ge=0, le=86_400, description="at the start, left out of all figures")
    seeds: list[int] = Field([1, 2, 3], min_length=1, max_length=1000)
    fleet: Fleet = Fleet()
    classes: list[Class] = Field([Class(name="read")], min_length=1, max_length=64)
    load: Load
    troubles: list[Trouble] = Field([], max_length=256)
    policies: list[Policy] = Field([Policy(name=OURS)], min_length=1, max_length=32)
    sweep: list[Sweep] = Field([], max_length=4)

    @model_validator(mode="after")
    def _fits(self) -> Self:
        if self.warm_s >= self.seconds:
            raise ValueError("warm_s is to be under seconds")
        for what, names in (("policies", self.policies), ("classes", self.classes)):
            if len({item.name for item in names}) != len(names):
                raise ValueError(f"{what}: a name stands twice")
        if len(set(self.seeds)) != len(self.seeds):
            raise ValueError("seeds: one stands twice")
        for at, item in enumerate(self.troubles):
            if item.zone is not None and item.zone not in self.fleet.zones:
                raise ValueError(f"troubles[{at}].zone: {item.zone!r} is none of the fleet's zones")
            if item.kind in ("zone_lost", "zone_stopped", "partition") and item.zone is None:
                raise ValueError(f"troubles[{at}]: {item.kind} needs a zone")
        return self

    @property
    def capacity_per_s(self) -> float:
        """Requests that all warm servers bear, by their cores alone."""
        shares = sum(item.share for item in self.classes)
        work = sum(item.share * item.service.average_ms for item in self.classes) / shares
        return self.fleet.servers * self.fleet.cores * 1000.0 / work

    @property
    def rate_per_s(self) -> float:
        """Of an open loop, before its shape."""
        return self.load.rate_per_s or (self.load.of_capacity or 1.0) * self.capacity_per_s

    def variants(self) -> list[tuple[dict[str, Any], Experiment]]:
        """What is swept, each combination with the values that are set; ValueError where one can't be."""
        found = []
        for values in itertools.product(*(item.values for item in self.sweep)):
            data = self.model_dump(exclude={"sweep"})
            told: dict[str, Any] = {}
            for item, value in zip(self.sweep, values, strict=True):
                told[item.set] = value
                *path, key = item.set.split(".")
                table = data
                for word in path:
                    table = table[word] if isinstance(table, dict) and word in table else {}
                if not isinstance(table, dict) or key not in table:
                    raise ValueError(f"sweep: {item.set!r} is no key of an experiment")
                table[key] = value
            found.append((told, Experiment.model_validate(data)))
        return found
