"""Requests and answers as the gateway handles them, and their HTTP/1.1 form towards servers. No sockets."""

from __future__ import annotations

import attrs

Header = tuple[bytes, bytes]

# Headers that concern one connection (RFC 9110, section 7.6.1), and those that are written anew for each send.
CONNECTION_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)
_REWRITTEN = frozenset(
    (b"content-length", b"expect", b"host", b"expected-instance", b"deadline-ms", b"last-event-id")
)
_BODILESS_METHODS = frozenset((b"GET", b"HEAD", b"DELETE", b"OPTIONS", b"TRACE"))
BODILESS_STATUSES = frozenset((204, 304))


@attrs.frozen
class ClientRequest:
    """A request read whole. Header names are in lower case; `target` is path and query as they came;
    `arrived_s` is the loop's time of its first byte."""

    method: bytes
    target: bytes
    host: str
    headers: tuple[Header, ...]
    body: bytes
    arrived_s: float

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition(b"?")[0].decode("latin-1")

    def header(self, name: bytes) -> bytes | None:
        """The first value under this lower-case name."""
        return first_header(self.headers, name)

    @property
    def host_name(self) -> str:
        """The host in lower case, without a port."""
        name, colon, port = self.host.rpartition(":")
        return (name if colon and port.isdigit() else self.host).lower()

    @property
    def request_id(self) -> bytes:
        """The id that the client gave this try; empty where it gave none."""
        return self.header(b"request-id") or b""


@attrs.frozen
class ResponseHead:
    """The head of a server's answer. Header names are in lower case; `length` is None where it comes in chunks."""

    status: int
    headers: tuple[Header, ...]
    length: int | None

    def header(self, name: bytes) -> bytes | None:
        """The first value under this lower-case name."""
        return first_header(self.headers, name)

    @property
    def is_event_stream(self) -> bool:
        """Whether the body is a sequence of events."""
        kind = self.header(b"content-type")
        return kind is not None and kind.lower().startswith(b"text/event-stream")


def first_header(headers: tuple[Header, ...], name: bytes) -> bytes | None:
    """The first value under this lower-case name; None if there is none."""
    for found, value in headers:
        if found == name:
            return value
    return None


def end_to_end_headers(headers: tuple[Header, ...]) -> list[Header]:
    """The headers that are passed along: all but those of one connection and those that `Connection` names."""
    named = set(CONNECTION_HEADERS)
    for name, value in headers:
        if name == b"connection":
            named.update(token.strip().lower() for token in value.split(b","))
    return [(name, value) for name, value in headers if name not in named]


def render_request(
    request: ClientRequest, server_id: str, remaining_ms: int | None, last_event_id: int | None
) -> bytes:
    """The bytes of a request to a server. `remaining_ms` is what is left of its time, `last_event_id` the event after
    which a stream goes on; with None, what the client said of either is passed along."""
    lines = [
        request.method + b" " + request.target + b" HTTP/1.1",
        b"Host: " + request.host.encode("latin-1"),
    ]
    kept = {b"deadline-ms"} if remaining_ms is None else set()
    if last_event_id is None:
        kept.add(b"last-event-id")
    for name, value in end_to_end_headers(request.headers):
        if name not in _REWRITTEN or name in kept:
            lines.append(name + b": " + value)
    if last_event_id is not None:
        lines.append(b"Last-Event-Id: %d" % last_event_id)
    if remaining_ms is not None:
        lines.append(b"Deadline-Ms: %d" % max(1, remaining_ms))
    lines.append(b"Expected-Instance: " + server_id.encode("latin-1"))
    if request.body or request.method not in _BODILESS_METHODS:
        lines.append(b"Content-Length: %d" % len(request.body))
    lines.append(b"\r\n")
    return b"\r\n".join(lines) + request.body
