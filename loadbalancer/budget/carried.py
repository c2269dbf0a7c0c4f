"""Reads and writes the budget that a request propagates from one node to the next, and equivalent foreign headers.

The budget is a set of members of the `baggage` header (W3C Baggage, section 3.3), because applications that propagate
traces forward that header without any knowledge of this project:

| member | value |
| --- | --- |
| `emberring-ms` | whole milliseconds left when it was written; relative, so that clocks need not agree |
| `emberring-at` | `MARK:MS`: an id of the writer, new at each start, and its clock; only differences matter |
| `emberring-extra` | attempts beyond the first that it may still take, in this tier and all tiers below |
| `emberring-worth` | upper bound of its worth, in the catalogue's units |
| `emberring-tenant` | its tenant, percent-encoded |
| `emberring-try` | 1 for a first attempt, more for a retry that was charged to a retry budget |
| `emberring-id` | the id that the first node gave it |
| `emberring-path` | names of the nodes that it has passed, separated by `/` |

Also read: `grpc-timeout` (gRPC over HTTP/2, "Requests"), `x-envoy-expected-rq-timeout-ms` and
`x-envoy-attempt-count` (Envoy, "HTTP header manipulation"), `Via` (RFC 9110, section 7.6.3), `traceparent` and
`tracestate` (W3C Trace Context, sections 3.2 and 3.3), `Req-Retry`. A value that can't be parsed is
ignored and reported in `PropagatedBudget.unreadable`.
"""

from __future__ import annotations

import re
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, replace
from urllib.parse import quote, unquote

Header = tuple[bytes, bytes]

PREFIX = "emberring-"
VENDOR = "emberring"  # key of this project's tracestate member
MAX_MS = 86_400_000  # a day; a larger value is rejected as unreadable
MAX_EXTRA = 100
MAX_WORTH = 1_000_000.0
MAX_PATH_NAMES = 32  # node names
MAX_BAGGAGE_BYTES = 8192  # of baggage (W3C Baggage, section 3.3.2)
MAX_BAGGAGE_MEMBERS = 64
MAX_TRACESTATE_MEMBERS = 32  # members of tracestate (W3C Trace Context, section 3.3.1.1)

INTEGER = re.compile(r"[0-9]{1,15}")
DECIMAL = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")
NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
TOKEN = re.compile(r"[A-Za-z0-9._-]{1,64}")
GRPC_TIMEOUT = re.compile(rb"([0-9]{1,8})([HMSmun])")
GRPC_UNIT_MS = {b"H": 3_600_000.0, b"M": 60_000.0, b"S": 1000.0, b"m": 1.0, b"u": 0.001, b"n": 0.000001}
TRACEPARENT = re.compile(rb"[0-9a-f]{2}-([0-9a-f]{32})-[0-9a-f]{16}-[0-9a-f]{2}")

READ_HEADERS = frozenset(
    b"req-retry baggage grpc-timeout x-envoy-expected-rq-timeout-ms x-envoy-attempt-count".split()
    + b"via traceparent tracestate".split()
)
# Headers rewritten for each attempt that propagates a budget.
WRITTEN_HEADERS = frozenset(b"baggage grpc-timeout x-envoy-expected-rq-timeout-ms via tracestate".split())


@dataclass(slots=True, frozen=True)
class Stamp:
    """The time of writing by the writer's monotonic clock, of which only differences are meaningful."""

    mark: str
    ms: int


@dataclass(slots=True, frozen=True)
class PropagatedBudget:
    """The budget that a request propagates; None for what it does not state."""

    ms: float | None = None  # time left when it was written
    at: Stamp | None = None
    extra: int | None = None
    worth: float | None = None
    tenant: str | None = None
    attempt: int | None = None  # 1: first attempt
    id: str | None = None
    path: tuple[str, ...] = ()
    passed_nodes: frozenset[str] = frozenset()  # names of passed nodes, from Via and tracestate
    marked_retry: bool = False  # a foreign header marks it as a retry
    unreadable: tuple[str, ...] = ()  # names of headers and members that can't be parsed


NO_BUDGET = PropagatedBudget()


