"""Oneway calls: no reply, resent only if known not to have been sent, counted as in flight, and drained."""

from __future__ import annotations

import asyncio

import pytest
from beside import configuration
from loopback import until
from thrifty import CLASSES, Caller, address, box_of, boxes, posting, running, shape

from loadbalancer.thrift.types import MessageKind

ONEWAY = MessageKind.ONEWAY


def counts(sidecar):
    return sidecar.listeners["application"].front.counts


def test_a_oneway_call_gets_no_reply_and_does_not_delay_the_next_call():
    async def main():
        servers = boxes(1)
        async with running(*servers) as sidecar, Caller(address(sidecar)) as caller:
            for at in range(3):
                caller.send("note", posting(f"n{at}"), ONEWAY)
            number = caller.send("post", posting("p"))
            reply = await caller.reply()
            assert (reply.seqid, box_of(reply)) == (number, "box-0")
            await until(lambda: servers[0].methods["note"] == 3)
            assert set(servers[0].ran.values()) == {1}
            assert counts(sidecar)["oneway sent"] == 3

    asyncio.run(main())


def test_a_flood_of_oneway_calls_is_rejected_without_a_reply():
    """Oneway calls count as in flight while they are assumed to run; each is sent once or rejected."""
    classes = [kind | ({"oneway_ms": 10_000} if kind["name"] == "post" else {}) for kind in CLASSES]

    async def main():
        servers = boxes(1)
        async with running(*servers, classes=classes) as sidecar, Caller(address(sidecar)) as caller:
            for at in range(300):
                caller.send("note", posting(f"n{at}"), ONEWAY)
            tallies = counts(sidecar)
            await until(lambda: tallies["oneway sent"] + tallies["oneway refused"] == 300)
            assert tallies["oneway refused"] > 0
            await until(lambda: sum(servers[0].ran.values()) == tallies["oneway sent"])
            assert set(servers[0].ran.values()) == {1}

    asyncio.run(main())


def test_a_oneway_call_counts_as_in_flight_while_it_is_assumed_to_run():
    classes = [kind | ({"oneway_ms": 10_000} if kind["name"] == "post" else {}) for kind in CLASSES]

    async def main():
        servers = boxes(1)
        async with running(*servers, classes=classes) as sidecar, Caller(address(sidecar)) as caller:
            pool = sidecar.pools["boxes"]
            caller.send("note", posting("n"), ONEWAY)
            await until(lambda: servers[0].ran)
            assert sidecar.capacity.open == 0  # finished for its caller
            assert [len(peer.pending) for peer in pool.balancer.servers_by_address.values()] == [1]
            # Its connection carries no other call meanwhile, so the next call opens another one.
            assert box_of(await caller.call("post", posting("p"))) == "box-0"
            assert servers[0].accepted == 2

    asyncio.run(main())


def test_a_oneway_call_counts_as_done_after_its_assumed_run_time():
    async def main():
        servers = boxes(1)
        async with running(*servers) as sidecar, Caller(address(sidecar)) as caller:
            pool = sidecar.pools["boxes"]
            caller.send("note", posting("n"), ONEWAY)
            await until(lambda: pool.counts["ok"] == 1)
            assert [len(peer.pending) for peer in pool.balancer.servers_by_address.values()] == [0]
            assert not pool.requests
            assert box_of(await caller.call("post", posting("p"))) == "box-0"
            assert servers[0].accepted == 1  # the same connection

    asyncio.run(main())


@pytest.mark.parametrize("how", ["die_before", "die_after", "answer_oneway"])
def test_a_sent_oneway_call_is_not_resent_when_its_server_fails(how):
    """The client can't know whether the server failed before, while or after the call ran."""

    async def main():
        servers = boxes(3)
        for box in servers:
            setattr(box.behaviour, how, 100)
        async with running(*servers) as sidecar, Caller(address(sidecar)) as caller:
            for at in range(10):
                caller.send("note", posting(f"n{at}"), ONEWAY)
            await until(lambda: counts(sidecar)["oneway sent"] == 10)
            pool = sidecar.pools["boxes"]
            await until(lambda: pool.counts["reset"] == 10 and not pool.requests)
            assert sum(box.taken for box in servers) == 10
            ran = [times for box in servers for times in box.ran.values()]
            assert ran == ([] if how == "die_before" else [1] * 10)
            # A reply to a oneway call is not taken for the reply to the next call.
            for box in servers:
                setattr(box.behaviour, how, 0)
            assert box_of(await caller.call("post", posting("p"))).startswith("box-")

    asyncio.run(main())


