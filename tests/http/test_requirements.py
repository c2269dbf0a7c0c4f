"""Requirements of RFC 9112 and RFC 9110 on an intermediary, one case each, towards callers and servers.

`docs/design/http.md` has the table with what each means.
"""

from __future__ import annotations

import asyncio

import pytest
from beside import application, boxes, running, send_raw

from loadbalancer.emulator.box import Box

HEAD = b"Host: x\r\n"

# section, case, request, status of the answer, whether a server receives it
CALLERS = [
    (
        "9112 2.2",
        "an empty line before the request line is skipped",
        b"\r\nGET /a HTTP/1.1\r\n" + HEAD,
        200,
        True,
    ),
    (
        "9112 2.2",
        "a bare CR in a field is no line end",
        b"GET /a HTTP/1.1\r\nHost: x\r\nA: b\rc\r\n",
        400,
        False,
    ),
    ("9112 2.3", "a version that is not known", b"GET /a HTTP/3.7\r\n" + HEAD, 400, False),
    ("9112 3", "a target with a blank", b"GET /a b HTTP/1.1\r\n" + HEAD, 400, False),
    ("9112 3.2", "1.1 without Host", b"GET /a HTTP/1.1\r\n", 400, False),
    ("9112 3.2", "1.0 without Host", b"GET /a HTTP/1.0\r\n", 200, True),
    ("9112 3.2", "two Hosts", b"GET /a HTTP/1.1\r\n" + HEAD + HEAD, 400, False),
    ("9112 3.2", "a Host that is none", b"GET /a HTTP/1.1\r\nHost: a b\r\n", 400, False),
    ("9112 3.2", "an empty Host", b"GET /a HTTP/1.1\r\nHost:\r\n", 200, True),
    ("9112 3.2.2", "absolute form", b"GET http://other/a HTTP/1.1\r\n" + HEAD, 200, True),
    ("9112 3.2.2", "absolute form without a path", b"GET http://other?q HTTP/1.1\r\n" + HEAD, 200, True),
    ("9112 3.2.2", "absolute form without Host", b"GET http://other/a HTTP/1.1\r\n", 400, False),
    ("9110 4.2.4", "userinfo", b"GET http://me@other/a HTTP/1.1\r\n" + HEAD, 400, False),
    ("9112 3.2.3", "authority form", b"CONNECT other:80 HTTP/1.1\r\n" + HEAD, 400, False),
    ("9112 5", "a blank before the colon", b"GET /a HTTP/1.1\r\nHost: x\r\nA : b\r\n", 400, False),
    ("9112 5.2", "a folded field", b"GET /a HTTP/1.1\r\nHost: x\r\nA: b\r\n c\r\n", 400, False),
    (
        "9112 6.1",
        "a coding in 1.0",
        b"POST /a HTTP/1.0\r\nHost: x\r\nTransfer-Encoding: chunked\r\n",
        400,
        False,
    ),
    (
        "9112 6.1",
        "a coding that is not known",
        b"POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: gz\r\n",
        400,
        False,
    ),
    (
        "9112 6.3",
        "a coding beside a length",
        b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n",
        400,
        False,
    ),
    (
        "9112 6.3",
        "a length that is none",
        b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 1x\r\n",
        400,
        False,
    ),
    (
        "9112 6.3",
        "two lengths",
        b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nContent-Length: 2\r\n",
        400,
        False,
    ),
    ("9110 8.6", "a length below zero", b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: -1\r\n", 400, False),
]


@pytest.mark.parametrize(
    ("section", "what", "data", "status", "seen"), CALLERS, ids=[row[1] for row in CALLERS]
)
def test_request_is_forwarded_or_rejected_as_the_rfc_requires(section, what, data, status, seen):
    async def main():
        (box,) = boxes(1)
        async with running(box) as sidecar:
            ends = b"" if status == 400 else b"Connection: close\r\n"
            answer = await send_raw(sidecar, data + ends + b"\r\n")
            assert int(answer[9:12]) == status, (section, answer)
            assert bool(box.taken) is seen
            if seen and data.startswith(b"GET http://other"):  # its authority replaces Host
                assert box.seen[0].header(b"host") == b"other"
                assert box.seen[0].target.startswith(b"/")

    asyncio.run(main())


# section, case, the server's answer, the status that the caller gets
ANSWERS = [
    (
        "9112 6.3",
        "a coding beside a length",
        b"Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\nx",
        502,
    ),
    ("9112 6.3", "two lengths", b"Content-Length: 1\r\nContent-Length: 2\r\n\r\nxy", 502),
    ("9112 8", "a body that breaks off", b"Content-Length: 9\r\n\r\nxy", 502),
    ("9110 7.6.1", "hop-by-hop fields end here", b"Content-Length: 0\r\nConnection: A\r\nA: b\r\n\r\n", 200),
    (
        "9110 6.6.1",
        "Date goes through",
        b"Content-Length: 0\r\nDate: Tue, 01 Dec 2026 00:00:00 GMT\r\n\r\n",
        200,
    ),
]


@pytest.mark.parametrize(("section", "what", "rest", "status"), ANSWERS, ids=[row[1] for row in ANSWERS])
def test_server_answer_is_forwarded_or_rejected_as_the_rfc_requires(section, what, rest, status):
    async def main():
        whole = b"HTTP/1.1 200 OK\r\n" + rest
        box = Box("box-0", answer=lambda seen: whole)
        async with running(box) as sidecar:
            asked = asyncio.create_task(application(sidecar).ask("POST", "/a", b"1"))
            if "breaks off" in what:
                while not box.served:
                    await asyncio.sleep(0)
                box.stop()
            answer = await asked
            assert answer.status == status, section
            assert b"a" not in answer.headers
            assert (b"date" in answer.headers) is (b"Date" in rest)

    asyncio.run(main())
