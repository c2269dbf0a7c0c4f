"""Requests and responses as the gateway handles them, and their HTTP/1.1 form towards servers. No sockets."""

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
    """A request that was received completely.

    Args:
        target: path and query as received.
        headers: names in lower case.
        arrived_s: when its first byte arrived (the event loop's time).
    """

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
        """Return the first value under this lower-case name; None if there is none."""
        return first_header(self.headers, name)

    @property
    def host_name(self) -> str:
        """The host in lower case, without a port."""
        name, colon, port = self.host.rpartition(":")
        return (name if colon and port.isdigit() else self.host).lower()

    @property
    def request_id(self) -> bytes:
        """The id that the client gave this request; empty if it gave none."""
        return self.header(b"request-id") or b""


@attrs.frozen
class ResponseHead:
    """The head of a server's response. Header names are in lower case; `length` is None if the body is chunked."""

    status: int
    headers: tuple[Header, ...]
    length: int | None

    def header(self, name: bytes) -> bytes | None:
        """Return the first value under this lower-case name; None if there is none."""
        return first_header(self.headers, name)

    @property
    def is_event_stream(self) -> bool:
        """Whether the body is a sequence of server-sent events."""
        kind = self.header(b"content-type")
        return kind is not None and kind.lower().startswith(b"text/event-stream")


def first_header(headers: tuple[Header, ...], name: bytes) -> bytes | None:
    """Return the first value under this lower-case name; None if there is none."""
    for found, value in headers:
        if found == name:
            return value
    return None


def end_to_end_headers(headers: tuple[Header, ...]) -> list[Header]:
    """Return the headers to forward: all but hop-by-hop headers and those that `Connection` names."""
    named = set(CONNECTION_HEADERS)
    for name, value in headers:
        if name == b"connection":
            named.update(token.strip().lower() for token in value.split(b","))
    return [(name, value) for name, value in headers if name not in named]


def render_request(
    request: ClientRequest, server_id: str, remaining_ms: int | None, last_event_id: int | None
) -> bytes:
    """Return the bytes of a request to a server.

    Args:
        request: the client's request.
        server_id: the incarnation that must answer it.
        remaining_ms: time left for the request; None: the client's `Deadline-Ms` is forwarded.
        last_event_id: event after which a stream is resumed; None: the client's `Last-Event-Id` is forwarded.
    """
    lines = [
        request.method + b" " + request.target + b" HTTP/1.1",
        b"Host: " + request.host.encode("latin-1"),
    ]
    forwarded = {b"deadline-ms"} if remaining_ms is None else set()
    if last_event_id is None:
        forwarded.add(b"last-event-id")
    for name, value in end_to_end_headers(request.headers):
        if name not in _REWRITTEN or name in forwarded:
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