def test_an_unsent_oneway_call_goes_to_another_server():
    async def main():
        servers = boxes(2)
        async with running(*servers) as sidecar, Caller(address(sidecar)) as caller:
            servers[0].stop()
            for at in range(10):
                caller.send("note", posting(f"n{at}"), ONEWAY)
            await until(lambda: sum(servers[1].ran.values()) == 10)
            assert set(servers[1].ran.values()) == {1}

    asyncio.run(main())


def test_a_rejected_oneway_call_is_counted_and_gets_no_reply():
    async def main():
        servers = boxes(1)
        async with running(*servers) as sidecar, Caller(address(sidecar)) as caller:
            servers[0].stop()
            caller.send("note", posting("n"), ONEWAY)
            caller.send("nothing", posting("n"), ONEWAY)
            number = caller.send("post", posting("p"))
            reply = await caller.reply()
            assert (reply.seqid, reply.kind) == (number, MessageKind.EXCEPTION)
            assert counts(sidecar)["oneway refused"] == 1
            assert counts(sidecar)["oneway bad call"] == 1

    asyncio.run(main())


def test_oneway_calls_run_after_their_caller_has_disconnected():
    async def main():
        servers = boxes(1)
        servers[0].behaviour.work_ms = 30.0
        async with running(*servers) as sidecar:
            async with Caller(address(sidecar)) as caller:
                caller.send("post", posting("given-up"))
                for at in range(5):
                    caller.send("note", posting(f"n{at}"), ONEWAY)
                await caller.writer.drain()
                await until(lambda: "given-up" in servers[0].ran)
            await until(lambda: servers[0].methods["note"] == 5)
            assert set(servers[0].ran.values()) == {1}
            await until(lambda: not sidecar.pools["boxes"].requests)

    asyncio.run(main())


def test_a_drained_server_gets_no_new_oneway_calls_and_finishes_those_in_flight():
    classes = [kind | ({"oneway_ms": 40} if kind["name"] == "post" else {}) for kind in CLASSES]

    async def main():
        servers = boxes(2)
        for box in servers:
            box.behaviour.work_ms = 20.0
        async with running(*servers, classes=classes) as sidecar, Caller(address(sidecar)) as caller:
            tallies, sent = counts(sidecar), 0

            async def send_ten(mark: str) -> None:
                """Send calls until ten of them have been passed on."""
                nonlocal sent
                goal = tallies["oneway sent"] + 10
                while tallies["oneway sent"] < goal:
                    sent += 1
                    caller.send("note", posting(f"{mark}{sent}"), ONEWAY)
                    count = sent
                    await until(
                        lambda count=count: tallies["oneway sent"] + tallies["oneway refused"] == count
                    )

            await send_ten("n")
            await sidecar.reload(configuration(shape(servers[1], classes=classes)))
            taken_before = servers[0].taken
            sent_before = tallies["oneway sent"]
            await send_ten("m")
            await until(lambda: sum(sum(box.ran.values()) for box in servers) == sent_before + 10)
            assert {times for box in servers for times in box.ran.values()} == {1}
            await until(lambda: servers[0].served == servers[0].taken)
            assert not any(name.startswith("m") for name in servers[0].ran)
            assert servers[0].taken >= taken_before

    asyncio.run(main())


def test_a_oneway_call_cut_off_before_its_last_byte_is_resent():
    async def main():
        servers = boxes(2)
        body = posting("x" * 900_000)
        async with running(*servers) as sidecar, Caller(address(sidecar)) as caller:
            # The first server accepts connections and reads nothing, then resets them.
            sent_before: list[asyncio.StreamWriter] = []

            def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
                writer.transport.pause_reading()
                sent_before.append(writer)

            stalled_server = await asyncio.start_server(accept, "127.0.0.1", 0, limit=1024)
            port = stalled_server.sockets[0].getsockname()[1]
            data = shape(*servers)
            data["pools"][0]["list"]["servers"] = [{"id": "deaf", "address": f"127.0.0.1:{port}"}]
            await sidecar.reload(configuration(data))
            sent = 0
            while not sent_before or sidecar.pools["boxes"].requests == {}:
                sent += 1
                caller.send("note", body, ONEWAY)
                try:
                    async with asyncio.timeout(1.0):
                        while counts(sidecar)["oneway sent"] < sent:
                            await asyncio.sleep(0.005)
                except TimeoutError:
                    break  # this call is not written completely, and won't be
            data["pools"][0]["list"]["servers"].append({"id": "box-1", "address": servers[1].endpoint})
            before = counts(sidecar)["oneway sent"]
            await sidecar.reload(configuration(data))
            for writer in sent_before:
                writer.transport.abort()
            await until(lambda: sum(servers[1].ran.values()) == sent - before)
            assert set(servers[1].ran.values()) <= {1}
            stalled_server.close()

    asyncio.run(main())
