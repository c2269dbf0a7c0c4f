"""Oneway calls: sent at most once unless known not to have been sent, counted while they run, drained, unanswered."""

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


def test_a_oneway_call_gets_no_reply_and_does_not_hold_up_the_next():
    async def main():
        around = boxes(1)
        async with running(*around) as sidecar, Caller(address(sidecar)) as caller:
            for at in range(3):
                caller.send("note", posting(f"n{at}"), ONEWAY)
            number = caller.send("post", posting("p"))
            reply = await caller.reply()
            assert (reply.seqid, box_of(reply)) == (number, "box-0")
            await until(lambda: around[0].methods["note"] == 3)
            assert set(around[0].ran.values()) == {1}
            assert counts(sidecar)["oneway sent"] == 3

    asyncio.run(main())


def test_a_flood_of_oneway_calls_is_refused_in_silence_as_any_other():
    """They count for the module while they are taken to run; each is sent once or refused."""
    classes = [kind | ({"oneway_ms": 10_000} if kind["name"] == "post" else {}) for kind in CLASSES]

    async def main():
        around = boxes(1)
        async with running(*around, classes=classes) as sidecar, Caller(address(sidecar)) as caller:
            for at in range(300):
                caller.send("note", posting(f"n{at}"), ONEWAY)
            found = counts(sidecar)
            await until(lambda: found["oneway sent"] + found["oneway refused"] == 300)
            assert found["oneway refused"] > 0
            await until(lambda: sum(around[0].ran.values()) == found["oneway sent"])
            assert set(around[0].ran.values()) == {1}

    asyncio.run(main())


def test_a_oneway_call_counts_as_in_flight_for_as_long_as_it_is_taken_to_run():
    classes = [kind | ({"oneway_ms": 10_000} if kind["name"] == "post" else {}) for kind in CLASSES]

    async def main():
        around = boxes(1)
        async with running(*around, classes=classes) as sidecar, Caller(address(sidecar)) as caller:
            pool = sidecar.pools["boxes"]
            caller.send("note", posting("n"), ONEWAY)
            await until(lambda: around[0].ran)
            assert sidecar.capacity.open == 0  # over for its caller
            assert [len(peer.pending) for peer in pool.balancer.peers.values()] == [1]
            # Its connection carries nothing else meanwhile: the next call has one of its own.
            assert box_of(await caller.call("post", posting("p"))) == "box-0"
            assert around[0].accepted == 2

    asyncio.run(main())


def test_its_time_over_it_counts_as_done():
    async def main():
        around = boxes(1)
        async with running(*around) as sidecar, Caller(address(sidecar)) as caller:
            pool = sidecar.pools["boxes"]
            caller.send("note", posting("n"), ONEWAY)
            await until(lambda: pool.counts["ok"] == 1)
            assert [len(peer.pending) for peer in pool.balancer.peers.values()] == [0]
            assert not pool.requests
            assert box_of(await caller.call("post", posting("p"))) == "box-0"
            assert around[0].accepted == 1  # the same connection

    asyncio.run(main())


@pytest.mark.parametrize("how", ["die_before", "die_after", "answer_oneway"])
def test_once_sent_it_is_never_sent_again_whatever_becomes_of_the_box(how):
    """Whether its box died before it ran, while it ran or after can't be told from here."""

    async def main():
        around = boxes(3)
        for box in around:
            setattr(box.behaviour, how, 100)
        async with running(*around) as sidecar, Caller(address(sidecar)) as caller:
            for at in range(10):
                caller.send("note", posting(f"n{at}"), ONEWAY)
            await until(lambda: counts(sidecar)["oneway sent"] == 10)
            pool = sidecar.pools["boxes"]
            await until(lambda: pool.counts["reset"] == 10 and not pool.requests)
            assert sum(box.taken for box in around) == 10
            ran = [times for box in around for times in box.ran.values()]
            assert ran == ([] if how == "die_before" else [1] * 10)
            # What a box says to it is no reply to the next call.
            for box in around:
                setattr(box.behaviour, how, 0)
            assert box_of(await caller.call("post", posting("p"))).startswith("box-")

    asyncio.run(main())


def test_known_not_to_have_been_sent_it_goes_to_another_box():
    async def main():
        around = boxes(2)
        async with running(*around) as sidecar, Caller(address(sidecar)) as caller:
            around[0].stop()
            for at in range(10):
                caller.send("note", posting(f"n{at}"), ONEWAY)
            await until(lambda: sum(around[1].ran.values()) == 10)
            assert set(around[1].ran.values()) == {1}

    asyncio.run(main())


