"""The interface of the balancer: its settings, the events it takes and the actions it returns.

Times are milliseconds on one clock that only advances; rates are per second.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum


class Effect(Enum):
    """What a repeat of a request does."""

    SAFE = "safe"  # may be repeated freely
    KEYED = "keyed"  # one group of servers drops a repeat while it remembers the key
    UNSAFE = "unsafe"  # must never run twice


class Scope(Enum):
    """The group of servers that drops repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Result(Enum):
    """How an attempt ended; `never_ran` marks the results that prove it had no effect."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    MOOT = "moot"
    NO_ROOM = "no_room"  # this process had no connection to send it on: says nothing of the server

    @property
    def never_ran(self) -> bool:
        """Whether it proves that the attempt had no effect."""
        return self in _NEVER_RAN

    # Enum's own hash is written in Python, and each attempt's result is looked up.
    __hash__ = object.__hash__


_NEVER_RAN = frozenset((Result.FULL, Result.CONNECT_FAILED, Result.MOOT, Result.NO_ROOM))


class ServerState(Enum):
    """What a server list says of a server."""

    UP = "up"
    DEGRADED = "degraded"  # works, and gets requests only when healthy servers don't suffice
    SICK = "sick"  # unhealthy: gets no requests, unless so many are that health is not believed
    DRAINING = "draining"
    REMOVED = "removed"


class ListForm(Enum):
    """What a server list says: changes, the whole, a remembered whole, or that asking failed."""

    DELTA = "delta"
    FULL = "full"
    CACHED = "cached"
    FAILED = "failed"


# ------------------------------------------------------------------ settings


@dataclass(slots=True, frozen=True)
class ServiceClass:
    """A class of requests, and what may be done with them."""

    name: str
    aim_ms: float  # latency target: an answer within it earns its whole worth
    give_up_ms: float  # the client's time-out over all its attempts
    worth: float = 1.0
    late_worth: float = 0.0  # share of the worth earned after the latency target
    effect: Effect = Effect.UNSAFE
    scope: Scope = Scope.ALL
    memory_ms: float = 0.0  # how long the group of servers remembers a key
    stream: bool = False
    max_attempts: int = 0  # for one request, within the settings'; 0: the settings'
    hedge: bool = False  # a safe class of which a second copy may go out beside a slow first one


@dataclass(slots=True, frozen=True)
class Tenant:
    """A tenant and its quota."""

    name: str
    quota_per_s: float  # over all balancers of the tier together


@dataclass(slots=True, frozen=True)
class Settings:
    """The settings of a balancer."""

    classes: tuple[ServiceClass, ...]
    tenants: tuple[Tenant, ...] = ()
    zone: str = ""
    tier: int = 0  # 0 is the tier that clients reach
    siblings: int = 1  # balancers that send to this tier, this one included
    start_calls: float = 7.0  # in flight for each ready server, over all siblings, until its rate is known
    quiet_calls: float = 2.0  # the same once it is, while latency is no load
    near_ms: float = 0.0  # latencies that differ by less differ by little
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
    starts_told: bool = True  # whether lists tell when a server was restarted
    overload_factor: float = 2.0  # a cold server sent more than this many times its capacity falls over
    retry_share: float | None = (
        None  # attempts beyond first ones, as a share of these; None: no budget for them
    )
    retry_floor_per_s: float = 0.0  # and so many more
    retry_window_ms: float = 10_000.0  # over which both are counted
    retry_after_spread: float = 0.0  # share by which a told time to come back is drawn shorter or longer
    backoff_ms: float = (
        0.0  # ceiling of the first wait before a retry in a pool that fails; doubled each time
    )
    # While discovery fails, a list is used as it is for so long after it was complete; None: for good.
    list_expires_ms: float | None = None

    def __post_init__(self) -> None:
        """Check all values; raises ValueError that names the first setting that is wrong."""
        if not self.classes:
            raise ValueError("classes: at least one class is needed")
        self._check_classes()
        for at, tenant in enumerate(self.tenants):
            _within(f"tenants[{at}].quota_per_s", tenant.quota_per_s, 0)
        for key in ("tier", "max_retry_after_ms", "cross_zone_price", "cold_ms"):
            _within(key, getattr(self, key), 0)
        for key in ("retry_floor_per_s", "backoff_ms", "near_ms"):
            _within(key, getattr(self, key), 0)
        self._check_retries()
        for key in ("siblings", "max_attempts", "start_calls", "quiet_calls"):
            _within(key, getattr(self, key), 1)
        self._check_types()
        _within("overload_factor", self.overload_factor, 0.001)
        if self.list_expires_ms is not None:
            _within("list_expires_ms", self.list_expires_ms, 0)
        _within("over_share_worth", self.over_share_worth, 0, 1)
        _within("cold_from", self.cold_from, 0.001, 1)
        for key, names in (("classes", self.classes), ("tenants", self.tenants)):
            _unique(key, (item.name for item in names))

    def _check_classes(self) -> None:
        for at, item in enumerate(self.classes):
            for key in ("aim_ms", "give_up_ms"):
                _within(f"classes[{at}].{key}", getattr(item, key), 0.001)
            for key in ("worth", "late_worth", "memory_ms", "max_attempts"):
                _within(f"classes[{at}].{key}", getattr(item, key), 0)

    def _check_types(self) -> None:
        for key in ("ask_discovery", "worth_by_work", "may_cancel", "retry_after", "starts_told"):
            if not isinstance(getattr(self, key), bool):
                raise ValueError(f"{key}: {getattr(self, key)!r} is not true or false")
        if not isinstance(self.zone, str):
            raise ValueError(f"zone: {self.zone!r} is not a text")

    def _check_retries(self) -> None:
        if self.retry_share is not None:
            _within("retry_share", self.retry_share, 0, 1)
        _within("retry_window_ms", self.retry_window_ms, 1)
        _within("retry_after_spread", self.retry_after_spread, 0, 1)
        for at, item in enumerate(self.classes):
            if item.hedge and (item.effect is not Effect.SAFE or self.retry_share is None):
                raise ValueError(
                    f"classes[{at}].hedge: only a safe class may be hedged, and from a retry budget"
                )


def _within(key: str, value: object, low: float, high: float = math.inf) -> None:
    good = isinstance(value, int | float) and not isinstance(value, bool) and low <= value <= high
    if not good or not math.isfinite(float(value)):  # type: ignore[arg-type]
        raise ValueError(f"{key}: {value!r} is not a number from {low} to {high}")


def _unique(key: str, names: Iterable[str]) -> None:
    seen = list(names)
    if len(set(seen)) != len(seen):
        raise ValueError(f"{key}: a name stands twice")


def warmth(age_ms: float, cold_from: float, cold_ms: float) -> float:
    """Return a server's speed as a share of a warm one's, `age_ms` after its start.

    It rises evenly from `cold_from` over `cold_ms`.
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
    launched_ms: float | None = None  # time of its start, on the clock of the events; None: long ago
    weight: float = 1.0  # 0: nothing new
    priority: int = 0  # 0 is the first to be used
    locality: str = ""
    locality_weight: float | None = None  # share of its level that its locality gets; None: not weighed


