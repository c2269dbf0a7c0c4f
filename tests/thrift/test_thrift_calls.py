"""Thrift calls through a sidecar: the replies to callers, their order, and what the servers ran."""

from __future__ import annotations

import asyncio
import socket
from collections import Counter

import pytest
from beside import configuration
from loopback import until
from random_thrift_values import body_of
from thrifty import CLASSES, Caller, address, box_of, boxes, posting, running, said, shape

from loadbalancer.emulator.thrift import ThriftBehaviour
from loadbalancer.thrift import types as t
from loadbalancer.thrift.codec import field_at
from loadbalancer.thrift.types import Form, MessageKind

FORMS = pytest.mark.parametrize("form", list(Form), ids=lambda form: form.value)
FRAMED = pytest.mark.parametrize("framed", [True, False], ids=["framed", "unframed"])


@FORMS
@FRAMED
@pytest.mark.parametrize("box_form", ["binary", "compact"])
@pytest.mark.parametrize("transport", ["framed", "unframed"])
def test_calls_are_answered_for_each_protocol_and_transport_of_caller_and_server(
    form, framed, box_form, transport
):
    async def main():
        (box,) = boxes(1)
        async with (
            running(box, thrift={"form": box_form, "transport": transport}) as sidecar,
            Caller(address(sidecar), form, framed) as caller,
        ):
            reply = await caller.call("post", posting("p1", form))
            assert (reply.form, reply.kind, reply.name) == (form, MessageKind.REPLY, b"post")
            assert box_of(reply) == "box-0"
            assert field_at(reply.body, reply.form, (0, 1)) == b"p1"
            reply = await caller.call("balance", body_of(form, [(1, t.STRING, b"book")]))
            assert field_at(reply.body, reply.form, (0,)) == 120450
            assert box.ran == {"p1": 1}
            assert {found.compact for found, _ in box.forms} == {box_form == "compact"}

    asyncio.run(main())


def test_pipelined_calls_are_answered_in_order_with_their_sequence_ids():
    async def main():
        async with (
            running(*boxes(2)) as sidecar,
            Caller(address(sidecar), Form.COMPACT) as caller,
        ):
            numbers = [7, 7, -1, 2**31 - 1, 0, 3]
            for at, number in enumerate(numbers):
                caller.send("post", posting(f"p{at}", Form.COMPACT), seqid=number)
            replies = [await caller.reply() for _ in numbers]
            assert [reply.seqid for reply in replies] == numbers
            assert [field_at(reply.body, reply.form, (0, 1)) for reply in replies] == [
                f"p{at}".encode() for at in range(len(numbers))
            ]

    asyncio.run(main())


def test_more_calls_than_the_pipeline_limit_are_all_answered():
    async def main():
        async with running(*boxes(1)) as sidecar, Caller(address(sidecar)) as caller:
            for at in range(300):
                caller.send("post", posting(f"p{at}"))
            for at in range(300):
                reply = await caller.reply()
                assert field_at(reply.body, reply.form, (0, 1)) == f"p{at}".encode()

    asyncio.run(main())


@pytest.mark.parametrize(
    "how", ["die_mid_reply", "die_after", "wrong_seqid", "wrong_name", "wrong_kind", "wrong_body"]
)
def test_a_server_failure_after_a_call_ran_fails_only_that_call(how):
    """Each pipelined call of a compact caller has its own reply; the one that failed is reported as possibly run."""

    async def main():
        servers = boxes(1)
        servers[0].behaviour = ThriftBehaviour(**{how: 1})
        async with (
            running(*servers) as sidecar,
            Caller(address(sidecar), Form.COMPACT) as caller,
        ):
            numbers = [caller.send("post", posting(f"p{at}", Form.COMPACT)) for at in range(5)]
            replies = [await caller.reply() for _ in numbers]
            assert [reply.seqid for reply in replies] == numbers
            kind, text = said(replies[0])
            assert (kind, text[:20]) == (6, "failed; may have run")
            assert [box_of(reply) for reply in replies[1:]] == ["box-0"] * 4
            assert set(servers[0].ran.values()) == {1}

    asyncio.run(main())


