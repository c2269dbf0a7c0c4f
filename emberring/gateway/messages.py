"""Requests and responses in the gateway, and the HTTP/1.1 form of requests to servers. No I/O."""

from __future__ import annotations

import attrs

from emberring.errors import InternalError
from emberring.http_syntax import is_request_head

Header = tuple[bytes, bytes]

# Hop-by-hop headers (RFC 9110, section 7.6.1).
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
# End-to-end headers that the gateway sets itself in each request to a server.
_REWRITTEN = frozenset(
    (b"content-length", b"expect", b"host", b"expected-instance", b"deadline-ms", b"last-event-id")
)
_BODILESS_METHODS = frozenset((b"GET", b"HEAD", b"DELETE", b"OPTIONS", b"TRACE"))
BODILESS_STATUSES = frozenset((204, 304))


@attrs.frozen
class ClientRequest:
    """A request from a client.

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
        """Return the first value of the header with this lower-case name; None if there is none."""
        return first_header(self.headers, name)

    @property
    def host_name(self) -> str:
        """The host in lower case, without a port."""
        name, colon, port = self.host.rpartition(":")
        return (name if colon and port.isdigit() else self.host).lower()

    @property
    def request_id(self) -> bytes:
        """The `Request-Id` header; empty if there is none."""
        return self.header(b"request-id") or b""


@attrs.frozen
class ResponseHead:
    """The head of a server's response, with header names in lower case. `length` is None without `Content-Length`."""

    status: int
    headers: tuple[Header, ...]
    length: int | None

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of the header with this lower-case name; None if there is none."""
        return first_header(self.headers, name)

    @property
    def is_event_stream(self) -> bool:
        """Whether the body is a stream of server-sent events."""
        content_type = self.header(b"content-type")
        return content_type is not None and content_type.lower().startswith(b"text/event-stream")


def first_header(headers: tuple[Header, ...], name: bytes) -> bytes | None:
    """Return the first value of the header with this lower-case name; None if there is none."""
    for header_name, value in headers:
        if header_name == name:
            return value
    return None


def end_to_end_headers(headers: tuple[Header, ...]) -> list[Header]:
    """Return the headers to forward: all except hop-by-hop headers and those listed in `Connection`."""
    excluded = set(CONNECTION_HEADERS)
    for name, value in headers:
        if name == b"connection":
            excluded.update(token.strip().lower() for token in value.split(b","))
    return [(name, value) for name, value in headers if name not in excluded]


def render_request(
    request: ClientRequest, server_id: str, remaining_ms: int | None, last_event_id: int | None
) -> bytes:
    """Return the bytes of a request to a server.

    Args:
        request: the client's request.
        server_id: id of the server incarnation that must answer it.
        remaining_ms: time left for the request; if None, the client's `Deadline-Ms` is forwarded.
        last_event_id: event after which a stream is resumed; if None, the client's `Last-Event-Id` is forwarded.

    Raises:
        InternalError: a text would end the request or one of its lines; the caller has not checked it.
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
    head = b"\r\n".join(lines)
    if not is_request_head(head, len(lines) - 1):
        # Guard: a text with line ends would be read as another request.
        raise InternalError("a request holds a text that HTTP does not allow")
    return head + b"\r\n\r\n" + request.body
