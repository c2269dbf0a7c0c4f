"""The interface of the balancer: its settings, the events it handles and the actions it returns.

Times are in milliseconds on one monotonic clock; rates are per second.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum


class Effect(Enum):
    """Whether a request may be executed more than once."""

    SAFE = "safe"  # idempotent: may be executed any number of times
    KEYED = "keyed"  # a group of servers deduplicates by idempotency key, for a limited time
    UNSAFE = "unsafe"  # must not be executed twice


class Scope(Enum):
    """The group of servers within which repeats of a keyed request are deduplicated."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Result(Enum):
    """How an attempt ended; `never_ran` is true of the results that prove that it had no effect."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    MOOT = "moot"
    NO_ROOM = "no_room"  # no connection was available in this process: not evidence about the server

    @property
    def never_ran(self) -> bool:
        """Whether this result proves that the attempt had no effect."""
        return self in _NEVER_RAN

    # Enum.__hash__ is implemented in Python and is too slow for one lookup per attempt.
    __hash__ = object.__hash__


_NEVER_RAN = frozenset((Result.FULL, Result.CONNECT_FAILED, Result.MOOT, Result.NO_ROOM))


class ServerState(Enum):
    """The state that a server list reports for a server."""

    UP = "up"
    DEGRADED = "degraded"  # works, but is used only when the healthy servers lack capacity
    SICK = "sick"  # unhealthy: gets no requests, except in panic mode (`Levels.panic`)
    DRAINING = "draining"
    REMOVED = "removed"


class ListForm(Enum):
    """The form of a `Membership`: changes, a complete list, a cached one, or a failed discovery call."""

    DELTA = "delta"
    FULL = "full"
    CACHED = "cached"
    FAILED = "failed"


# ------------------------------------------------------------------ settings


@dataclass(slots=True, frozen=True)
class ServiceClass:
    """A class of requests: latency target, worth, and what may be retried."""

    name: str
    aim_ms: float  # latency target: a response within it earns the full worth
    give_up_ms: float  # the client's timeout over all attempts
    worth: float = 1.0
    late_worth: float = 0.0  # share of the worth that a response after the latency target earns
    effect: Effect = Effect.UNSAFE
    scope: Scope = Scope.ALL
    memory_ms: float = 0.0  # how long servers remember an idempotency key
    stream: bool = False
    max_attempts: int = 0  # per request, at most `Settings.max_attempts`; 0: that limit alone
    hedge: bool = False  # only safe classes: a slow first attempt may be hedged by a second one


@dataclass(slots=True, frozen=True)
class Tenant:
    """A tenant and its quota."""

    name: str
    quota_per_s: float  # for all balancers of the tier together


@dataclass(slots=True, frozen=True)
class Settings:
    """The settings of a balancer."""

    classes: tuple[ServiceClass, ...]
    tenants: tuple[Tenant, ...] = ()
    zone: str = ""
    tier: int = 0  # 0 is the edge tier, which clients call
    siblings: int = 1  # balancers that send to the same servers, including this one
    start_calls: float = 7.0  # in flight per ready server, over all siblings, until rates are known
    quiet_calls: float = 2.0  # the same afterwards, while latency shows no load
    near_ms: float = 0.0  # latency differences below this have little effect on ranking
    ask_discovery: bool = False
    worth_by_work: bool = False
    over_share_worth: float = 1.0
    report_fields: tuple[str, ...] = ()
    may_cancel: bool = False
    retry_after: bool = False
    max_retry_after_ms: float = 0.0
    max_attempts: int = 1
    cross_zone_price: float = 0.0
    cold_from: float = 1.0
    cold_ms: float = 0.0
    starts_told: bool = True  # whether server lists include the start time of servers
    overload_factor: float = 2.0  # load over capacity from which a cold server fails
    # Retry budget: retries and hedges as a share of first attempts; None: no budget, retries are unlimited.
    retry_share: float | None = None
    retry_floor_per_s: float = 0.0  # retries and hedges allowed in addition to that share
    retry_window_ms: float = 10_000.0  # window of the retry budget
    retry_after_spread: float = 0.0  # random spread of Retry-After, as a share of it in each direction
    # Upper limit of the first backoff before a retry while the pool is failing; doubled for each attempt.
    backoff_ms: float = 0.0
    # While discovery fails, a list expires this long after it was last complete; None: it never expires.
    list_expires_ms: float | None = None

    def __post_init__(self) -> None:
        """Check all values; raises ValueError naming the first invalid setting."""
        if not self.classes:
            raise ValueError("classes: at least one class is needed")
        self._check_classes()
        for at, tenant in enumerate(self.tenants):
            _check_range(f"tenants[{at}].quota_per_s", tenant.quota_per_s, 0)
        for key in ("tier", "max_retry_after_ms", "cross_zone_price", "cold_ms"):
            _check_range(key, getattr(self, key), 0)
        for key in ("retry_floor_per_s", "backoff_ms", "near_ms"):
            _check_range(key, getattr(self, key), 0)
        self._check_retries()
        for key in ("siblings", "max_attempts", "start_calls", "quiet_calls"):
            _check_range(key, getattr(self, key), 1)
        self._check_types()
        _check_range("overload_factor", self.overload_factor, 0.001)
        if self.list_expires_ms is not None:
            _check_range("list_expires_ms", self.list_expires_ms, 0)
        _check_range("over_share_worth", self.over_share_worth, 0, 1)
        _check_range("cold_from", self.cold_from, 0.001, 1)
        for key, names in (("classes", self.classes), ("tenants", self.tenants)):
            _check_unique(key, (item.name for item in names))

    def _check_classes(self) -> None:
        for at, item in enumerate(self.classes):
            for key in ("aim_ms", "give_up_ms"):
                _check_range(f"classes[{at}].{key}", getattr(item, key), 0.001)
            for key in ("worth", "late_worth", "memory_ms", "max_attempts"):
                _check_range(f"classes[{at}].{key}", getattr(item, key), 0)

    def _check_types(self) -> None:
        for key in ("ask_discovery", "worth_by_work", "may_cancel", "retry_after", "starts_told"):
            if not isinstance(getattr(self, key), bool):
                raise ValueError(f"{key}: {getattr(self, key)!r} is not true or false")
        if not isinstance(self.zone, str):
            raise ValueError(f"zone: {self.zone!r} is not a string")

    def _check_retries(self) -> None:
        if self.retry_share is not None:
            _check_range("retry_share", self.retry_share, 0, 1)
        _check_range("retry_window_ms", self.retry_window_ms, 1)
        _check_range("retry_after_spread", self.retry_after_spread, 0, 1)
        for at, item in enumerate(self.classes):
            if item.hedge and (item.effect is not Effect.SAFE or self.retry_share is None):
                raise ValueError(f"classes[{at}].hedge: hedging requires a safe class and a retry budget")


def _check_range(key: str, value: object, low: float, high: float = math.inf) -> None:
    in_range = isinstance(value, int | float) and not isinstance(value, bool) and low <= value <= high
    if not in_range or not math.isfinite(float(value)):  # type: ignore[arg-type]
        raise ValueError(f"{key}: {value!r} is not a number from {low} to {high}")


def _check_unique(key: str, names: Iterable[str]) -> None:
    all_names = list(names)
    if len(set(all_names)) != len(all_names):
        raise ValueError(f"{key}: a name is used more than once")


def warmth(age_ms: float, cold_from: float, cold_ms: float) -> float:
    """Return a server's capacity `age_ms` after its start, as a share of its capacity when warm.

    The share rises linearly from `cold_from` to 1 over `cold_ms`.
    """
    if age_ms >= cold_ms:
        return 1.0
    return cold_from + (1.0 - cold_from) * max(0.0, age_ms) / cold_ms


# -------------------------------------------------------------------- events


@dataclass(slots=True)
class Server:
    """One server of a list."""

    address: str
    zone: str = ""
    cell: int = 0
    state: ServerState = ServerState.UP
    launched_ms: float | None = None  # start time on the clock of the events; None: long ago
    weight: float = 1.0  # 0: no new requests
    priority: int = 0  # 0 is the preferred level
    locality: str = ""
    locality_weight: float | None = None  # weight of its locality in its level; None: not weighted


@dataclass(slots=True, frozen=True)
class Levels:
    """How load spills over between the priority levels of a list."""

    overprovisioning: float = 1.4  # a level overflows once this times its healthy share is below 1
    panic: float = 0.5  # below this healthy share, health is ignored if all levels together lack capacity
    drop: float = 0.0  # share of requests to reject regardless of load


@dataclass(slots=True)
class Membership:
    """A server list, changes to it, or the failure of a call of discovery."""

    form: ListForm
    servers: tuple[Server, ...] = ()
    levels: Levels | None = None  # None: unchanged; without any, all servers form one level
    complete_until_ms: float | None = (
        None  # for a failure: the list has all changes until then; None: until now
    )


@dataclass(slots=True)
class Request:
    """A new request that needs a decision."""

    id: str
    service: str  # name of its service class
    give_up_at_ms: float
    tenant: str | None = None
    cost_hint_ms: float | None = None
    is_retry: bool = False
    paid: bool = False  # the retry was charged to the retry budget of an earlier tier: not charged here
    attempts: int = 0  # upper limit below that of the class; 0: the limit of the class
    worth: float | None = None  # upper limit below the worth of the class
    admitted: bool = False  # already admitted by the threshold table (`Balancer.reject_if_over_threshold`)
    earlier: Earlier | None = None  # an earlier request with the same key that may have been executed


@dataclass(slots=True, frozen=True)
class Earlier:
    """An attempt of an earlier request with the same idempotency key that may have been executed."""

    server: str
    sent_ms: float


@dataclass(slots=True)
class Started:
    """A streamed response has begun; the request can no longer move to another attempt."""

    id: str
    attempt: int


@dataclass(slots=True)
class Outcome:
    """An attempt has ended."""

    id: str
    attempt: int
    server: str
    result: Result
    latency_ms: float  # without the processing time of the balancer's own process
    done: bool  # the request has ended, with this attempt or before
    report: dict[str, float] | None = None
    own_ms: float = 0.0  # processing time of the balancer's own process


@dataclass(slots=True)
class Lapsed:
    """The client has disconnected or its deadline has passed; no response is needed."""

    id: str


@dataclass(slots=True)
class Alarm:
    """The timer of a `Wake` has fired."""

    name: str


@dataclass(slots=True)
class Probed:
    """A health check of a server has ended, possibly with a load report."""

    server: str
    result: Result
    latency_ms: float
    report: dict[str, float] | None = None


Event = Membership | Request | Started | Outcome | Lapsed | Alarm | Probed


# ------------------------------------------------------------------- actions


@dataclass(slots=True)
class Send:
    """Send an attempt to a server."""

    id: str
    server: str
    timeout_ms: float = 0.0  # 0: until the deadline of the request
    begin_within_ms: float = 0.0  # the request must be written completely within this time; 0: no limit


@dataclass(slots=True)
class Refuse:
    """Reject the request. Final; the client may retry safely."""

    id: str
    retry_after_ms: float = 0.0


@dataclass(slots=True)
class Fail:
    """Fail the request. Final; the request may or may not have had an effect."""

    id: str


@dataclass(slots=True)
class Cancel:
    """Cancel an attempt."""

    id: str
    attempt: int


@dataclass(slots=True)
class Watch:
    """Subscribe to changes of the server list in discovery."""


@dataclass(slots=True)
class Wake:
    """Start a timer that delivers an `Alarm` with this name."""

    delay_ms: float
    name: str


Action = Send | Refuse | Fail | Cancel | Watch | Wake
Actions = list[Action]
