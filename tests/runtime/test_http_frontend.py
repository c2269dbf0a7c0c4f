"""The sidecar's HTTP frontend: what callers and servers receive through it."""

from __future__ import annotations

import asyncio
import re

import pytest
from beside import CLASSES, ROUTES, address, application, boxes, configuration_data, running, send_raw
from loopback import until

from loadbalancer.emulator.box import Box
from loadbalancer.runtime.http_frontend import end_to_end_fields


def head_of(data: bytes) -> tuple[bytes, list[bytes], bytes]:
    """Return the status line, the header lines, and the body."""
    head, _, body = data.partition(b"\r\n\r\n")
    first, *lines = head.split(b"\r\n")
    return first, lines, body


def test_ordinary_caller_is_served_and_each_request_has_an_id():
    async def main():
        (box,) = boxes(1)
        async with running(box) as sidecar:
            app = application(sidecar)
            for _ in range(2):
                answer = await app.ask("POST", "/journal", b"same posting")
                assert (answer.status, bytes(answer.body)) == (200, b"same posting")
            ids = [seen.header(b"req-id") for seen in box.seen]
            assert None not in ids
            assert len(set(ids)) == 2
            assert all(0 < int(seen.header(b"req-deadline-ms") or 0) <= 30000 for seen in box.seen)

    asyncio.run(main())


def test_end_to_end_headers_and_body_are_forwarded_unchanged_both_ways():
    async def main():
        answer = (
            b"HTTP/1.1 207 Multi-Status\r\nSet-Cookie: a=1\r\nset-cookie: b=2\r\nX-Thing:  spaced \r\n"
            b"Connection: X-Gone, keep-alive\r\nX-Gone: 1\r\nKeep-Alive: timeout=5\r\nSrv-Load: TEXT queue=1\r\n"
            b"Content-Type: text/x\r\nContent-Length: 5\r\n\r\n\x00\xff\r\n\x01"
        )
        box = Box("b", answer=lambda seen: answer)
        async with running(box) as sidecar:
            request = (
                b"PUT /x%20y/?q=1&q=2 HTTP/1.1\r\nHost: ledger.example\r\nX-Two: 1\r\nx-two: 2\r\nCookie: c=3\r\n"
                b"Connection: close, X-Hop\r\nX-Hop: 1\r\nTE: trailers\r\nReq-Id: mine\r\nReq-Owner: me\r\n"
                b"Authorization: Basic eDp5\r\nContent-Length: 4\r\n\r\n\xff\x00\r\n"
            )
            first, lines, body = head_of(await send_raw(sidecar, request))
            assert first == b"HTTP/1.1 207 Multi-Status"
            assert lines == [
                b"Set-Cookie: a=1",
                b"set-cookie: b=2",
                b"X-Thing: spaced",
                b"Content-Type: text/x",
                b"Content-Length: 5",
                b"Connection: close",
            ]
            assert body == b"\x00\xff\r\n\x01"
            (seen,) = box.seen
            assert (seen.method, seen.target, bytes(seen.body)) == (
                b"PUT",
                b"/x%20y/?q=1&q=2",
                b"\xff\x00\r\n",
            )
            forwarded = [pair for pair in seen.headers if not pair[0].startswith(b"Req-")]
            assert forwarded == [
                (b"Host", b"ledger.example"),
                (b"X-Two", b"1"),
                (b"x-two", b"2"),
                (b"Cookie", b"c=3"),
                (b"Authorization", b"Basic eDp5"),
                (b"Content-Length", b"4"),
            ]
            assert seen.header(b"req-id") != b"mine"
            assert seen.header(b"req-owner") is None

    asyncio.run(main())


@pytest.mark.parametrize("status", [200, 201, 204, 301, 304, 400, 404, 409, 418, 429, 451, 501])
def test_answer_with_a_status_that_is_no_server_failure_is_passed_on(status):
    async def main():
        (box,) = boxes(1)
        async with running(box) as sidecar:
            app = application(sidecar)
            answer = await app.ask("POST", f"/status/{status}")
            assert answer.status == status
            assert b"proxy-status" not in answer.headers
            assert answer.headers[b"x-box"] == b"box-0"
            assert sidecar.pools["boxes"].counts["ok"] == 1
            assert (await app.ask("POST", "/echo", b"next")).body == b"next"  # the connection is still usable

    asyncio.run(main())