@pytest.mark.parametrize("how", ["die_mid_reply", "die_after", "wrong_seqid", "error"])
def test_a_failed_safe_call_is_retried(how):
    async def main():
        servers = boxes(2)
        setattr(servers[0].behaviour, how, 1)
        async with running(*servers) as sidecar, Caller(address(sidecar)) as caller:
            calls = 0
            while getattr(servers[0].behaviour, how):
                reply = await caller.call("balance")
                assert field_at(reply.body, reply.form, (0,)) == 120450
                calls += 1
                assert calls < 200
            assert sum(box.methods["balance"] for box in servers) == calls + 1

    asyncio.run(main())


def test_a_duplicate_reply_is_not_taken_for_that_of_the_next_call():
    async def main():
        servers = boxes(1)
        servers[0].behaviour.twice = 3
        async with running(*servers) as sidecar, Caller(address(sidecar)) as caller:
            for at in range(12):
                reply = await caller.call("post", posting(f"p{at}"))
                assert field_at(reply.body, reply.form, (0, 1)) == f"p{at}".encode()
            assert set(servers[0].ran.values()) == {1}

    asyncio.run(main())


def test_a_rejection_after_an_attempt_reports_that_the_call_may_have_run():
    async def main():
        servers = boxes(1)
        servers[0].behaviour.die_after = 3
        async with running(*servers) as sidecar, Caller(address(sidecar)) as caller:
            kind, text = said(await caller.call("balance"))
            assert servers[0].methods["balance"] >= 1
            assert "never ran" not in text
            assert "may have run" in text
            assert kind in (6, 11)

    asyncio.run(main())


def test_a_declared_exception_is_a_successful_reply():
    async def main():
        servers = boxes(1)
        servers[0].behaviour.declared = 1
        async with running(*servers) as sidecar, Caller(address(sidecar)) as caller:
            reply = await caller.call("post", posting("p"))
            assert reply.kind is MessageKind.REPLY
            assert field_at(reply.body, reply.form, (1, 1)) == b"the book is closed"
            assert sidecar.pools["boxes"].counts["ok"] == 1

    asyncio.run(main())


def test_calls_avoid_a_server_that_rejects_them():
    async def main():
        servers = boxes(3)
        servers[0].behaviour.decline = servers[1].behaviour.decline = True
        async with running(*servers) as sidecar, Caller(address(sidecar)) as caller:
            calls = 0
            while not sidecar.pools["boxes"].counts["full"]:
                assert box_of(await caller.call("post", posting(f"p{calls}"))) == "box-2"
                calls += 1
                assert calls < 200
            assert sum(servers[2].ran.values()) == calls
            assert not servers[0].ran

    asyncio.run(main())


def test_a_call_that_all_servers_reject_is_rejected_as_never_run():
    async def main():
        servers = boxes(2)
        for box in servers:
            box.behaviour.decline = True
        async with running(*servers) as sidecar, Caller(address(sidecar)) as caller:
            reply = await caller.call("post", posting("p"))
            kind, _ = said(reply)
            # The last rejection comes from a server and is passed on.
            assert kind == 11
            assert sum(box.declined for box in servers) >= 1
            assert not any(box.ran for box in servers)

    asyncio.run(main())


def test_a_call_without_a_server_is_rejected_as_retryable():
    async def main():
        servers = boxes(1)
        async with running(*servers) as sidecar, Caller(address(sidecar)) as caller:
            servers[0].stop()
            kind, text = said(await caller.call("post", posting("p")))
            assert kind == 11
            assert text.startswith("refused; never ran; retry-after-ms=")

    asyncio.run(main())


def test_a_call_that_times_out_is_reported_as_possibly_run():
    short = {
        "post": {"aim_ms": 100, "give_up_ms": 400, "oneway_ms": 5},
        "read": {"aim_ms": 2, "give_up_ms": 5},
    }
    classes = [kind | short.get(kind["name"], {}) for kind in CLASSES]

    async def main():
        servers = boxes(1)
        servers[0].behaviour.hang = True
        async with running(*servers, classes=classes) as sidecar, Caller(address(sidecar)) as caller:
            kind, text = said(await caller.call("post", posting("p")))
            assert (kind, text) == (12, "failed; may have run; no answer in time")
            # The deadline of a queued call passes while it waits, and the call is not sent.
            caller.send("post", posting("q"))
            caller.send("balance")
            first, second = said(await caller.reply()), said(await caller.reply())
            assert first[0] == 12
            assert (second[0], second[1][:18]) == (11, "refused; never ran")
            assert not servers[0].methods["balance"]

    asyncio.run(main())


