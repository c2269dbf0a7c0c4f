"""Requests that the platform's node renders: what its parser accepts reaches a server as exactly one request."""

from __future__ import annotations

import httptools
from hypothesis import given
from hypothesis import strategies as st

from loadbalancer.http.server import Call
from loadbalancer.node.front import FORWARDED, PlatformWire

PIECES = st.sampled_from(
    [
        b"a",
        b"/",
        b" ",
        b"\t",
        b":",
        b"\r\n",
        b"\r",
        b"\n",
        b"\0",
        b"\x7f",
        b"\xe9",
        b"\r\n\r\nGET /x HTTP/1.1\r\nHost: b",
    ]
)
PLAIN_TEXTS = st.text("a/:%", min_size=1, max_size=4).map(str.encode)
TEXTS = PLAIN_TEXTS | PLAIN_TEXTS | PLAIN_TEXTS | st.lists(PIECES, max_size=4).map(b"".join)


class RequestReader:
    """Collects the requests that a parser finds."""

    def __init__(self) -> None:
        self.targets: list[bytes] = []
        self.headers: list[tuple[bytes, bytes]] = []
        self.bodies: list[bytes] = []

    def on_message_begin(self) -> None:
        self.targets.append(b"")
        self.bodies.append(b"")

    def on_url(self, url: bytes) -> None:
        self.targets[-1] += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers.append((name.lower(), value))

    def on_body(self, body: bytes) -> None:
        self.bodies[-1] += body


def read(data: bytes) -> RequestReader | None:
    """Return what a parser finds in these bytes; None if it rejects them."""
    reader = RequestReader()
    try:
        httptools.HttpRequestParser(reader).feed_data(data)
    except (httptools.HttpParserError, httptools.HttpParserUpgrade):
        return None
    return reader


@given(
    target=TEXTS,
    values=st.dictionaries(st.sampled_from(sorted(FORWARDED)), TEXTS, max_size=4),
    body=st.binary(max_size=20),
)
def test_what_the_nodes_parser_accepts_is_rendered_as_one_request(
    target: bytes, values: dict[bytes, bytes], body: bytes
) -> None:
    lines = [b"POST /" + target + b" HTTP/1.1", *(name + b": " + value for name, value in values.items())]
    lines.append(b"content-length: %d" % len(body))
    accepted = read(b"\r\n".join(lines) + b"\r\n\r\n" + body)
    if accepted is None or len(accepted.targets) != 1:
        return
    message = Call(
        connection=None,  # type: ignore[arg-type]
        method=b"POST",
        target=accepted.targets[0],
        headers=dict(accepted.headers),
        body=bytearray(accepted.bodies[0]),
    )
    rendered = read(PlatformWire(()).encode(message, 1.0))
    assert rendered is not None
    assert (rendered.targets, rendered.bodies) == (accepted.targets, accepted.bodies)
    forwarded = {name: value for name, value in message.headers.items() if name in FORWARDED}
    own = {b"req-deadline-ms": b"1000", b"content-length": b"%d" % len(body)}
    assert sorted(rendered.headers) == sorted((forwarded | own).items())
