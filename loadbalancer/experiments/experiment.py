"""The file format of experiments: fleet, load, troubles (faults), policies, seeds and swept values.

Times are in the unit that a key's name ends with. Files are read and checked, and their mistakes reported, as the
sidecar's files are.
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
    """The distribution of a call's service time on a warm, idle core."""

    kind: Literal["fixed", "exponential", "lognormal", "bimodal", "histogram"] = "exponential"
    mean_ms: Milliseconds = 10.0
    cv: float = Field(1.0, gt=0, le=20, description="lognormal: standard deviation over the mean")
    slow_ms: float = Field(0.0, ge=0, le=3_600_000, description="bimodal: the longer service time")
    slow_share: Share = 0.0
    values_ms: list[float] = Field([], description="histogram: service times")
    weights: list[float] = Field([], description="histogram: relative frequency of each value")

    @model_validator(mode="after")
    def _check_distribution(self) -> Self:
        if self.kind == "histogram":
            if not self.values_ms or len(self.values_ms) != len(self.weights):
                raise ValueError("a histogram needs at least one value, and as many weights as values_ms")
            if min(self.values_ms) < 0 or min(self.weights) < 0 or sum(self.weights) <= 0:
                raise ValueError(
                    "values_ms and weights must not be negative, and at least one weight must be above 0"
                )
        if self.kind == "bimodal" and self.slow_ms <= self.mean_ms:
            raise ValueError("slow_ms must be greater than mean_ms, which is the shorter of the two times")
        return self

    @property
    def average_ms(self) -> float:
        if self.kind == "bimodal":
            return self.mean_ms + self.slow_share * (self.slow_ms - self.mean_ms)
        if self.kind == "histogram":
            weighted_values = zip(self.values_ms, self.weights, strict=True)
            return sum(value * weight for value, weight in weighted_values) / sum(self.weights)
        return self.mean_ms


class Class(Model):
    name: Name
    share: float = Field(1.0, gt=0, le=1e6, description="share of requests, relative to the other classes")
    aim_ms: Milliseconds = 200.0
    give_up_ms: Milliseconds = 1000.0
    worth: float = Field(1.0, gt=0, le=1e6)
    late_worth: Share = 0.0
    effect: EffectName = "safe"
    service: Service = Service()


class Dependency(Model):
    """A resource that all servers share, such as a database."""

    cores: int = Field(8, ge=1, le=100_000)
    work_ms: Milliseconds = 2.0


class Fleet(Model):
    servers: int = Field(15, ge=1, le=50_000)
    cores: int = Field(4, ge=1, le=1024)
    limit: int = Field(
        0, ge=0, le=1_000_000, description="maximum calls queued or served at a server; 0: no limit"
    )
    zones: list[Name] = Field(["a"], min_length=1, max_length=16)
    nodes: int = Field(
        4, ge=1, le=20_000, description="number of balancers; requests are spread evenly over them"
    )
    network_ms: float = Field(0.5, ge=0, le=10_000, description="one way")
    cross_zone_ms: float = Field(
        0.0, ge=0, le=10_000, description="added to network_ms between zones, one way"
    )
    cross_zone_price: float = Field(0.0, ge=0, le=1000)
    list_late_ms: float = Field(
        200.0, ge=0, le=600_000, description="delay until nodes receive a list change"
    )
    lists: Literal["told", "static"] = Field(
        "told", description="static: nodes receive no list changes and no start times"
    )
    cold_from: float = Field(0.14, gt=0, le=1)
    cold_ms: float = Field(21_000.0, ge=0, le=86_400_000)
    overload_factor: float = Field(4.0, gt=0, le=100)
    max_attempts: int = Field(3, ge=1, le=10)
    dependency: Dependency | None = None


class Repeats(Model):
    """How callers retry a request that was refused or failed."""

    most: int = Field(0, ge=0, le=20)
    backoff_ms: float = Field(100.0, ge=0, le=600_000)
    heed_retry_after: bool = True


class Load(Model):
    kind: Literal["open", "closed"] = "open"
    of_capacity: float | None = Field(
        None, gt=0, le=100, description="request rate as a multiple of the servers' capacity"
    )
    rate_per_s: float | None = Field(None, gt=0, le=10_000_000)
    shape: Literal["steady", "ramp", "bursts", "daily"] = "steady"
    to: float = Field(
        2.0, ge=0, le=100, description="ramp, bursts, daily: peak rate as a multiple of the base rate"
    )
    period_s: Seconds = 10.0
    callers: int = Field(100, ge=1, le=1_000_000, description="closed loop: number of callers")
    think_ms: float = Field(0.0, ge=0, le=3_600_000, description="closed loop: mean time between requests")
    patience_ms: float = Field(
        0.0, ge=0, le=3_600_000, description="mean time after which callers leave; 0: never"
    )
    repeats: Repeats = Repeats()

    @model_validator(mode="after")
    def _check_rate(self) -> Self:
        if self.kind == "open" and (self.of_capacity is None) == (self.rate_per_s is None):
            raise ValueError("an open loop needs either of_capacity or rate_per_s")
        return self