def _parse_member(name: str, value: str, fields: dict[str, object]) -> bool:
    """Parse one `emberring-` member into `fields`; False if its value is invalid or its name unknown."""
    match name:
        case "ms" if INTEGER.fullmatch(value) and int(value) <= MAX_MS:
            fields["ms"] = float(value)
        case "at":
            mark, _, figure = value.rpartition(":")
            if not TOKEN.fullmatch(mark) or not INTEGER.fullmatch(figure):
                return False
            fields["at"] = Stamp(mark, int(figure))
        case "extra" if INTEGER.fullmatch(value) and int(value) <= MAX_EXTRA:
            fields["extra"] = int(value)
        case "worth" if DECIMAL.fullmatch(value) and float(value) <= MAX_WORTH:
            fields["worth"] = float(value)
        case "tenant" if NAME.fullmatch(unquote(value)):
            fields["tenant"] = unquote(value)
        case "try" if INTEGER.fullmatch(value) and 1 <= int(value) <= MAX_EXTRA + 1:
            fields["attempt"] = int(value)
        case "id" if TOKEN.fullmatch(value):
            fields["id"] = value
        case "path":
            names = tuple(value.split("/"))
            if len(names) > MAX_PATH_NAMES or not all(NAME.fullmatch(segment) for segment in names):
                return False
            fields["path"] = names
        case _:
            return False
    return True


def read_baggage(text: str) -> tuple[PropagatedBudget, list[str]]:
    """The budget in a baggage value, and the foreign members unchanged.

    Guard: a duplicated member is ignored, because one node could use the first value and the next node the second.
    """
    fields: dict[str, object] = {}
    invalid: list[str] = []
    foreign: list[str] = []
    seen_names: set[str] = set()
    if len(text) > MAX_BAGGAGE_BYTES:
        return PropagatedBudget(unreadable=("baggage",)), []
    for member in text.split(",")[:MAX_BAGGAGE_MEMBERS]:
        member = member.strip(" \t")
        key, _, value = member.partition("=")
        key = key.strip(" \t")
        if not key.startswith(PREFIX):
            if member:
                foreign.append(member)
            continue
        name = key.removeprefix(PREFIX)
        value = value.partition(";")[0].strip(" \t")
        if name in seen_names or not _parse_member(name, value, fields):
            invalid.append(name[:32])
            fields.pop("attempt" if name == "try" else name, None)
        seen_names.add(name)
    return PropagatedBudget(**fields, unreadable=tuple(invalid)), foreign  # type: ignore[arg-type]


def write_baggage(carried: PropagatedBudget, foreign: Sequence[str] = ()) -> str:
    """The value of a baggage header: the budget first, then as many foreign members as fit the limits."""
    members: list[str] = []
    if carried.ms is not None:
        members.append(f"{PREFIX}ms={int(carried.ms)}")
    if carried.at is not None:
        members.append(f"{PREFIX}at={carried.at.mark}:{carried.at.ms}")
    if carried.extra is not None:
        members.append(f"{PREFIX}extra={carried.extra}")
    if carried.worth is not None:
        worth = f"{carried.worth:.6f}".rstrip("0").rstrip(".")
        members.append(f"{PREFIX}worth={worth}")
    if carried.tenant is not None:
        members.append(f"{PREFIX}tenant={quote(carried.tenant, safe='')}")
    if carried.attempt is not None:
        members.append(f"{PREFIX}try={carried.attempt}")
    if carried.id is not None:
        members.append(f"{PREFIX}id={carried.id}")
    if carried.path:
        members.append(f"{PREFIX}path={'/'.join(carried.path)}")
    if not foreign:
        return ",".join(members)
    size = sum(len(member) + 1 for member in members)
    for member in foreign:
        size += len(member) + 1
        if size > MAX_BAGGAGE_BYTES or len(members) >= MAX_BAGGAGE_MEMBERS:
            break
        members.append(member)
    return ",".join(members)


def _joined_values(headers: Sequence[Header], name: bytes) -> str:
    return ",".join(value.decode("latin-1") for key, value in headers if key.lower() == name)


def by_lower_name(headers: Sequence[Header]) -> dict[bytes, bytes]:
    """The last value of each header, by lower-case name."""
    return {key.lower(): value for key, value in headers}


