"""What a request carries from one node of ours to the next, and what others say of the same in forms of their own.

Our form is members of the `baggage` header (W3C Baggage, section 3.3), as applications that propagate a trace pass
that header on without knowing us:

| member | value |
| --- | --- |
| `emberring-ms` | whole milliseconds that are left, as it was written; relative, so that clocks need not agree |
| `emberring-at` | `MARK:MS`: the writer's mark, new with each start, and its clock, of which differences count |
| `emberring-extra` | attempts beyond the first one that it may still take, in this tier and all behind it |
| `emberring-worth` | the most that it is worth, in the catalogue's measure |
| `emberring-tenant` | whose it is, percent-encoded |
| `emberring-try` | 1 for a first try, more for a repeat that a budget has paid for |
| `emberring-id` | what the first node of ours called it |
| `emberring-path` | names of the nodes that it has come through, `/` between them |

Read besides: `grpc-timeout` (gRPC over HTTP/2, "Requests"), `x-envoy-expected-rq-timeout-ms` and
`x-envoy-attempt-count` (Envoy, "HTTP header manipulation"), `Via` (RFC 9110, section 7.6.3), `traceparent` and
`tracestate` (W3C Trace Context, sections 3.2 and 3.3), `Req-Retry`. What can't be read counts as not said.
"""

from __future__ import annotations

import re
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, replace
from urllib.parse import quote, unquote

Header = tuple[bytes, bytes]

PREFIX = "emberring-"
VENDOR = "emberring"  # our member of tracestate
MOST_MS = 86_400_000  # more is no budget
MOST_EXTRA = 100
MOST_WORTH = 1_000_000.0
MOST_PATH = 32  # names
MOST_BYTES = 8192  # of baggage (W3C Baggage, section 3.3.2)
MOST_MEMBERS = 64
MOST_STATE = 32  # members of tracestate (W3C Trace Context, section 3.3.1.1)

WHOLE = re.compile(r"[0-9]{1,15}")
DECIMAL = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")
NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
TOKEN = re.compile(r"[A-Za-z0-9._-]{1,64}")
GRPC = re.compile(rb"([0-9]{1,8})([HMSmun])")
GRPC_MS = {b"H": 3_600_000.0, b"M": 60_000.0, b"S": 1000.0, b"m": 1.0, b"u": 0.001, b"n": 0.000001}
TRACE = re.compile(rb"[0-9a-f]{2}-([0-9a-f]{32})-[0-9a-f]{16}-[0-9a-f]{2}")

READ = frozenset(
    b"req-retry baggage grpc-timeout x-envoy-expected-rq-timeout-ms x-envoy-attempt-count".split()
    + b"via traceparent tracestate".split()
)
# Written anew for each attempt, where a budget is carried.
WRITTEN = frozenset(b"baggage grpc-timeout x-envoy-expected-rq-timeout-ms via tracestate".split())


@dataclass(slots=True, frozen=True)
class Stamp:
    """When something was written, by a clock of which only differences mean something."""

    mark: str
    ms: int


@dataclass(slots=True, frozen=True)
class Carried:
    """All that a request says of its budget; None where it says nothing."""

    ms: float | None = None  # left as it was written
    at: Stamp | None = None
    extra: int | None = None
    worth: float | None = None
    tenant: str | None = None
    attempt: int | None = None  # 1: first try
    id: str | None = None
    path: tuple[str, ...] = ()
    seen: frozenset[str] = frozenset()  # names that other headers show it to have come through
    asked_again: bool = False  # somebody else's mark of a repeat
    unreadable: tuple[str, ...] = ()  # what was said and can't be read


NOTHING = Carried()


def _member(name: str, value: str, found: dict[str, object]) -> bool:
    """Read one member of ours; False if it can't be."""
    match name:
        case "ms" if WHOLE.fullmatch(value) and int(value) <= MOST_MS:
            found["ms"] = float(value)
        case "at":
            mark, _, figure = value.rpartition(":")
            if not TOKEN.fullmatch(mark) or not WHOLE.fullmatch(figure):
                return False
            found["at"] = Stamp(mark, int(figure))
        case "extra" if WHOLE.fullmatch(value) and int(value) <= MOST_EXTRA:
            found["extra"] = int(value)
        case "worth" if DECIMAL.fullmatch(value) and float(value) <= MOST_WORTH:
            found["worth"] = float(value)
        case "tenant" if NAME.fullmatch(unquote(value)):
            found["tenant"] = unquote(value)
        case "try" if WHOLE.fullmatch(value) and 1 <= int(value) <= MOST_EXTRA + 1:
            found["attempt"] = int(value)
        case "id" if TOKEN.fullmatch(value):
            found["id"] = value
        case "path":
            names = tuple(value.split("/"))
            if len(names) > MOST_PATH or not all(NAME.fullmatch(word) for word in names):
                return False
            found["path"] = names
        case _:
            return False
    return True


def read_baggage(text: str) -> tuple[Carried, list[str]]:
    """What members of ours say, and the members of others as they came.

    Guard: of a member that stands twice one node could read one value and the next another, so neither counts.
    """
    found: dict[str, object] = {}
    bad: list[str] = []
    others: list[str] = []
    known: set[str] = set()
    if len(text) > MOST_BYTES:
        return Carried(unreadable=("baggage",)), []
    for member in text.split(",")[:MOST_MEMBERS]:
        member = member.strip(" \t")
        key, _, value = member.partition("=")
        key = key.strip(" \t")
        if not key.startswith(PREFIX):
            if member:
                others.append(member)
            continue
        name = key.removeprefix(PREFIX)
        value = value.partition(";")[0].strip(" \t")
        if name in known or not _member(name, value, found):
            bad.append(name[:32])
            found.pop("attempt" if name == "try" else name, None)
        known.add(name)
    return Carried(**found, unreadable=tuple(bad)), others  # type: ignore[arg-type]


