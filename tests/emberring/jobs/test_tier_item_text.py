"""Texts of batch items: what the batch interface accepts is sent as exactly one request, the one that was submitted."""

from __future__ import annotations

import base64
from collections import Counter
from typing import Any

import httptools
import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st

from emberring.configuration.model import Route, RouteType, Share
from emberring.errors import BadRequestError
from emberring.gateway.items import item_request
from emberring.gateway.messages import render_request
from emberring.jobs.definition import ItemSpec, parse_items
from emberring.jobs.items import ItemCall
from emberring.jobs.packing import compress

HOST = "lots.example"
ROUTE = Route(
    name="r-lots",
    host=HOST,
    path_prefix="/batch/",
    type=RouteType.BATCH,
    timeout_ms=4000,
    split=(Share("s", 1),),
)
SMUGGLED = "x\r\nContent-Length: 0\r\n\r\nPOST /no-route/ HTTP/1.1\r\nHost: b.example\r\nNote: y"
# Headers that frame a message or concern one connection, which the gateway sets itself or leaves out.
NOT_TAKEN = (
    "Host",
    "Content-Length",
    "Transfer-Encoding",
    "Connection",
    "Expect",
    "Trailer",
    "TE",
    "Upgrade",
    "Keep-Alive",
    "Request-Id",
    "Expected-Instance",
)


def submitted(**changes: Any) -> dict[str, Any]:
    return {"Id": "i1", "Path": "/batch/1", "Headers": {"Model": "m"}, "Body": "q80=", "Tokens": 3} | changes


def parse(*items: dict[str, Any]) -> list[ItemSpec]:
    return parse_items(compress(orjson.dumps({"Requests": items})))


def rendered(spec: ItemSpec) -> bytes:
    """Return the bytes that a gateway sends for the first run of an item."""
    call = ItemCall(
        id=spec.id,
        host=HOST,
        path=spec.path,
        headers=tuple(spec.headers.items()),
        body=spec.decoded_body(),
        resume_after=None,
        tokens=spec.tokens,
        route=ROUTE,
        due_s=1e9,
        still_allowed=lambda: True,
    )
    return render_request(item_request(call, 0.0), "i-1", None, None)


class RequestReader:
    """Reads bytes as a server does, with a parser that the renderer does not share."""

    def __init__(self, data: bytes) -> None:
        self.headers: list[tuple[str, str]] = []
        self.target, self.body, self.begun, self.completed = b"", b"", 0, 0
        parser = httptools.HttpRequestParser(self)
        parser.feed_data(data)
        self.method = parser.get_method().decode()

    def on_message_begin(self) -> None:
        self.begun += 1

    def on_url(self, url: bytes) -> None:
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers.append((name.decode("latin-1").lower(), value.decode("latin-1")))

    def on_body(self, body: bytes) -> None:
        self.body += body

    def on_message_complete(self) -> None:
        self.completed += 1


@pytest.mark.parametrize(
    ("changes", "field"),
    [
        ({"Headers": {"Note": SMUGGLED}}, "Headers 'Note'"),
        ({"Headers": {"Note": "a\nb"}}, "Headers 'Note'"),
        ({"Headers": {"Note": "a\rb"}}, "Headers 'Note'"),
        ({"Headers": {"Note": "a\0b"}}, "Headers 'Note'"),
        ({"Headers": {"Note": "a\x7fb"}}, "Headers 'Note'"),
        ({"Headers": {"Note": " a"}}, "Headers 'Note'"),
        ({"Headers": {"Note": "a\t"}}, "Headers 'Note'"),
        ({"Headers": {"Note": "\u0416"}}, "Headers 'Note'"),
        ({"Headers": {"Model": "m", "": "a"}}, "Headers ''"),
        ({"Headers": {"No te": "a"}}, "Headers 'No te'"),
        ({"Headers": {"Transfer-Encoding: chunked, x": "a"}}, "Headers 'Transfer-Encoding: chunked, x'"),
        ({"Headers": {"Not\u00e9": "a"}}, "Headers 'Not\u00e9'"),
        ({"Path": "/batch/1 HTTP/1.1\r\nNote: y"}, "Path"),
        ({"Path": "/batch/a b"}, "Path"),
        ({"Path": "/batch/a#b"}, "Path"),
        ({"Path": "/batch/\u00e9"}, "Path"),
        ({"Path": "/batch/\u0416"}, "Path"),
        ({"Id": "i1\r\nNote: y"}, "Id"),
        ({"Id": "\u0416"}, "Id"),
        ({"Id": " i1"}, "Id"),
    ],
)
# Guards against review case 3: a text of an item that a server reads as the beginning of another request.
def test_a_text_that_http_does_not_allow_is_rejected_by_item_and_field(
    changes: dict[str, Any], field: str
) -> None:
    with pytest.raises(BadRequestError) as raised:
        parse(submitted(Id="first"), submitted(**changes))
    assert raised.value.detail == f"Requests[1]: {field}"