BAD_CALLS = {
    "no route": ("unknown", b"\0", 1, "bad call; never ran; no route takes unknown"),
    "no key": ("record", b"\0", 7, "bad call; never ran; class move needs its key"),
    "an empty key": ("record", posting(""), 7, "bad call; never ran; class move needs its key"),
    "a body that is none": ("post", b"\x0b\0\1\xff\xff\xff\xff\0", 7, "bad call; never ran; a string of -1"),
    "more behind the body": ("post", posting("p") + b"x", 7, "bad call; never ran; 1 bytes stand behind"),
}


@pytest.mark.parametrize("name", list(BAD_CALLS))
def test_a_bad_call_is_rejected_and_its_connection_stays_usable(name):
    method, body, kind, text = BAD_CALLS[name]

    async def main():
        servers = boxes(1)
        async with running(*servers) as sidecar, Caller(address(sidecar)) as caller:
            found = said(await caller.call(method, body))
            assert found[0] == kind
            assert found[1].startswith(text)
            assert not servers[0].ran
            assert box_of(await caller.call("post", posting("after"))) == "box-0"

    asyncio.run(main())


UNREADABLE = {
    "HTTP": (b"POST /x HTTP/1.1\r\nHost: a\r\n\r\n", None),
    "THeader": (b"\0\0\0\x30\x0f\xff\0\0\0\0\0\1" + b"\0" * 40, "THeader is not supported"),
    "a frame of 2 GB": (b"\x7f\xff\xff\xff\x80\x01\0\1", "a frame of 2147483647 bytes"),
    "a reply": (b"\0\0\0\x0e\x80\x01\0\2\0\0\0\1m\0\0\0\1\0", "a reply is no call"),
}


@pytest.mark.parametrize("name", list(UNREADABLE))
def test_unreadable_input_closes_its_connection_after_one_error(name):
    data, expected_error = UNREADABLE[name]

    async def main():
        servers = boxes(1)
        async with running(*servers) as sidecar, Caller(address(sidecar)) as caller:
            caller.writer.write(data)
            if expected_error is not None:
                _, text = said(await caller.reply())
                assert expected_error in text
                assert text.startswith("bad call; never ran; ")
            assert await caller.ended()
            async with Caller(address(sidecar)) as other:
                assert box_of(await other.call("post", posting("p"))) == "box-0"

    asyncio.run(main())


def test_complete_calls_before_unreadable_input_are_answered():
    async def main():
        async with running(*boxes(1)) as sidecar, Caller(address(sidecar)) as caller:
            caller.send("post", posting("p1"))
            caller.send("post", posting("p2"))
            caller.writer.write(b"\x7f\xff\xff\xff")
            for at in ("p1", "p2"):
                reply = await caller.reply()
                assert field_at(reply.body, reply.form, (0, 1)) == at.encode()
            assert "a frame of 2147483647 bytes" in said(await caller.reply())[1]
            assert await caller.ended()

    asyncio.run(main())


def test_a_caller_that_disconnects_with_calls_in_flight_leaks_nothing():
    async def main():
        servers = boxes(1)
        servers[0].behaviour.hang = True
        async with running(*servers) as sidecar:
            pool = sidecar.pools["boxes"]
            async with Caller(address(sidecar)) as caller:
                for at in range(5):
                    caller.send("post", posting(f"p{at}"))
                await until(lambda: servers[0].ran)
            await until(lambda: not pool.requests and not sidecar.capacity.open)
            assert servers[0].ran == {"p0": 1}  # the queued calls were never sent
            await until(lambda: pool.back.size == 0)

    asyncio.run(main())