def test_head_and_304_keep_their_content_length_and_have_no_body():
    async def main():
        def reply(seen):
            if seen.target == b"/unchanged":
                return b"HTTP/1.1 304 Not Modified\r\nETag: x\r\nContent-Length: 77\r\n\r\n"
            body = b"x" * 77
            head = b"HTTP/1.1 200 OK\r\nContent-Length: 77\r\n\r\n"
            return head if seen.method == b"HEAD" else head + body

        box = Box("b", answer=reply)
        async with running(box) as sidecar:
            requests = b"HEAD /x HTTP/1.1\r\nHost: x\r\n\r\nGET /unchanged HTTP/1.1\r\nHost: x\r\n\r\n"
            requests += b"GET /x HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
            response = await send_raw(sidecar, requests)
            parts = re.split(rb"(?=HTTP/1\.1 )", response)[1:]
            assert [part.split(b"\r\n")[0] for part in parts] == [
                b"HTTP/1.1 200 OK",
                b"HTTP/1.1 304 Not Modified",
                b"HTTP/1.1 200 OK",
            ]
            assert all(part.count(b"Content-Length: 77") == 1 for part in parts)
            assert parts[0].endswith(b"\r\n\r\n")
            assert parts[1].endswith(b"\r\n\r\n")
            assert parts[2].endswith(b"x" * 77)
            assert box.accepted == 1  # the connection to the server was reused

    asyncio.run(main())


def test_unexpected_body_is_not_taken_for_the_next_answer():
    async def main():
        box = Box(
            "b",
            answer=lambda seen: b"HTTP/1.1 204 No Content\r\nContent-Length: 19\r\n\r\nHTTP/1.1 200 Forged",
        )
        async with running(box) as sidecar:
            app = application(sidecar)
            for _ in range(2):
                answer = await app.ask("POST", "/x")
                assert (answer.status, bytes(answer.body)) == (204, b"")
            assert box.accepted == 2

    asyncio.run(main())


def test_chunked_empty_and_absent_bodies_reach_the_server_unchanged():
    async def main():
        (box,) = boxes(1)
        async with running(box) as sidecar:
            chunked = b"POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
            chunked += b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
            assert b"\r\n\r\nabcde" in await send_raw(sidecar, chunked, b"abcde")
            empty = b"POST /b HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
            assert (await send_raw(sidecar, empty)).startswith(b"HTTP/1.1 200")
            no_body = b"DELETE /c HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
            assert (await send_raw(sidecar, no_body)).startswith(b"HTTP/1.1 200")
            assert [bytes(seen.body) for seen in box.seen] == [b"abcde", b"", b""]
            assert [seen.header(b"content-length") for seen in box.seen] == [b"5", b"0", None]

    asyncio.run(main())


