"""The three files of a sidecar, as they are written: catalogue, application description, configuration.

Times are milliseconds, rates are per second, sizes are bytes. Each model refuses keys that it does not know and
values of another type; what goes beyond one value is checked in `checks`.
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

VERSION = 1  # of all three files
NEAR_MS = 1.0  # what a loop's turn may hide of a latency
START_PER_S = 64.0  # calls in flight for each box before rates are known, for a second of the shortest aim,
START_LEAST, START_MOST = 7.0, 64.0  # within these

EffectName = Literal["safe", "keyed", "unsafe"]  # from the loosest to the strictest
EFFECTS: tuple[EffectName, ...] = ("safe", "keyed", "unsafe")


def start_calls(aims_ms: Iterable[float]) -> float:
    """Of a pool that does not state it. Boxes are taken to do what the shortest of these aims asks of them, until it is
    known what they do."""
    return max(START_LEAST, min(START_MOST, START_PER_S * min(aims_ms, default=0.0) / 1000.0))


def _address(text: str) -> str:
    parse_address(text)
    return text


def _path(text: str) -> str:
    PathPattern.parse(text)
    return text


def field_ids(path: str) -> tuple[int, ...]:
    """The ids of a path of fields, as of 1.3."""
    return tuple(int(word) for word in path.split("."))


def _call(text: str) -> str:
    CallPattern.parse(text)
    return text


Name = Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$")]
HeaderName = Annotated[str, Field(pattern=r"^[A-Za-z0-9!#$%&'*+.^_`|~-]{1,64}$")]  # RFC 9110, section 5.6.2
Method = Annotated[str, Field(pattern=r"^[A-Z]{1,16}$")]
PathText = Annotated[str, AfterValidator(_path)]
CallText = Annotated[str, AfterValidator(_call)]
FieldPath = Annotated[str, Field(pattern=r"^[1-9][0-9]{0,4}(\.[1-9][0-9]{0,4}){0,7}$")]  # ids, as in 1.3
Protocol = Literal["http", "thrift"]
AddressText = Annotated[str, AfterValidator(_address)]
Milliseconds = Annotated[float, Field(gt=0, le=86_400_000)]
Share = Annotated[float, Field(ge=0, le=1)]


class Model(BaseModel):
    model_config = ConfigDict(extra="forbid", strict=True, frozen=True, allow_inf_nan=False)


class Rules(Model):
    """The figures of the four rules, the same at every sidecar of a pool."""

    max_attempts: int = Field(3, ge=1, le=10, description="attempts for one request, the first one too")
    may_cancel: bool = Field(True, description="an attempt that is no longer wanted is given up")
    retry_after: bool = Field(True, description="a refusal may say when to come back")
    max_retry_after_ms: float = Field(2000.0, ge=0, le=600_000)
    told_within_ms: Milliseconds = Field(
        10_000.0, description="a sidecar that has not heard of its list for so long asks again"
    )
    cold_from: float = Field(0.14, gt=0, le=1, description="share of its capacity that a box starts with")
    cold_ms: float = Field(21_000.0, ge=0, le=86_400_000, description="until a box that started is warm")
    overload_factor: float = Field(
        4.0, gt=0, le=100, description="a cold box that gets this much of its present capacity falls over"
    )
    cross_zone_price: float = Field(0.0, ge=0, le=1000, description="what a call to another zone costs")
    over_share_worth: Share = Field(1.0, description="what is left of worth beyond a tenant's quota")


class Limits(Model):
    """What one sidecar may hold."""

    descriptors: int | None = Field(
        None, ge=64, le=1_048_576, description="what the process may have, at most 65536, by default"
    )
    max_open: int = Field(1000, ge=1, le=1_000_000, description="requests open at once")
    max_body_bytes: int = Field(1_048_576, ge=0, le=67_108_864)
    request_ms: Milliseconds = Field(30_000.0, description="for a request to come in whole")
    caller_idle_ms: Milliseconds = Field(60_000.0, description="a caller's connection may idle so long")


class BudgetModel(Model):
    """Budgets of time and attempts across tiers; none of it is in force without this table."""

    share: Share = Field(
        0.08, description="attempts beyond first ones, as a share of the first ones of a pool"
    )
    floor_per_s: float = Field(0.1, ge=0, le=1000, description="and so many more")
    window_ms: float = Field(10_000.0, ge=100, le=600_000, description="over which both are counted")
    backoff_ms: float = Field(
        25.0,
        ge=0,
        le=10_000,
        description="ceiling of the first wait before a retry in a pool that fails",
    )
    extra: int | None = Field(
        None,
        ge=0,
        le=100,
        description="attempts beyond the first in all tiers; max_attempts less 1 by default",
    )
    reserve_ms: float = Field(5.0, ge=0, le=60_000, description="of the time left, kept back at each hop")
    learn_patience: bool = Field(True, description="how long callers wait who do not say so is learned")
    revisits: int = Field(
        0, ge=0, le=31, description="how often a request may come back before that is a loop"
    )
    carry: bool = Field(True, description="budgets go with requests to boxes")
    keep_ms: float = Field(2000.0, ge=0, le=600_000, description="for how long an answer is kept for repeats")
    keep_bytes: int = Field(1_048_576, ge=0, le=1_073_741_824, description="of such answers together")


class ListedServer(Model):
    id: Name
    address: AddressText
    zone: str = ""
    cell: int = Field(0, ge=0)


class ListSource(Model):
    """Where the servers of a pool come from."""

    source: Literal["static", "discovery", "xds"]
    address: AddressText | None = Field(None, description="of discovery or the xDS control plane")
    mode: Literal["ask", "push"] | None = Field(None, description="whether discovery is asked or pushes")
    path: str | None = Field(
        None, min_length=1, description="of a file with xDS resources, in place of an address"
    )
    cluster: str | None = Field(None, min_length=1, description="the xDS cluster's name")
    transport: Literal["aggregated", "separate", "rest"] | None = Field(
        None, description="of xDS: one stream (the default), one for each type, or REST-JSON polling"
    )
    updates: Literal["state", "incremental"] | None = Field(
        None, description="of xDS: the state of the world, or changes (the default)"
    )
    servers: list[ListedServer] = Field([], description="of a static list")


class ThriftModel(Model):
    """How the boxes of a pool speak Thrift."""

    form: Literal["binary", "compact"] = "binary"
    transport: Literal["framed", "unframed"] = "framed"
    full_types: list[int] = Field(
        [11], description="of a TApplicationException: the box has turned the call away unrun"
    )
    budget_field: int | None = Field(
        None, ge=1, le=32767, description="id of the argument in which boxes are sent the budget: a string"
    )
    port_offset: int = Field(
        1, ge=-65535, le=65535, description="of both: from a box's listed port to its Thrift port"
    )


class PoolModel(Model):
    name: Name
    protocol: Literal["http", "thrift", "both"] = Field("http", description="what its boxes speak")
    thrift: ThriftModel | None = None
    siblings: int = Field(
        1, ge=1, le=100_000, description="sidecars and nodes that use the pool, this one too"
    )
    start_calls: float | None = Field(
        None,
        ge=1,
        le=1_000_000,
        description="in flight for each box, over all siblings, until rates are known; 64 for each second of the "
        "shortest aim, from 7 to 64, by default",
    )
    round_trip_ms: float = Field(1.0, ge=0, le=60_000, description="of the network, to the farthest box")
    connect_timeout_ms: Milliseconds = 250.0
    server_idle_ms: Milliseconds = Field(10_000.0, description="after which a box closes an idle connection")
    report_fields: list[Literal["inflight", "queue", "util", "latency_ms", "qps", "eps"]] = Field(
        [], description="what load reports hold that boxes send with answers"
    )
    zones: list[str] = Field([], description="the zones that there are; none: any")
    servers_from: ListSource | None = Field(None, alias="list")


class ClassModel(Model):
    name: Name
    pool: Name
    effect: EffectName
    aim_ms: Milliseconds = Field(description="an answer within this is worth all")
    give_up_ms: Milliseconds = Field(description="the longest that a caller waits")
    worth: float = Field(1.0, ge=0, le=1_000_000)
    late_worth: Share = 0.0
    attempts: int | None = Field(None, ge=1, le=10, description="at most the rules' max_attempts")
    key_header: HeaderName | None = Field(None, description="of a keyed class: Idempotency-Key by default")
    key_scope: Literal["all", "zone", "cell"] | None = Field(
        None, description="of a keyed class: all by default"
    )
    memory_ms: Milliseconds | None = Field(None, description="of a keyed class: how long boxes know a key")
    key_field: FieldPath | None = Field(
        None, description="of a keyed class over Thrift: where its key stands in the arguments"
    )
    oneway_ms: Milliseconds | None = Field(
        None, description="how long a oneway call over Thrift counts as running: aim_ms by default"
    )
    hedge: bool | None = Field(None, description="whether a second copy may be sent; safe classes only")


class HeaderModel(Model):
    name: HeaderName
    value: str | None = Field(None, description="any, if it is not given")


class RouteModel(Model):
    methods: list[Method] = Field([], description="any, if none is given")
    path: PathText | None = Field(None, description="of HTTP: segments: literal, {name}, or a last **")
    call: CallText | None = Field(None, description="of Thrift: method, service:method, or a last *")
    headers: list[HeaderModel] = []

    @property
    def protocol(self) -> Protocol:
        return "http" if self.call is None else "thrift"


class TenantModel(Model):
    name: Name
    quota_per_s: float = Field(ge=0, le=1_000_000_000)


class CatalogueClass(ClassModel):
    routes: list[RouteModel] = Field([], description="how its requests are told")


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
    """A class that the application calls, and what it wants stricter than the catalogue has it."""

    service: Name = Field(alias="class")
    rate: float = Field(gt=0, le=1_000_000)
    deadline_ms: Milliseconds | None = None
    attempts: int | None = Field(None, ge=1, le=10)
    worth: float | None = Field(None, ge=0)
    effect: EffectName | None = None
    retryable: bool | None = Field(None, description="sent again although it may have run")
    idempotent: bool | None = Field(None, description="a repeat does nothing")
    hedged: bool | None = Field(None, description="a second copy while the first one runs")
    routes: list[RouteModel] | None = Field(None, description="instead of the catalogue's")


class OwnLimits(Model):
    descriptors: int | None = Field(None, ge=64)
    max_open: int | None = Field(None, ge=1)
    max_body_bytes: int | None = Field(None, ge=0)


class Application(Model):
    """A subsidiary's short description of its system."""

    kind: Literal["application"]
    version: int = Field(ge=1)
    name: Name
    zone: str = ""
    catalogue: Name | None = Field(None, description="the name of the catalogue that it is held against")
    listen: AddressText
    thrift_listen: AddressText | None = Field(None, description="for its Thrift calls, where it has any")
    tenant_field: FieldPath | None = Field(
        None, description="where the arguments of a Thrift call name a tenant"
    )
    admin: AddressText | None = Field(None, description="the next port after the listener's by default")
    trust: Literal["edge", "inside"] | None = Field(
        None, description="whether what its calls carry was written by nodes of ours; edge by default"
    )
    serves: list[Name] = Field([], description="pools of which its own boxes are")
    budget_field: int | None = Field(
        None, ge=1, le=32767, description="id of the argument in which its Thrift calls carry a budget"
    )
    tenant: Name | None = None
    limits: OwnLimits = OwnLimits()
    calls: list[Call] = Field(min_length=1)


