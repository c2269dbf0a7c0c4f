"""Schemas of the three files of a sidecar: catalogue, application description, configuration.

Times are milliseconds, rates are per second, sizes are bytes. Each model rejects unknown keys and values of the wrong
type; `checks` covers conditions that involve more than one value.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from typing import Annotated, Literal

import orjson
from pydantic import AfterValidator, BaseModel, ConfigDict, Field

from loadbalancer.core.address import parse_address
from loadbalancer.router.calls import CallPattern
from loadbalancer.router.paths import PathPattern

VERSION = 1  # format version of all three files
# Differences in latency below this count little: a turn of the event loop can cause them.
LATENCY_TOLERANCE_MS = 1.0
# Assumed capacity of a server in calls in flight, until its service rate is known: START_PER_S for each second of the
# shortest aim, limited to the range from MIN_START_CALLS to MAX_START_CALLS.
START_PER_S = 64.0
MIN_START_CALLS, MAX_START_CALLS = 7.0, 64.0

EffectName = Literal["safe", "keyed", "unsafe"]  # from least to most strict
EFFECTS: tuple[EffectName, ...] = ("safe", "keyed", "unsafe")


def start_calls(aims_ms: Iterable[float]) -> float:
    """The default `start_calls` of a pool: its servers are assumed to meet the shortest of these aims until they are
    observed."""
    return max(MIN_START_CALLS, min(MAX_START_CALLS, START_PER_S * min(aims_ms, default=0.0) / 1000.0))


def _address(text: str) -> str:
    parse_address(text)
    return text


def _path(text: str) -> str:
    PathPattern.parse(text)
    return text


def field_ids(path: str) -> tuple[int, ...]:
    """The field ids in a path such as 1.3."""
    return tuple(int(part) for part in path.split("."))


def _call(text: str) -> str:
    CallPattern.parse(text)
    return text


Name = Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$")]
HeaderName = Annotated[str, Field(pattern=r"^[A-Za-z0-9!#$%&'*+.^_`|~-]{1,64}$")]  # RFC 9110, section 5.6.2
Method = Annotated[str, Field(pattern=r"^[A-Z]{1,16}$")]
PathText = Annotated[str, AfterValidator(_path)]
CallText = Annotated[str, AfterValidator(_call)]
FieldPath = Annotated[
    str, Field(pattern=r"^[1-9][0-9]{0,4}(\.[1-9][0-9]{0,4}){0,7}$")
]  # field ids, such as 1.3
Protocol = Literal["http", "thrift"]
AddressText = Annotated[str, AfterValidator(_address)]
Milliseconds = Annotated[float, Field(gt=0, le=86_400_000)]
Share = Annotated[float, Field(ge=0, le=1)]


class Model(BaseModel):
    model_config = ConfigDict(extra="forbid", strict=True, frozen=True, allow_inf_nan=False)


class Rules(Model):
    """Parameters of the four rules; they must be the same at every sidecar of a pool."""

    max_attempts: int = Field(3, ge=1, le=10, description="attempts for one request, including the first")
    may_cancel: bool = Field(True, description="cancel an attempt whose result is no longer needed")
    retry_after: bool = Field(True, description="rejections may contain Retry-After")
    max_retry_after_ms: float = Field(2000.0, ge=0, le=600_000)
    told_within_ms: Milliseconds = Field(
        10_000.0, description="a sidecar requests its server list again after this time without news of it"
    )
    cold_from: float = Field(
        0.14, gt=0, le=1, description="share of its capacity that a newly started server has"
    )
    cold_ms: float = Field(
        21_000.0, ge=0, le=86_400_000, description="time until a newly started server is warm"
    )
    overload_factor: float = Field(
        4.0,
        gt=0,
        le=100,
        description="load, as a multiple of its current capacity, at which a cold server collapses",
    )
    cross_zone_price: float = Field(0.0, ge=0, le=1000, description="cost of a call to another zone")
    over_share_worth: Share = Field(
        1.0, description="share of its worth that a request over its tenant's quota keeps"
    )


class Limits(Model):
    """Resource limits of one sidecar."""

    descriptors: int | None = Field(
        None, ge=64, le=1_048_576, description="file descriptors; default: the process limit, at most 65536"
    )
    max_open: int = Field(1000, ge=1, le=1_000_000, description="concurrent requests")
    max_body_bytes: int = Field(1_048_576, ge=0, le=67_108_864)
    request_ms: Milliseconds = Field(30_000.0, description="time to receive a whole request")
    caller_idle_ms: Milliseconds = Field(60_000.0, description="idle timeout of callers' connections")


class BudgetModel(Model):
    """Budgets of time and attempts across tiers; without this table there are none."""

    share: Share = Field(
        0.08, description="retries and hedges allowed in a pool, as a share of its first attempts"
    )
    floor_per_s: float = Field(
        0.1, ge=0, le=1000, description="retries and hedges allowed in addition, whatever the share"
    )
    window_ms: float = Field(
        10_000.0, ge=100, le=600_000, description="window over which share and floor_per_s are counted"
    )
    backoff_ms: float = Field(
        25.0,
        ge=0,
        le=10_000,
        description="upper bound of the first backoff before a retry in a failing pool",
    )
    extra: int | None = Field(
        None,
        ge=0,
        le=100,
        description="attempts beyond the first in all tiers together; default: max_attempts - 1",
    )
    reserve_ms: float = Field(
        5.0, ge=0, le=60_000, description="part of the remaining time that each hop keeps for itself"
    )
    learn_patience: bool = Field(True, description="learn how long callers wait that state no deadline")
    revisits: int = Field(
        0, ge=0, le=31, description="how often a request may return to a node before it is rejected as a loop"
    )
    carry: bool = Field(True, description="propagate budgets with requests to servers")
    keep_ms: float = Field(
        2000.0, ge=0, le=600_000, description="how long a response is kept to answer repeats of its request"
    )
    keep_bytes: int = Field(1_048_576, ge=0, le=1_073_741_824, description="total size of these responses")


class ListedServer(Model):
    id: Name
    address: AddressText
    zone: str = ""
    cell: int = Field(0, ge=0)


class ListSource(Model):
    """The source of a pool's server list."""

    source: Literal["static", "discovery", "xds"]
    address: AddressText | None = Field(None, description="address of discovery or the xDS control plane")
    mode: Literal["ask", "push"] | None = Field(None, description="whether discovery is polled or pushes")
    path: str | None = Field(
        None, min_length=1, description="path of a file with xDS resources, instead of an address"
    )
    cluster: str | None = Field(None, min_length=1, description="the xDS cluster's name")
    transport: Literal["aggregated", "separate", "rest"] | None = Field(
        None,
        description="xDS transport: one stream (the default), one stream for each type, or REST-JSON polling",
    )
    updates: Literal["state", "incremental"] | None = Field(
        None, description="xDS updates: state of the world, or incremental (the default)"
    )
    servers: list[ListedServer] = Field([], description="the servers of a static list")