@pytest.mark.parametrize(
    "changes",
    [
        {"Headers": {"Note": ""}},
        {"Headers": {"Note": "a\tb c"}},
        {"Headers": {"Note": "caf\u00e9 \u0080"}},
        {"Headers": {"x-!#$%&'*+.^_`|~": "POST / HTTP/1.1"}},
        {"Path": "/batch/1?q=%20&r=[a]|{b}"},
        {"Id": "an id \u00e9"},
    ],
)
def test_a_text_that_http_allows_is_sent_unchanged(changes: dict[str, Any]) -> None:
    (spec,) = parse(submitted(**changes))
    received = RequestReader(rendered(spec))
    assert (received.begun, received.completed) == (1, 1)
    assert received.target.decode() == spec.path
    assert ("request-id", spec.id) in received.headers
    for name, value in spec.headers.items():
        assert (name.lower(), value) in received.headers


@pytest.mark.parametrize("name", NOT_TAKEN)
def test_a_header_that_frames_a_message_is_not_taken_from_an_item(name: str) -> None:
    (spec,) = parse(submitted(Headers={name: "request-id", "Note": "kept"}))
    received = RequestReader(rendered(spec))
    assert (received.begun, received.completed, received.body) == (1, 1, spec.decoded_body())
    assert dict(received.headers) == {
        "host": HOST,
        "note": "kept",
        "request-id": "i1",
        "expected-instance": "i-1",
        "content-length": str(len(spec.decoded_body())),
    }


PIECES = st.sampled_from(
    [
        "a",
        "Note",
        "/",
        " ",
        "\t",
        ":",
        ",",
        "\r\n",
        "\r",
        "\n",
        "\0",
        "#",
        "?",
        "\x7f",
        "\u00e9",
        "\u0416",
        SMUGGLED,
    ]
)
TEXTS = st.lists(PIECES, max_size=6).map("".join) | st.text(max_size=12)
NAMES = TEXTS | st.sampled_from(NOT_TAKEN)


@given(
    item_id=TEXTS,
    path=TEXTS.map(lambda text: "/" + text),
    headers=st.dictionaries(NAMES, TEXTS, max_size=4),
    body=st.binary(max_size=40) | st.just(b"POST / HTTP/1.1\r\nHost: b.example\r\n\r\n"),
)
def test_what_is_accepted_is_read_back_as_exactly_one_request(
    item_id: str, path: str, headers: dict[str, str], body: bytes
) -> None:
    item = submitted(Id=item_id, Path=path, Headers=headers, Body=base64.b64encode(body).decode())
    try:
        (spec,) = parse(item)
    except BadRequestError:
        return
    received = RequestReader(rendered(spec))
    assert (received.begun, received.completed) == (1, 1)
    assert (received.method, received.target, received.body) == ("POST", path.encode(), body)
    not_taken = {name.lower() for name in NOT_TAKEN}
    gateways_own = {"host", "request-id", "expected-instance", "content-length"}
    assert Counter(pair for pair in received.headers if pair[0] not in gateways_own) == Counter(
        (name.lower(), value)
        for name, value in headers.items()
        if name.lower() not in not_taken
        and name.lower() not in {"proxy-connection", "proxy-authenticate", "proxy-authorization"}
    )
    assert dict(received.headers)["request-id"] == item_id