def test_a_drain_between_two_pipelined_calls_keeps_the_second_off_the_drained_server():
    async def main():
        servers = boxes(2)
        async with running(*servers) as sidecar, Caller(address(sidecar)) as caller:
            for box in servers:
                box.behaviour.work_ms = 50.0
            caller.send("post", posting("p0"))
            caller.send("post", posting("p1"))
            await until(lambda: sum(box.taken for box in servers) == 1)
            first = next(box for box in servers if box.taken)
            other = next(box for box in servers if not box.taken)
            data = shape(other)
            await sidecar.reload(configuration(data))
            assert box_of(await caller.reply()) == first.name
            assert box_of(await caller.reply()) == other.name

    asyncio.run(main())


def test_a_slow_reader_blocks_no_upstream_connection_and_buffers_few_replies():
    async def main():
        servers = boxes(1)
        text = b"x" * 400_000
        body = body_of(Form.BINARY, [(1, t.STRING, text)])
        async with running(*servers) as sidecar:
            reader = Caller(address(sidecar))
            await reader.__aenter__()
            reader.writer.transport.pause_reading()
            for _ in range(40):
                reader.send("echo", body)
            pool = sidecar.pools["boxes"]
            # Serving stops once replies are no longer read, and the connection to the server is free again.
            served = -1

            def settled() -> bool:
                nonlocal served
                before, served = served, servers[0].served
                return before == served > 0 and not pool.requests

            for _ in range(20):
                await until(settled)
            assert servers[0].served < 40
            async with Caller(address(sidecar)) as other:
                assert box_of(await other.call("post", posting("p"))) == "box-0"
            assert len(servers[0].connections) <= 2
            (connection,) = (
                one
                for one in sidecar.listeners["application"].front.server.connections
                if one._write_buffer_full
            )
            assert connection._transport.get_write_buffer_size() < 2 * len(text)
            reader.writer.transport.resume_reading()
            for _ in range(40):
                reply = await reader.reply()
                assert field_at(reply.body, reply.form, (0,)) == text
            await reader.__aexit__()

    asyncio.run(main())


def test_a_known_tenant_is_read_from_a_field():
    async def main():
        servers = boxes(1)
        more = {
            "tenants": [{"name": "imports", "quota_per_s": 100}, {"name": "hotels", "quota_per_s": 100}],
            "listeners": [
                {
                    "name": "application",
                    "address": "127.0.0.1:0",
                    "protocol": "thrift",
                    "tenant": "hotels",
                    "tenant_field": "1.3",
                }
            ],
        }
        async with running(*servers, **more) as sidecar, Caller(address(sidecar)) as caller:
            pool = sidecar.pools["boxes"]
            tenants: list[str | None] = []
            original_handle = pool.handle

            def record_tenant(event: object) -> None:
                if hasattr(event, "tenant"):
                    tenants.append(event.tenant)
                original_handle(event)

            pool.handle = record_tenant
            for tenant in ("imports", "nobody", ""):
                await caller.call("post", posting("p" + tenant, tenant=tenant))
            assert tenants == ["imports", "hotels", "hotels"]

    asyncio.run(main())


def test_keyed_calls_keep_their_key_and_are_retried():
    async def main():
        servers = boxes(2)
        servers[0].behaviour.die_after = 1
        async with running(*servers) as sidecar, Caller(address(sidecar)) as caller:
            calls = 0
            while servers[0].behaviour.die_after:
                assert box_of(await caller.call("record", posting(f"k{calls}"))) in ("box-0", "box-1")
                calls += 1
                assert calls < 200
            # The servers deduplicate by the key, so a repeat does not run.
            assert sum(sum(box.ran.values()) for box in servers) == calls + 1

    asyncio.run(main())


def test_counts_match_the_replies_to_callers():
    async def main():
        servers = boxes(1)
        async with running(*servers) as sidecar, Caller(address(sidecar)) as caller:
            await caller.call("post", posting("p"))
            await caller.call("unknown")
            counts = sidecar.listeners["application"].front.counts
            assert counts == Counter({"taken": 2, "answered reply": 1, "own bad call": 1})

    asyncio.run(main())


def test_connections_of_callers_use_tcp_nodelay():
    async def main():
        async with running(*boxes(1)) as sidecar, Caller(address(sidecar)) as caller:
            await caller.call("balance")
            (connection,) = sidecar.listeners["application"].front.server.connections
            raw = connection._transport.get_extra_info("socket")
            assert raw.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY) == 1

    asyncio.run(main())