class ThriftModel(Model):
    """How the servers of a pool speak Thrift."""

    form: Literal["binary", "compact"] = "binary"
    transport: Literal["framed", "unframed"] = "framed"
    full_types: list[int] = Field(
        [11],
        description="types of a TApplicationException that mean the server rejected the call without running it",
    )
    budget_field: int | None = Field(
        None, ge=1, le=32767, description="id of the string argument that propagates the budget to servers"
    )
    port_offset: int = Field(
        1,
        ge=-65535,
        le=65535,
        description="protocol both: distance from a server's listed port to its Thrift port",
    )


class PoolModel(Model):
    name: Name
    protocol: Literal["http", "thrift", "both"] = Field("http", description="protocol of its servers")
    thrift: ThriftModel | None = None
    siblings: int = Field(
        1, ge=1, le=100_000, description="sidecars and nodes that use the pool, including this one"
    )
    start_calls: float | None = Field(
        None,
        ge=1,
        le=1_000_000,
        description="calls in flight for each server, over all siblings, until its rate is known; default: 64 for each "
        "second of the shortest aim, at least 7 and at most 64",
    )
    round_trip_ms: float = Field(
        1.0, ge=0, le=60_000, description="network round trip to the farthest server"
    )
    connect_timeout_ms: Milliseconds = 250.0
    server_idle_ms: Milliseconds = Field(
        10_000.0, description="time after which a server closes an idle connection"
    )
    report_fields: list[Literal["inflight", "queue", "util", "latency_ms", "qps", "eps"]] = Field(
        [], description="fields of the load reports in servers' responses"
    )
    zones: list[str] = Field([], description="known zones; empty: any zone")
    servers_from: ListSource | None = Field(None, alias="list")


class ClassModel(Model):
    name: Name
    pool: Name
    effect: EffectName
    aim_ms: Milliseconds = Field(description="latency target: a response within it has its full worth")
    give_up_ms: Milliseconds = Field(description="longest time that a caller waits")
    worth: float = Field(1.0, ge=0, le=1_000_000)
    late_worth: Share = 0.0
    attempts: int | None = Field(None, ge=1, le=10, description="at most the rules' max_attempts")
    key_header: HeaderName | None = Field(
        None, description="header with the key of a keyed class; default: Idempotency-Key"
    )
    key_scope: Literal["all", "zone", "cell"] | None = Field(
        None, description="servers among which a key is known; default: all"
    )
    memory_ms: Milliseconds | None = Field(
        None, description="how long servers remember the key of a keyed class"
    )
    key_field: FieldPath | None = Field(
        None, description="field path of the key of a keyed class in the Thrift arguments"
    )
    oneway_ms: Milliseconds | None = Field(
        None, description="how long a oneway Thrift call counts as in flight; default: aim_ms"
    )
    hedge: bool | None = Field(None, description="whether requests may be hedged; safe classes only")


class HeaderModel(Model):
    name: HeaderName
    value: str | None = Field(None, description="default: any value")


class RouteModel(Model):
    methods: list[Method] = Field([], description="default: any method")
    path: PathText | None = Field(
        None, description="path of HTTP requests; segments: literal, {name}, or a final **"
    )
    call: CallText | None = Field(
        None, description="Thrift calls: method, service:method, or a prefix with a final *"
    )
    headers: list[HeaderModel] = []

    @property
    def protocol(self) -> Protocol:
        return "http" if self.call is None else "thrift"