def test_100_continue_is_sent_after_the_previous_answer():
    async def main():
        release = asyncio.Event()
        (box,) = boxes(1)
        async with running(box) as sidecar:
            box.behaviour.work_ms = 1.0
            box.behaviour.cores = 0  # no request starts until the test sets it
            reader, writer = await asyncio.open_connection(*address(sidecar))
            writer.write(b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\nA")
            writer.write(b"POST /b HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nExpect: 100-continue\r\n\r\n")
            await until(lambda: box.taken == 1)
            box.behaviour.cores = 9
            box._begin()
            async with asyncio.timeout(20):
                assert (await reader.readuntil(b"\r\n\r\nA")).startswith(b"HTTP/1.1 200")
                assert await reader.readuntil(b"\r\n\r\n") == b"HTTP/1.1 100 Continue\r\n\r\n"
                writer.write(b"B")
                assert (await reader.readuntil(b"\r\n\r\nB")).startswith(b"HTTP/1.1 200")
            writer.close()
            assert [seen.header(b"expect") for seen in box.seen] == [None, None]
            release.set()

    asyncio.run(main())


def test_pipelined_requests_are_answered_in_order():
    async def main():
        (box,) = boxes(1)
        async with running(box) as sidecar:
            box.behaviour.work_ms = 2.0
            requests = b"".join(
                b"POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n%s\r\n%02d"
                % (b"Connection: close\r\n" if at == 19 else b"", at)
                for at in range(20)
            )
            response = await send_raw(sidecar, requests)
            assert re.findall(rb"\r\n\r\n(\d\d)", response) == [b"%02d" % at for at in range(20)]

    asyncio.run(main())


@pytest.mark.parametrize(
    ("route_ms", "given", "most"),
    [(None, None, 3000), (1000, None, 1000), (1000, "500", 500), (1000, "2000", 1000), (None, "9000", 3000)],
)
def test_shortest_of_class_route_and_callers_deadline_applies(route_ms, given, most):
    async def main():
        (box,) = boxes(1)
        class_rows = [CLASSES[0] | {"aim_ms": 2900, "give_up_ms": 3000, "late_worth": 1.0}]
        routes = [{"class": "read", "path": "/**"} | ({"deadline_ms": route_ms} if route_ms else {})]
        async with running(box, classes=class_rows, routes=routes) as sidecar:
            headers = {"Req-Deadline-Ms": given} if given else {}
            assert (await application(sidecar).ask("GET", "/x", headers=headers)).status == 200
            left = int(box.seen[0].header(b"req-deadline-ms") or 0)
            assert most - 400 < left <= most

    asyncio.run(main())


def test_listener_configures_the_callers_deadline_header():
    async def main():
        (box,) = boxes(1)
        listener = {"name": "application", "address": "127.0.0.1:0", "deadline_header": "X-Timeout-Ms"}
        async with running(box, listeners=[listener]) as sidecar:
            app = application(sidecar)
            await app.ask("GET", "/x", headers={"X-Timeout-Ms": "5000", "Req-Deadline-Ms": "7"})
            assert 4000 < int(box.seen[0].header(b"req-deadline-ms") or 0) <= 5000
            assert box.seen[0].header(b"x-timeout-ms") is None
            answer = await app.ask("GET", "/x", headers={"X-Timeout-Ms": "soon"})
            assert (answer.status, box.taken) == (400, 1)

    asyncio.run(main())


def error_and_details(answer):
    """Return error type and details of an answer produced by the sidecar."""
    found = re.fullmatch(rb'beside; error=([a-z_]+); details="([^"]*)"', answer.headers[b"proxy-status"])
    assert found is not None
    return found[1].decode(), found[2].decode()


def test_keyed_request_without_its_key_is_rejected_and_never_sent():
    async def main():
        (box,) = boxes(1)
        async with running(box) as sidecar:
            app = application(sidecar)
            answer = await app.ask("POST", "/move/1", b"x")
            assert answer.status == 400
            assert error_and_details(answer) == (
                "http_request_error",
                "refused: class move needs idempotency-key",
            )
            assert box.taken == 0
            assert (await app.ask("POST", "/move/1", b"x", {"Idempotency-Key": "k"})).status == 200
            assert box.seen[0].header(b"idempotency-key") == b"k"

    asyncio.run(main())


def test_repeated_routing_header_is_rejected():
    async def main():
        (box,) = boxes(1)
        route = {"class": "read", "path": "/**", "headers": [{"name": "X-Book", "value": "a"}]}
        async with running(box, routes=[route, *ROUTES[1:]], classes=CLASSES) as sidecar:
            for name in (b"X-Book", b"Idempotency-Key", b"Req-Deadline-Ms"):
                twice = b"%s: 1\r\n%s: 1\r\n" % (name, name.lower())
                answer = await send_raw(sidecar, b"GET /x HTTP/1.1\r\nHost: x\r\n" + twice + b"\r\n")
                assert answer.startswith(b"HTTP/1.1 400"), name
            assert box.taken == 0

    asyncio.run(main())


def test_key_named_in_connection_is_still_forwarded():
    async def main():
        (box,) = boxes(1)
        async with running(box) as sidecar:
            headers = {"Idempotency-Key": "k", "Connection": "Idempotency-Key, Host"}
            assert (await application(sidecar).ask("POST", "/move/1", b"x", headers)).status == 200
            assert box.seen[0].header(b"idempotency-key") == b"k"
            assert box.seen[0].header(b"host") is not None

    asyncio.run(main())


def test_unrouted_request_is_404_and_a_path_with_dots_is_400():
    async def main():
        (box,) = boxes(1)
        async with running(box, routes=[{"class": "read", "path": "/r/**"}], classes=CLASSES[:1]) as sidecar:
            app = application(sidecar)
            answer = await app.ask("GET", "/other")
            assert (answer.status, error_and_details(answer)[0]) == (404, "destination_not_found")
            answer = await app.ask("GET", "/r/../other")
            assert (answer.status, error_and_details(answer)[0]) == (400, "http_request_error")
            assert box.taken == 0
            assert (await app.ask("GET", "/r/x")).status == 200

    asyncio.run(main())


def test_rejection_is_503_and_states_that_nothing_ran():
    async def main():
        box = boxes(1)[0]
        box.behaviour.decline = True
        async with running(box) as sidecar:
            answer = await application(sidecar).ask("POST", "/x", b"1")
            assert answer.status == 503
            assert error_and_details(answer) == ("destination_unavailable", "refused: it never ran")
            assert sum(box.ran.values()) == 0

    asyncio.run(main())


def test_retry_after_is_in_whole_seconds():
    async def main():
        (box,) = boxes(1)
        async with running(box) as sidecar:
            box.behaviour.decline = True
            sidecar.pools["boxes"].balancer.table.cursor = 1  # asks for a period of 3 s, limited to 2 s
            answer = await application(sidecar).ask("POST", "/x", b"1")
            assert answer.status == 503
            assert answer.headers[b"retry-after"] == b"2"

    asyncio.run(main())


def test_request_beyond_the_limit_of_open_requests_is_rejected():
    async def main():
        (box,) = boxes(1)
        async with running(box, limits={"max_open": 1}) as sidecar:
            box.behaviour.hang = True
            pending = asyncio.create_task(application(sidecar).ask("POST", "/x", b"1"))
            await until(lambda: box.taken)
            answer = await application(sidecar).ask("POST", "/x", b"2")
            assert (answer.status, error_and_details(answer)) == (
                503,
                ("connection_limit_reached", "refused: it never ran; too many requests are open"),
            )
            pending.cancel()

    asyncio.run(main())


def test_unsafe_request_with_a_broken_off_answer_is_502_and_may_have_run():
    async def main():
        (box, other) = boxes(2)
        async with running(box, other) as sidecar:
            box.behaviour.die_mid_answer = other.behaviour.die_mid_answer = 1
            answer = await application(sidecar).ask("POST", "/x", b"1")
            assert (answer.status, error_and_details(answer)) == (
                502,
                ("connection_terminated", "failed: it may have run"),
            )
            assert sum(box.ran.values()) + sum(other.ran.values()) == 1

    asyncio.run(main())


def test_unsafe_request_without_an_answer_is_504():
    async def main():
        (box,) = boxes(1)
        async with running(box) as sidecar:
            box.behaviour.hang = True
            answer = await application(sidecar).ask("POST", "/x", b"1", {"Req-Deadline-Ms": "150"})
            assert (answer.status, error_and_details(answer)) == (
                504,
                ("http_response_timeout", "failed: it may have run"),
            )

    asyncio.run(main())


def test_safe_request_is_retried_and_the_last_server_error_is_passed_on():
    async def main():
        (box, other) = boxes(2)
        async with running(box, other) as sidecar:
            app = application(sidecar)
            box.behaviour.error = other.behaviour.error = 1
            answer = await app.ask("GET", "/x")
            assert (answer.status, bytes(answer.body)) == (500, b"posted, then failed")
            assert b"proxy-status" not in answer.headers  # it comes from a server
            assert box.taken == other.taken == 1
            box.behaviour.error = other.behaviour.error = 1
            answer = await app.ask("POST", "/x", b"1")
            assert (answer.status, bytes(answer.body)) == (500, b"posted, then failed")
            assert box.taken + other.taken == 3  # the unsafe request was not retried

    asyncio.run(main())


def test_class_limit_of_attempts_overrides_a_higher_one_of_the_rules():
    async def main():
        three = boxes(3)
        class_rows = [CLASSES[0] | {"attempts": 2}]
        async with running(*three, classes=class_rows, routes=ROUTES[:1]) as sidecar:
            for box in three:
                box.behaviour.error = 9
            assert (await application(sidecar).ask("GET", "/x")).status == 500
            assert sum(box.taken for box in three) == 2

    asyncio.run(main())


def test_attempt_is_cancelled_when_its_caller_leaves():
    async def main():
        (box,) = boxes(1)
        async with running(box) as sidecar:
            box.behaviour.hang = True
            _, writer = await asyncio.open_connection(*address(sidecar))
            writer.write(b"GET /x HTTP/1.1\r\nHost: x\r\n\r\n")
            await until(lambda: box.taken)
            writer.close()
            await until(lambda: not box.connections)
            assert sidecar.capacity.open == 0
            assert sidecar.pools["boxes"].requests == {}

    asyncio.run(main())


def test_tenant_is_passed_to_servers_and_to_the_balancer():
    async def main():
        (box,) = boxes(1)
        listener = {"name": "application", "address": "127.0.0.1:0", "tenant": "hotels"}
        tenants = [{"name": "hotels", "quota_per_s": 10}]
        async with running(box, listeners=[listener], tenants=tenants) as sidecar:
            before = sidecar.pools["boxes"].balancer.buckets["hotels"].tokens
            await application(sidecar).ask("GET", "/x", headers={"Req-Owner": "another"})
            assert box.seen[0].header(b"req-owner") == b"hotels"
            assert sidecar.pools["boxes"].balancer.buckets["hotels"].tokens < before + 0.5

    asyncio.run(main())


def test_each_pool_has_its_own_balancer_and_servers():
    async def main():
        one, two = boxes(2)
        for box in (one, two):
            await box.start()
        pools = [
            {
                "name": name,
                "list": {"source": "static", "servers": [{"id": box.name, "address": box.endpoint}]},
            }
            for name, box in (("a", one), ("b", two))
        ]
        class_rows = [CLASSES[0] | {"name": f"read-{name}", "pool": name} for name in "ab"]
        routes = [{"class": f"read-{name}", "path": f"/{name}/**"} for name in "ab"]
        async with running(pools=pools, classes=class_rows, routes=routes) as sidecar:
            app = application(sidecar)
            for target in ("/a/1", "/b/1", "/b/2"):
                assert (await app.ask("GET", target)).status == 200
            assert (one.taken, two.taken) == (1, 2)
            assert sidecar.pools["a"].balancer is not sidecar.pools["b"].balancer
            one.behaviour.hang = True
            pending = asyncio.create_task(app.ask("GET", "/a/2"))
            await until(lambda: one.taken == 2)
            assert (await app.ask("GET", "/b/3")).status == 200
            assert sidecar.capacity.open == 1  # open requests are counted over both pools
            pending.cancel()
        one.stop()
        two.stop()

    asyncio.run(main())


def test_invalid_request_is_answered_and_the_connection_closed():
    async def main():
        (box,) = boxes(1)
        async with running(box, limits={"max_body_bytes": 100}) as sidecar:
            for data, status in (
                (b"nonsense\r\n\r\n", b"400"),
                (b"GET ftp://elsewhere/x HTTP/1.1\r\nHost: x\r\n\r\n", b"400"),
                (
                    b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                    b"400",
                ),
                (b"GET / HTTP/1.1\r\nHost: x\r\nHost: y\r\n\r\n", b"400"),
                (b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 101\r\n\r\n", b"413"),
            ):
                assert (await send_raw(sidecar, data)).startswith(b"HTTP/1.1 " + status), data
            assert box.taken == 0

    asyncio.run(main())


def test_field_named_in_connection_is_removed_unless_it_must_be_forwarded():
    headers = [(b"Host", b"h"), (b"X-A", b"1"), (b"x-b", b"2"), (b"Upgrade", b"h2c")]
    assert end_to_end_fields(headers, b"x-a, Host", {b"upgrade"}, {b"host"}) == [
        (b"Host", b"h"),
        (b"x-b", b"2"),
    ]
    assert end_to_end_fields(headers, None, {b"upgrade"}, ()) == headers[:3]


def test_fixture_data_is_a_configuration():
    assert configuration_data()["kind"] == "configuration"


def test_rejection_after_an_attempt_that_may_have_run_does_not_claim_that_nothing_ran():
    async def main():
        (box,) = boxes(1)
        async with running(box) as sidecar:
            box.behaviour.die_mid_answer = 10
            answer = await application(sidecar).ask("GET", "/x")
            assert box.taken >= 1
            assert answer.status in (502, 503)
            assert b"never ran" not in bytes(answer.body)

    asyncio.run(main())