def test_refused_it_is_counted_and_nothing_is_said():
    async def main():
        around = boxes(1)
        async with running(*around) as sidecar, Caller(address(sidecar)) as caller:
            around[0].stop()
            caller.send("note", posting("n"), ONEWAY)
            caller.send("nothing", posting("n"), ONEWAY)
            number = caller.send("post", posting("p"))
            reply = await caller.reply()
            assert (reply.seqid, reply.kind) == (number, MessageKind.EXCEPTION)
            assert counts(sidecar)["oneway refused"] == 1
            assert counts(sidecar)["oneway bad call"] == 1

    asyncio.run(main())


def test_a_caller_that_leaves_after_oneway_calls_has_done_its_part():
    async def main():
        around = boxes(1)
        around[0].behaviour.work_ms = 30.0
        async with running(*around) as sidecar:
            async with Caller(address(sidecar)) as caller:
                caller.send("post", posting("given-up"))
                for at in range(5):
                    caller.send("note", posting(f"n{at}"), ONEWAY)
                await caller.writer.drain()
                await until(lambda: "given-up" in around[0].ran)
            await until(lambda: around[0].methods["note"] == 5)
            assert set(around[0].ran.values()) == {1}
            await until(lambda: not sidecar.pools["boxes"].requests)

    asyncio.run(main())


def test_a_drained_box_gets_no_new_oneway_call_and_keeps_what_it_has():
    classes = [kind | ({"oneway_ms": 40} if kind["name"] == "post" else {}) for kind in CLASSES]

    async def main():
        around = boxes(2)
        for box in around:
            box.behaviour.work_ms = 20.0
        async with running(*around, classes=classes) as sidecar, Caller(address(sidecar)) as caller:
            found, sent = counts(sidecar), 0

            async def some(mark: str) -> None:
                """Calls until ten have been sent."""
                nonlocal sent
                goal = found["oneway sent"] + 10
                while found["oneway sent"] < goal:
                    sent += 1
                    caller.send("note", posting(f"{mark}{sent}"), ONEWAY)
                    goes = sent
                    await until(lambda goes=goes: found["oneway sent"] + found["oneway refused"] == goes)

            await some("n")
            await sidecar.reload(configuration(shape(around[1], classes=classes)))
            taken = around[0].taken
            held = found["oneway sent"]
            await some("m")
            await until(lambda: sum(sum(box.ran.values()) for box in around) == held + 10)
            assert {times for box in around for times in box.ran.values()} == {1}
            await until(lambda: around[0].served == around[0].taken)
            assert not any(name.startswith("m") for name in around[0].ran)
            assert around[0].taken >= taken

    asyncio.run(main())


def test_of_a_large_oneway_call_cut_off_before_its_last_byte_nothing_has_run_and_it_is_sent_again():
    async def main():
        around = boxes(2)
        body = posting("x" * 900_000)
        async with running(*around) as sidecar, Caller(address(sidecar)) as caller:
            # The first box takes its connections and reads nothing, then dies.
            held: list[asyncio.StreamWriter] = []

            def take(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
                writer.transport.pause_reading()
                held.append(writer)

            deaf = await asyncio.start_server(take, "127.0.0.1", 0, limit=1024)
            port = deaf.sockets[0].getsockname()[1]
            data = shape(*around)
            data["pools"][0]["list"]["servers"] = [{"id": "deaf", "address": f"127.0.0.1:{port}"}]
            await sidecar.reload(configuration(data))
            sent = 0
            while not held or sidecar.pools["boxes"].requests == {}:
                sent += 1
                caller.send("note", body, ONEWAY)
                try:
                    async with asyncio.timeout(1.0):
                        while counts(sidecar)["oneway sent"] < sent:
                            await asyncio.sleep(0.005)
                except TimeoutError:
                    break  # this one has not left whole, and won't
            data["pools"][0]["list"]["servers"].append({"id": "box-1", "address": around[1].endpoint})
            before = counts(sidecar)["oneway sent"]
            await sidecar.reload(configuration(data))
            for writer in held:
                writer.transport.abort()
            await until(lambda: sum(around[1].ran.values()) == sent - before)
            assert set(around[1].ran.values()) <= {1}
            deaf.close()

    asyncio.run(main())