class ListenerModel(Model):
    name: Name
    address: AddressText
    protocol: Protocol = "http"
    deadline_header: HeaderName = Field("Req-Deadline-Ms", description="a caller's deadline in whole ms")
    tenant: Name | None = None
    tenant_field: FieldPath | None = Field(
        None, description="of Thrift: where the arguments name the tenant, if it is one that is known"
    )

    trust: Literal["edge", "inside"] | None = Field(
        None, description="whether its callers pass on what nodes of ours wrote; edge by default"
    )
    budget_field: int | None = Field(
        None, ge=1, le=32767, description="of Thrift: id of the argument in which calls carry a budget"
    )


class AdminModel(Model):
    address: AddressText


class ConfiguredRoute(RouteModel):
    service: Name = Field(alias="class")
    deadline_ms: Milliseconds | None = None
    effect: EffectName | None = Field(None, description="if given, it has to be the class's")


class Configuration(Model):
    """What a sidecar runs from; written by the tool."""

    kind: Literal["configuration"]
    version: int = Field(ge=1)
    name: Name
    zone: str = ""
    catalogue: Name | None = None
    listeners: list[ListenerModel] = Field(min_length=1)
    admin: AdminModel | None = None
    serves: list[Name] = Field([], description="pools of which its application's boxes are")
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
    """A model as plain data with the names of its file; what was not given is not there."""
    data: dict[str, object] = model.model_dump(by_alias=True, exclude_none=True)
    return data


def digest(model: BaseModel) -> str:
    """The same for the same values, whatever the layout of the file: SHA-256 of its canonical JSON."""
    return hashlib.sha256(orjson.dumps(plain(model), option=orjson.OPT_SORT_KEYS)).hexdigest()