class TenantModel(Model):
    name: Name
    quota_per_s: float = Field(ge=0, le=1_000_000_000)


class CatalogueClass(ClassModel):
    routes: list[RouteModel] = Field([], description="routes that assign requests to the class")


class Catalogue(Model):
    """The operators' file."""

    kind: Literal["catalogue"]
    version: int = Field(ge=1)
    name: Name
    rules: Rules = Rules()
    limits: Limits = Limits()
    budget: BudgetModel | None = None
    tenants: list[TenantModel] = []
    pools: list[PoolModel] = Field(min_length=1)
    classes: list[CatalogueClass] = Field(min_length=1)


class Call(Model):
    """A class that the application calls, with its rate and any limits stricter than the catalogue's."""

    service: Name = Field(alias="class")
    rate: float = Field(gt=0, le=1_000_000)
    deadline_ms: Milliseconds | None = None
    attempts: int | None = Field(None, ge=1, le=10)
    worth: float | None = Field(None, ge=0)
    effect: EffectName | None = None
    retryable: bool | None = Field(None, description="may be retried although it may have run")
    idempotent: bool | None = Field(None, description="a repeat has no further effect")
    hedged: bool | None = Field(None, description="a second attempt may start while the first one runs")
    routes: list[RouteModel] | None = Field(None, description="routes that replace the catalogue's")


class OwnLimits(Model):
    descriptors: int | None = Field(None, ge=64)
    max_open: int | None = Field(None, ge=1)
    max_body_bytes: int | None = Field(None, ge=0)


class Application(Model):
    """The application description: what one application calls and how it listens."""

    kind: Literal["application"]
    version: int = Field(ge=1)
    name: Name
    zone: str = ""
    catalogue: Name | None = Field(None, description="the name of the catalogue it is checked against")
    listen: AddressText
    thrift_listen: AddressText | None = Field(
        None, description="listener address for Thrift calls, if there are any"
    )
    tenant_field: FieldPath | None = Field(
        None, description="field path of the tenant in the Thrift arguments"
    )
    admin: AddressText | None = Field(
        None, description="admin address; default: the next port after the listener's"
    )
    trust: Literal["edge", "inside"] | None = Field(
        None, description="inside if the budgets in its calls come from trusted nodes; default: edge"
    )
    serves: list[Name] = Field([], description="pools that its own servers belong to")
    budget_field: int | None = Field(
        None, ge=1, le=32767, description="id of the argument with the budget in its Thrift calls"
    )
    tenant: Name | None = None
    limits: OwnLimits = OwnLimits()
    calls: list[Call] = Field(min_length=1)


class ListenerModel(Model):
    name: Name
    address: AddressText
    protocol: Protocol = "http"
    deadline_header: HeaderName = Field(
        "Req-Deadline-Ms", description="header with the caller's deadline in whole ms"
    )
    tenant: Name | None = None
    tenant_field: FieldPath | None = Field(
        None, description="Thrift: field path of the tenant in the arguments; unknown tenants are ignored"
    )

    trust: Literal["edge", "inside"] | None = Field(
        None, description="inside if its callers propagate budgets of trusted nodes; default: edge"
    )
    budget_field: int | None = Field(
        None, ge=1, le=32767, description="Thrift: id of the argument with the budget"
    )


class AdminModel(Model):
    address: AddressText


class ConfiguredRoute(RouteModel):
    service: Name = Field(alias="class")
    deadline_ms: Milliseconds | None = None
    effect: EffectName | None = Field(None, description="if set, it must equal the effect of the class")


class Configuration(Model):
    """The configuration that a sidecar runs with; `config write` generates it."""

    kind: Literal["configuration"]
    version: int = Field(ge=1)
    name: Name
    zone: str = ""
    catalogue: Name | None = None
    listeners: list[ListenerModel] = Field(min_length=1)
    admin: AdminModel | None = None
    serves: list[Name] = Field([], description="pools that its application's servers belong to")
    rules: Rules = Rules()
    limits: Limits = Limits()
    budget: BudgetModel | None = None
    tenants: list[TenantModel] = []
    pools: list[PoolModel] = Field(min_length=1)
    classes: list[ClassModel] = Field(min_length=1)
    routes: list[ConfiguredRoute] = Field(min_length=1)


KINDS: dict[str, type[Catalogue] | type[Application] | type[Configuration]] = {
    "catalogue": Catalogue,
    "application": Application,
    "configuration": Configuration,
}


def plain(model: BaseModel) -> dict[str, object]:
    """A model as plain data under the key names of the file; keys without a value are omitted."""
    data: dict[str, object] = model.model_dump(by_alias=True, exclude_none=True)
    return data


def digest(model: BaseModel) -> str:
    """SHA-256 of the canonical JSON of a model; it does not depend on the layout of the file."""
    return hashlib.sha256(orjson.dumps(plain(model), option=orjson.OPT_SORT_KEYS)).hexdigest()