@dataclass(slots=True, frozen=True)
class Levels:
    """How the priority levels of a list replace one another."""

    overprovisioning: float = 1.4  # a level takes all its calls while this times its healthy share is 1
    panic: float = 0.5  # healthy share under which health is not believed, once levels together lack some
    drop: float = 0.0  # share of requests to refuse whatever the load


@dataclass(slots=True)
class Membership:
    """A server list, changes of one, or that asking for one failed."""

    form: ListForm
    servers: tuple[Server, ...] = ()
    levels: Levels | None = None  # None: as before; all servers are one level until it is given
    complete_until_ms: float | None = None  # of a failure: no change before then is missing; None: until now


@dataclass(slots=True)
class Request:
    """A request to decide on."""

    id: str
    service: str  # the class's name
    give_up_at_ms: float
    tenant: str | None = None
    cost_hint_ms: float | None = None
    is_retry: bool = False
    paid: bool = False  # such a repeat was taken from a budget of a tier before: it costs none here
    attempts: int = 0  # at most, within the class's; 0: the class's
    worth: float | None = None  # at most, within the class's
    admitted: bool = False  # the threshold table has let it in (`Balancer.turns_away`)
    earlier: Earlier | None = None  # where an earlier copy of it, with its key, may have run


@dataclass(slots=True, frozen=True)
class Earlier:
    """An attempt of an earlier copy that may have run."""

    server: str
    sent_ms: float


@dataclass(slots=True)
class Started:
    """A streamed answer has begun; the attempt now belongs to the client."""

    id: str
    attempt: int


@dataclass(slots=True)
class Outcome:
    """An attempt has ended."""

    id: str
    attempt: int
    server: str
    result: Result
    latency_ms: float  # without the time that the balancer's process took
    done: bool  # the request has ended, by this or earlier
    report: dict[str, float] | None = None
    own_ms: float = 0.0  # time that the balancer's process took


@dataclass(slots=True)
class Lapsed:
    """The client has gone; no answer is owed any more."""

    id: str


@dataclass(slots=True)
class Alarm:
    """The time of a `Wake` has come."""

    name: str


@dataclass(slots=True)
class Probed:
    """A health check of a server has ended, with the report that it brought."""

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
    timeout_ms: float = 0.0  # 0: until the client gives up
    begin_within_ms: float = 0.0  # given up unless it is written completely within so long; 0: no such limit


@dataclass(slots=True)
class Refuse:
    """Reject the request; final, and a retry is harmless."""

    id: str
    retry_after_ms: float = 0.0


@dataclass(slots=True)
class Fail:
    """Fail the request; final, and nothing is promised about effects."""

    id: str


@dataclass(slots=True)
class Cancel:
    """Cancel an attempt."""

    id: str
    attempt: int


@dataclass(slots=True)
class Watch:
    """Subscribe to changes of the server list."""


@dataclass(slots=True)
class Wake:
    """Ask for an `Alarm` of this name after a time."""

    delay_ms: float
    name: str


Action = Send | Refuse | Fail | Cancel | Watch | Wake
Actions = list[Action]