def read_http(headers: Sequence[Header], by_name: Mapping[bytes, bytes] | None = None) -> PropagatedBudget:
    """The budget in a request's header fields. `by_name`: the same fields by lower-case name, if already known."""
    by_name = by_lower_name(headers) if by_name is None else by_name
    if READ_HEADERS.isdisjoint(by_name):
        return NO_BUDGET
    carried, _ = read_baggage(_joined_values(headers, b"baggage"))
    invalid = list(carried.unreadable)
    times = [] if carried.ms is None else [carried.ms]
    marked_retry = by_name.get(b"req-retry") == b"1"
    if (text := by_name.get(b"grpc-timeout")) is not None:
        if (match := GRPC_TIMEOUT.fullmatch(text)) is not None:
            times.append(int(match[1]) * GRPC_UNIT_MS[match[2]])
        else:
            invalid.append("grpc-timeout")
    for name in (b"x-envoy-expected-rq-timeout-ms", b"x-envoy-attempt-count"):
        if (value := by_name.get(name)) is None:
            continue
        figure = value.decode("latin-1")
        if not INTEGER.fullmatch(figure):
            invalid.append(name.decode())
        elif name == b"x-envoy-attempt-count":
            marked_retry = marked_retry or int(figure) > 1
        else:
            times.append(float(figure))
    state_names = _tracestate_names(_joined_values(headers, b"tracestate"))
    # Guard: behind an application that forwards only the trace, the path comes from tracestate; a node that wrote only
    # its own name would hide the earlier nodes from loop detection.
    path = carried.path or state_names[-MAX_PATH_NAMES:]
    passed_nodes = _via_names(_joined_values(headers, b"via")) | set(state_names)
    ms = min(times) if times else None
    # The stamp belongs to `emberring-ms`. A shorter foreign timeout has no stamp and counts from arrival.
    at = carried.at if ms == carried.ms else None
    return replace(
        carried,
        ms=ms,
        at=at,
        path=path,
        passed_nodes=frozenset(passed_nodes),
        marked_retry=marked_retry,
        unreadable=tuple(invalid),
    )


def _via_names(text: str) -> set[str]:
    """The pseudonyms of intermediaries in Via, without protocols and comments."""
    names = set()
    for entry in text.split(","):
        words = entry.split()
        if len(words) >= 2 and NAME.fullmatch(words[1]):
            names.add(words[1])
    return names


def _tracestate_names(text: str) -> tuple[str, ...]:
    """The node names in this project's member of tracestate."""
    for member in text.split(","):
        key, _, value = member.strip(" \t").partition("=")
        if key == VENDOR:
            return tuple(segment for segment in value.split("/") if NAME.fullmatch(segment))
    return ()


def write_http(
    headers: Sequence[Header],
    carried: PropagatedBudget,
    name: str,
    wait_ms: float,
    by_name: Mapping[bytes, bytes] | None = None,
) -> list[Header]:
    """The `WRITTEN_HEADERS` of an attempt by the node `name`; `headers` are those of the request it received.

    Foreign timeouts are rewritten only if the request had them, `tracestate` only if it had a `traceparent`.
    """
    by_name = by_lower_name(headers) if by_name is None else by_name
    if READ_HEADERS.isdisjoint(by_name):
        return [(b"Baggage", write_baggage(carried).encode("latin-1")), (b"Via", f"1.1 {name}".encode())]
    _, baggage_members = read_baggage(_joined_values(headers, b"baggage"))
    rows = [(b"Baggage", write_baggage(carried, baggage_members).encode("latin-1"))]
    via = _joined_values(headers, b"via")
    rows.append((b"Via", f"{via}, 1.1 {name}".removeprefix(", ").encode("latin-1")))
    if b"grpc-timeout" in by_name:
        rows.append((b"grpc-timeout", b"%dm" % max(1, min(99_999_999, int(wait_ms)))))
    if b"x-envoy-expected-rq-timeout-ms" in by_name:
        rows.append((b"x-envoy-expected-rq-timeout-ms", b"%d" % max(1, int(wait_ms))))
    state = _joined_values(headers, b"tracestate")
    if TRACEPARENT.fullmatch(by_name.get(b"traceparent", b"")):
        foreign = [member.strip(" \t") for member in state.split(",")]
        foreign = [member for member in foreign if member and member.partition("=")[0] != VENDOR]
        # Guard: a member of over 256 characters makes receivers drop the whole header, so the oldest names go first.
        names = list(carried.path)
        while len("/".join(names)) > 256:
            names.pop(0)
        rows.append(
            (
                b"tracestate",
                ",".join([f"{VENDOR}={'/'.join(names)}", *foreign[: MAX_TRACESTATE_MEMBERS - 1]]).encode(
                    "latin-1"
                ),
            )
        )
    elif state:
        rows.append((b"tracestate", state.encode("latin-1")))
    return rows