FaultKind = Literal[
    "slow", "stalled", "failing", "refusing", "restart", "rolling_restart", "zone_lost", "zone_stopped", "partition",
    "list_late", "list_empty", "clock_jump", "node_killed",
]  # fmt: skip


class Fault(Model):
    kind: FaultKind
    at_s: float = Field(ge=0, le=86_400)
    until_s: float | None = Field(None, ge=0, le=86_400)
    servers: int = Field(1, ge=0, le=50_000, description="how many servers (node_killed: nodes) are affected")
    zone: Name | None = None
    factor: float = Field(
        10.0, gt=0, le=10_000, description="slow: factor of service times; failing: percentage of calls"
    )

    @model_validator(mode="after")
    def _check_end(self) -> Self:
        if self.until_s is not None and self.until_s <= self.at_s:
            raise ValueError("until_s must be after at_s")
        return self


class Policy(Model):
    name: Name
    pick: Literal[
        "ours", "random", "round_robin", "least_outstanding", "two_choices", "peak_ewma", "omniscient"
    ] = "ours"
    limit: Literal["none", "fixed", "aimd", "gradient", "deadline"] = "none"
    most: float = Field(
        0.0,
        ge=0,
        le=1e6,
        description="initial limit of calls in flight at each node; 0: derived from the fleet",
    )

    @model_validator(mode="after")
    def _check_limit(self) -> Self:
        if self.pick == OURS and self.limit != "none":
            raise ValueError("policy ours has its own limit; limit can be set for other policies only")
        return self


assert set(Policy.model_fields["pick"].annotation.__args__) == {OURS, *PICKERS}  # type: ignore[union-attr]
assert set(Policy.model_fields["limit"].annotation.__args__) == set(LIMITS)  # type: ignore[union-attr]


class Sweep(Model):
    set: str = Field(
        pattern=r"^[a-z_]+(\.[a-z_]+)*$", description="a key of this file, such as `load.of_capacity`"
    )
    values: list[float | int | str | bool] = Field(min_length=1, max_length=100)


class Experiment(Model):
    kind: Literal["experiment"]
    version: Literal[1]
    name: Name
    title: str = Field("", max_length=400)
    seconds: Seconds = 30.0
    warm_s: float = Field(
        5.0, ge=0, le=86_400, description="time at the start that is excluded from all figures"
    )
    seeds: list[int] = Field([1, 2, 3], min_length=1, max_length=1000)
    fleet: Fleet = Fleet()
    classes: list[Class] = Field([Class(name="read")], min_length=1, max_length=64)
    load: Load
    troubles: list[Fault] = Field([], max_length=256)
    policies: list[Policy] = Field([Policy(name=OURS)], min_length=1, max_length=32)
    sweep: list[Sweep] = Field([], max_length=4)

    @model_validator(mode="after")
    def _check_consistency(self) -> Self:
        if self.warm_s >= self.seconds:
            raise ValueError("warm_s must be less than seconds")
        for key_name, names in (("policies", self.policies), ("classes", self.classes)):
            if len({item.name for item in names}) != len(names):
                raise ValueError(f"{key_name}: duplicate name")
        if len(set(self.seeds)) != len(self.seeds):
            raise ValueError("seeds: duplicate seed")
        for index, item in enumerate(self.troubles):
            if item.zone is not None and item.zone not in self.fleet.zones:
                raise ValueError(f"troubles[{index}].zone: {item.zone!r} is not one of the fleet's zones")
            if item.kind in ("zone_lost", "zone_stopped", "partition") and item.zone is None:
                raise ValueError(f"troubles[{index}]: {item.kind} needs a zone")
        return self

    @property
    def capacity_per_s(self) -> float:
        """Requests a second that all servers can serve when warm, limited by their cores only."""
        shares = sum(item.share for item in self.classes)
        work = sum(item.share * item.service.average_ms for item in self.classes) / shares
        return self.fleet.servers * self.fleet.cores * 1000.0 / work

    @property
    def rate_per_s(self) -> float:
        """The base rate of an open loop, before its shape is applied."""
        return self.load.rate_per_s or (self.load.of_capacity or 1.0) * self.capacity_per_s

    def variants(self) -> list[tuple[dict[str, Any], Experiment]]:
        """Each combination of swept values, with its experiment; ValueError if a value cannot be set."""
        variants = []
        for values in itertools.product(*(item.values for item in self.sweep)):
            data = self.model_dump(exclude={"sweep"})
            swept_values: dict[str, Any] = {}
            for item, value in zip(self.sweep, values, strict=True):
                swept_values[item.set] = value
                *path, key = item.set.split(".")
                table = data
                for part in path:
                    table = table[part] if isinstance(table, dict) and part in table else {}
                if not isinstance(table, dict) or key not in table:
                    raise ValueError(f"sweep: {item.set!r} is not a key of an experiment")
                table[key] = value
            variants.append((swept_values, Experiment.model_validate(data)))
        return variants