def write_baggage(carried: Carried, others: Sequence[str] = ()) -> str:
    """The value of a baggage header: ours first, then as many members of others as there is room for."""
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
    if not others:
        return ",".join(members)
    size = sum(len(member) + 1 for member in members)
    for member in others:
        size += len(member) + 1
        if size > MOST_BYTES or len(members) >= MOST_MEMBERS:
            break
        members.append(member)
    return ",".join(members)


def _joined(headers: Sequence[Header], name: bytes) -> str:
    return ",".join(value.decode("latin-1") for key, value in headers if key.lower() == name)


def by_lower_name(headers: Sequence[Header]) -> dict[bytes, bytes]:
    """The last field of each name."""
    return {key.lower(): value for key, value in headers}


def read_http(headers: Sequence[Header], by_name: Mapping[bytes, bytes] | None = None) -> Carried:
    """What a request's header fields say, in order and as they came; `by_name`: the same by lower-case name."""
    by_name = by_lower_name(headers) if by_name is None else by_name
    if READ.isdisjoint(by_name):
        return NOTHING
    carried, _ = read_baggage(_joined(headers, b"baggage"))
    bad = list(carried.unreadable)
    times = [] if carried.ms is None else [carried.ms]
    again = by_name.get(b"req-retry") == b"1"
    if (text := by_name.get(b"grpc-timeout")) is not None:
        if (match := GRPC.fullmatch(text)) is not None:
            times.append(int(match[1]) * GRPC_MS[match[2]])
        else:
            bad.append("grpc-timeout")
    for name in (b"x-envoy-expected-rq-timeout-ms", b"x-envoy-attempt-count"):
        if (value := by_name.get(name)) is None:
            continue
        figure = value.decode("latin-1")
        if not WHOLE.fullmatch(figure):
            bad.append(name.decode())
        elif name == b"x-envoy-attempt-count":
            again = again or int(figure) > 1
        else:
            times.append(float(figure))
    state = _state(_joined(headers, b"tracestate"))
    # Guard: where only the trace is passed on, a node that wrote its own name alone hid those before it.
    path = carried.path or state[-MOST_PATH:]
    seen = _via(_joined(headers, b"via")) | set(state)
    ms = min(times) if times else None
    # A time in another's form was not written when ours was: without the stamp it counts from now.
    at = carried.at if ms == carried.ms else None
    return replace(
        carried, ms=ms, at=at, path=path, seen=frozenset(seen), asked_again=again, unreadable=tuple(bad)
    )


def _via(text: str) -> set[str]:
    """The names that intermediaries have given themselves, comments and protocols left out."""
    found = set()
    for entry in text.split(","):
        words = entry.split()
        if len(words) >= 2 and NAME.fullmatch(words[1]):
            found.add(words[1])
    return found


def _state(text: str) -> tuple[str, ...]:
    """The names in our member of tracestate."""
    for member in text.split(","):
        key, _, value = member.strip(" \t").partition("=")
        if key == VENDOR:
            return tuple(word for word in value.split("/") if NAME.fullmatch(word))
    return ()


def write_http(
    headers: Sequence[Header],
    carried: Carried,
    name: str,
    wait_ms: float,
    by_name: Mapping[bytes, bytes] | None = None,
) -> list[Header]:
    """The fields of `WRITTEN` that go with a request whose own fields are these, through the node of this name.

    Times in others' forms are told anew only where the caller used them; `tracestate` only beside a `traceparent`.
    """
    by_name = by_lower_name(headers) if by_name is None else by_name
    if READ.isdisjoint(by_name):
        return [(b"Baggage", write_baggage(carried).encode("latin-1")), (b"Via", f"1.1 {name}".encode())]
    _, others = read_baggage(_joined(headers, b"baggage"))
    rows = [(b"Baggage", write_baggage(carried, others).encode("latin-1"))]
    via = _joined(headers, b"via")
    rows.append((b"Via", f"{via}, 1.1 {name}".removeprefix(", ").encode("latin-1")))
    if b"grpc-timeout" in by_name:
        rows.append((b"grpc-timeout", b"%dm" % max(1, min(99_999_999, int(wait_ms)))))
    if b"x-envoy-expected-rq-timeout-ms" in by_name:
        rows.append((b"x-envoy-expected-rq-timeout-ms", b"%d" % max(1, int(wait_ms))))
    state = _joined(headers, b"tracestate")
    if TRACE.fullmatch(by_name.get(b"traceparent", b"")):
        rest = [member.strip(" \t") for member in state.split(",")]
        rest = [member for member in rest if member and member.partition("=")[0] != VENDOR]
        # Guard: a value of over 256 characters would have the whole header dropped; the latest names are kept.
        names = list(carried.path)
        while len("/".join(names)) > 256:
            names.pop(0)
        rows.append(
            (
                b"tracestate",
                ",".join([f"{VENDOR}={'/'.join(names)}", *rest[: MOST_STATE - 1]]).encode("latin-1"),
            )
        )
    elif state:
        rows.append((b"tracestate", state.encode("latin-1")))
    return rows
