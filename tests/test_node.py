"""The node over loopback: requests, responses, events of the decision module, and the server list."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import os
import select
import socket
import time

import pytest
from loopback import (
    BlockedServer,
    Caller,
    Discovery,
    Peer,
    ScriptedBalancer,
    ask,
    config,
    listing,
    reply,
    request,
    running,
    until,
)

from loadbalancer import interface as api
from loadbalancer.core import pool as pool_module
from loadbalancer.core.clock import Clock
from loadbalancer.discovery.watcher import ServerListUpdate
from loadbalancer.overload.turns import Turns


def send_to(*names):
    """Return a scripted decision: send each request to the first server, and after each failure to the next."""
    sent_counts = {}

    def act(event):
        if isinstance(event, api.Request) or (isinstance(event, api.Outcome) and not event.done):
            at = sent_counts[event.id] = sent_counts.get(event.id, -1) + 1
            return [api.Send(event.id, names[at])] if at < len(names) else [api.Fail(event.id)]
        return []

    return act


def test_a_request_is_forwarded_unchanged_and_its_response_returned():
    async def main():
        async def script(message):
            return reply(200, b"posted", Srv_Load="TEXT inflight=7, queue=3, util=0.61")

        server = Peer(script)
        async with running(server) as node:
            answer = await ask(
                node, request("post", "q7", b'{"a":1}', Req_Deadline_Ms="9000", Idempotency_Key="k1")
            )
            assert (answer.status, answer.body) == (200, b"posted")
            seen = server.seen[0]
            assert seen.first == ["POST", "/post/7f3a?x=1", "HTTP/1.1"]
            assert seen.body == b'{"a":1}'
            assert (seen.headers["req-id"], seen.headers["idempotency-key"]) == ("q7", "k1")
            assert 0 < int(seen.headers["req-deadline-ms"]) < 9000
            assert node.pool.balancer.servers_by_address["s0"].reported_queue == 3
            assert node.pool.requests == {}

    asyncio.run(main())


def test_the_balancer_receives_the_headers_of_the_request():
    async def main():
        async with running(Peer()) as node:
            node.pool.balancer = scripted = ScriptedBalancer(lambda event: [api.Refuse(event.id, 250.0)])
            before = node.clock.ms()
            answer = await ask(
                node,
                request(Req_Owner="acme", Req_Retry="1", Req_Cost="1500", Req_Deadline_Ms="5000"),
            )
            assert (answer.status, answer.headers["retry-after"]) == (503, "0.250")
            received = scripted.of(api.Request)[0]
            assert (received.service, received.tenant, received.is_retry, received.cost_hint_ms) == (
                "read",
                "acme",
                True,
                1.5,
            )
            assert received.give_up_at_ms < node.clock.ms() + 5000  # less the time on the network
            assert received.give_up_at_ms > before + 4900

    asyncio.run(main())


@pytest.mark.parametrize("kind", ["post", "read"])
def test_only_the_balancer_retries_requests(kind):
    async def main():
        async def script(message):
            return None if len(server.seen) == 2 else reply()

        server = Peer(script)
        async with running(server) as node:
            node.pool.balancer = scripted = ScriptedBalancer(send_to("s0"))
            assert (await ask(node, request(kind, "q1"))).status == 200
            await until(lambda: node.back._servers["s0"].idle)  # idle after the response
            assert (await ask(node, request(kind, "q2"))).status == 502  # sent on the idle connection
            assert (server.connections, len(server.seen)) == (1, 2)
            assert [event.result for event in scripted.of(api.Outcome)] == [api.Result.OK, api.Result.RESET]

    asyncio.run(main())


def test_an_unsafe_request_that_may_have_run_fails_and_a_declined_one_is_retried():
    async def main():
        async def script(message):
            return reply(503, Srv_Declined="1") if message.headers["req-id"] == "q1" else reply(500)

        first, second = Peer(script), Peer(script)
        async with running(first, second) as node:
            assert (await ask(node, request("post", "q1"))).status == 503
            assert len(first.seen) == len(second.seen) == 1
            assert (await ask(node, request("post", "q2"))).status == 502
            assert len(first.seen) + len(second.seen) == 3

    asyncio.run(main())


def test_a_send_over_the_attempt_limit_or_for_an_ended_request_is_moot():
    async def main():
        async def script(message):
            return reply(500)

        server = Peer(script)
        async with running(server) as node:

            def act(event):
                moot = isinstance(event, api.Outcome) and event.result is api.Result.MOOT
                if isinstance(event, api.Request | api.Outcome):
                    return [api.Fail(event.id)] if moot else [api.Send(event.id, "s0")]
                return []

            node.pool.balancer = scripted = ScriptedBalancer(act)
            assert (await ask(node, request())).status == 502
            assert len(server.seen) == 3
            outcomes = scripted.of(api.Outcome)
            assert [event.attempt for event in outcomes] == [0, 1, 2, 3]
            assert outcomes[-1].result is api.Result.MOOT
            node.pool.balancer = scripted = ScriptedBalancer()
            node.pool.act(api.Send("q1", "s0"))
            assert [(event.result, event.done) for event in scripted.of(api.Outcome)] == [
                (api.Result.MOOT, True)
            ]
            assert len(server.seen) == 3

    asyncio.run(main())


def test_a_disconnect_lapses_the_request_and_its_attempt_still_gets_an_outcome():
    async def main():
        server = BlockedServer()
        async with running(server) as node:
            caller = await Caller.to(node)
            caller.writer.write(request())
            await until(lambda: server.seen)
            assert node.pool.balancer.servers_by_address["s0"].load == 1.0
            caller.writer.close()
            await until(lambda: not node.pool.requests)
            await until(lambda: node.pool.balancer.servers_by_address["s0"].load == 0.0)
            assert node.pool.capacity.open == 0

    asyncio.run(main())


def test_the_slower_of_two_attempts_gets_its_outcome_after_the_request_has_ended():
    async def main():
        server = BlockedServer()
        async with running(server, Peer()) as node:

            def act(event):
                if isinstance(event, api.Request):
                    return [api.Send(event.id, "s0"), api.Send(event.id, "s1")]
                return []

            node.pool.balancer = scripted = ScriptedBalancer(act)
            assert (await ask(node, request())).body == b"done"
            server.release.set()
            await until(lambda: not node.pool.requests)
            outcomes = scripted.of(api.Outcome)
            assert [(event.attempt, event.done) for event in outcomes] == [(1, True), (0, True)]

    asyncio.run(main())


@pytest.mark.parametrize("kind", [api.Request, api.Outcome])
def test_an_exception_in_the_balancer_leaves_no_request_unanswered(kind):
    async def main():
        async with running(Peer(lambda message: asyncio.sleep(0, reply(500)))) as node:

            def act(event):
                if isinstance(event, kind):
                    raise RuntimeError("broken")
                return [api.Send(event.id, "s0")] if isinstance(event, api.Request) else []

            node.pool.balancer = scripted = ScriptedBalancer(act)
            assert (await ask(node, request())).status == 500
            assert scripted.of(api.Lapsed)
            assert not node.pool.requests
            assert node.server.ready

    asyncio.run(main())


def test_an_exception_on_an_alarm_does_not_stop_the_timer(monkeypatch):
    async def main():
        monkeypatch.setattr(pool_module, "FAULT_PAUSE_S", 0.01)

        def act(event):
            if isinstance(event, api.Alarm) and len(scripted.of(api.Alarm)) == 1:
                raise RuntimeError("broken")
            return []

        async with running(Peer()) as node:
            node.pool.balancer = scripted = ScriptedBalancer(act)
            node.pool.act(api.Wake(1.0, "tick"))
            await until(lambda: len([event for event in scripted.of(api.Alarm) if event.name == "tick"]) == 2)

    asyncio.run(main())


def test_a_request_without_a_decision_is_answered_at_its_deadline():
    async def main():
        async with running(Peer()) as node:
            node.pool.balancer = scripted = ScriptedBalancer()
            assert (await ask(node, request(Req_Deadline_Ms="200"))).status == 504
            assert [event.id for event in scripted.of(api.Lapsed)] == ["q1"]

    asyncio.run(main())


def test_the_deadline_of_a_request_limits_the_timeout_of_its_attempts():
    async def main():
        async with running(BlockedServer()) as node:

            def act(event):
                if isinstance(event, api.Request):
                    return [api.Send(event.id, "s0", 60_000.0)]
                return [api.Fail(event.id)] if isinstance(event, api.Outcome) else []

            node.pool.balancer = scripted = ScriptedBalancer(act)
            assert (await ask(node, request(Req_Deadline_Ms="300"))).status == 504
            # The timeout of the attempt came first, not the node's own deadline timer.
            assert [event.result for event in scripted.of(api.Outcome)] == [api.Result.TIMEOUT]
            assert not scripted.of(api.Lapsed)

    asyncio.run(main())


BIG = b"x" * 65537


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"nonsense\r\n\r\n", 400),
        (b"GET /read/1 HTTP/1.1\r\nbad header\r\n\r\n", 400),
        (b"GET /read/1 HTTP/1.1\r\nHost: x\r\n\r\n", 400),  # no id
        (request(Req_Deadline_Ms="soon"), 400),
        (request(Req_Deadline_Ms="-5"), 400),
        (request(X_Long="y" * 20_000), 400),
        (b"GET /read/1 HTTP/1.1\r\nX-Endless: " + b"y" * 200_000, 400),
        (request("move"), 400),  # no key
        (request("other"), 404),
        (b"GET / HTTP/1.1\r\nReq-Id: q\r\n\r\n", 404),
        (request().replace(b"GET", b"POST"), 405),
        (request("post", body=BIG), 413),
        (b"POST /post/1 HTTP/1.1\r\nReq-Id: q\r\nContent-Length: 99999999\r\n\r\n", 413),
        (
            b"POST /post/1 HTTP/1.1\r\nReq-Id: q\r\nTransfer-Encoding: chunked\r\n\r\n10001\r\n"
            + BIG
            + b"\r\n0\r\n\r\n",
            413,
        ),
    ],
)
def test_invalid_requests_are_answered_and_never_reach_the_balancer(data, status):
    async def main():
        async with running(Peer()) as node:
            node.pool.balancer = scripted = ScriptedBalancer()
            assert (await ask(node, data)).status == status
            assert not scripted.of(api.Request)
            assert not node.pool.requests

    asyncio.run(main())


def test_a_body_of_64_kib_and_a_chunked_body_are_forwarded():
    async def main():
        server = Peer()
        async with running(server) as node:
            assert (await ask(node, request("post", "q1", b"x" * 65536))).status == 200
            chunked = b"POST /post/1 HTTP/1.1\r\nReq-Id: q2\r\nTransfer-Encoding: chunked\r\n\r\n"
            assert (await ask(node, chunked + b"3\r\nabc\r\n0\r\n\r\n")).status == 200
            assert [len(message.body) for message in server.seen] == [65536, 3]

    asyncio.run(main())


def test_a_duplicate_id_in_flight_is_rejected():
    async def main():
        server = BlockedServer()
        async with running(server) as node:
            first = asyncio.create_task(ask(node, request("post", "q1")))
            await until(lambda: server.seen)
            assert (await ask(node, request("post", "q1"))).status == 400
            server.release.set()
            assert (await first).status == 200
            assert len(server.seen) == 1

    asyncio.run(main())


def test_pipelined_requests_are_answered_in_order():
    async def main():
        async with running(Peer(lambda message: asyncio.sleep(0, reply(200, message.body)))) as node:
            caller = await Caller.to(node)
            caller.writer.write(b"".join(request("post", f"q{at}", b"%d" % at) for at in range(5)))
            assert [(await caller.answer()).body for _ in range(5)] == [b"0", b"1", b"2", b"3", b"4"]
            assert (await caller.ask(request("post", "q9", b"9"))).body == b"9"
            caller.writer.close()

    asyncio.run(main())


def test_more_open_requests_than_allowed_are_rejected_at_once():
    async def main():
        server = BlockedServer()
        async with running(server, bounds={"maxOpen": 1}) as node:
            first = asyncio.create_task(ask(node, request(name="q1")))
            await until(lambda: server.seen)
            assert (await ask(node, request(name="q2"))).status == 503
            server.release.set()
            assert (await first).status == 200
            assert len(server.seen) == 1

    asyncio.run(main())


def test_a_flood_of_connections_stays_within_the_limit_and_all_are_accepted():
    async def main():
        async with running(Peer(), limits={"sockets": 132}) as node:
            callers = [await Caller.to(node) for _ in range(200)]
            await until(lambda: len(node.server.connections) <= node.server.limit)
            assert node.server.limit == 67
            assert (await callers[-1].ask(request())).status == 200
            for caller in callers:
                caller.writer.close()

    asyncio.run(main())


def test_a_burst_of_connections_stays_within_the_descriptor_limit_while_it_is_accepted():
    async def main():
        async with running(Peer(), limits={"sockets": 132}) as node, contextlib.AsyncExitStack() as stack:
            before = len(os.listdir("/proc/self/fd"))
            # All connections are in the accept queue before the event loop runs again.
            burst = [stack.enter_context(socket.create_connection(node.server.address)) for _ in range(200)]
            burst[-1].sendall(request())
            peak = 0
            async with asyncio.timeout(20):
                while not select.select([burst[-1]], [], [], 0)[0]:
                    peak = max(peak, len(os.listdir("/proc/self/fd")) - before - len(burst))
                    await asyncio.sleep(0)
            assert burst[-1].recv(12) == b"HTTP/1.1 200"
            assert node.server.limit <= peak <= 100

    asyncio.run(main())


def test_busy_connections_over_the_limit_are_rejected_at_once_and_closed():
    async def main():
        async with running(Peer(), limits={"sockets": 132}) as node:
            node.pool.balancer = scripted = ScriptedBalancer()  # leaves every request open
            callers = [await Caller.to(node) for _ in range(node.server.limit)]
            for at, caller in enumerate(callers):
                caller.writer.write(request(name=f"q{at}"))
            await until(lambda: node.pool.capacity.open == len(callers))
            late = await ask(node, request(name="late"))
            assert (late.status, late.headers["connection"]) == (503, "close")
            assert len(scripted.of(api.Request)) == len(callers)
            await until(lambda: len(node.server.connections) == len(callers))
            for at, caller in enumerate(callers):
                node.pool.act(api.Refuse(f"q{at}"))
                assert (await caller.answer()).status == 503
                caller.writer.close()

    asyncio.run(main())


def test_a_request_takes_the_slot_of_a_connection_that_has_just_become_idle():
    """Guard: connections idle for under 2 s used up the limit, and requests were rejected."""

    async def main():
        async with running(Peer(), limits={"sockets": 132}) as node:
            callers = [await Caller.to(node) for _ in range(node.server.limit)]
            for at, caller in enumerate(callers):
                assert (await caller.ask(request(name=f"q{at}"))).status == 200
            late = await Caller.to(node)
            await until(
                lambda: len(node.server.connections) > node.server.limit
            )  # accepted over the limit, before it has sent a request
            assert (await late.ask(request(name="late"))).status == 200
            assert node.pool.counts["over the limit"] == 0
            assert await callers[0].reader.read() == b""  # the longest idle one was closed
            assert (await callers[1].ask(request(name="again"))).status == 200
            for caller in [*callers, late]:
                caller.writer.close()

    asyncio.run(main())


def test_the_list_reaches_the_balancer_as_cached_full_delta_and_failed():
    async def main():
        server = Peer()
        await server.start()
        discovery = Discovery(
            listing(5, True, s1=(server.endpoint, "Ready")),
            listing(6, False, s1=(server.endpoint, "Terminating"), s2=(server.endpoint, "Ready")),
            reply(503),
        )
        async with running(Peer(), discovery=discovery) as node:
            node.pool.balancer = scripted = ScriptedBalancer()
            # The first action of the balancer, on the cached list, was to start a watch.
            await until(lambda: len(scripted.of(api.Membership)) == 3)
            forms = [event.form for event in scripted.of(api.Membership)]
            assert forms == [api.ListForm.FULL, api.ListForm.DELTA, api.ListForm.FAILED]
            assert set(node.back._servers) == {"s2"}
            queries = [message.first[1] for message in discovery.seen]
            assert [query.split("?")[1].split("&")[0] for query in queries] == [
                "since=1",
                "since=5",
                "since=6",
            ]
            assert discovery.connections == 1
        server.stop()

    asyncio.run(main())


def test_the_configured_list_is_delivered_first_as_cached():
    async def main():
        async with running(Peer()) as node:
            node.pool.balancer = scripted = ScriptedBalancer()
            await node.start()
            assert [event.form for event in scripted.of(api.Membership)] == [api.ListForm.CACHED]
            assert scripted.events[0].servers[0].launched_ms is None  # 0 means unknown

    asyncio.run(main())


@pytest.mark.parametrize(
    "news",
    [
        reply(500),
        reply(200, b"{"),
        reply(200, b"[]"),
        reply(200, b'{"rev":2,"all":true,"targets":[{"uid":"x"}]}'),
        reply(200, b'{"rev":2,"all":true,"targets":[{"uid":"x","endpoint":"nowhere","state":"Ready"}]}'),
        reply(200, b'{"rev":2,"all":true,"targets":[{"uid":"x","endpoint":"127.0.0.1:1","state":"Odd"}]}'),
        None,
    ],
)
def test_an_invalid_discovery_response_is_a_failure_and_keeps_the_list(news):
    async def main():
        async with running(Peer(), discovery=Discovery(news)) as node:
            node.pool.balancer = scripted = ScriptedBalancer()
            await until(lambda: scripted.of(api.Membership))
            assert [event.form for event in scripted.of(api.Membership)] == [api.ListForm.FAILED]
            assert (set(node.back._servers), node.server.ready) == ({"s0"}, True)
            assert node.watcher._task is None  # only the balancer starts the next watch

    asyncio.run(main())


def test_a_hanging_discovery_call_fails_and_is_repeated(monkeypatch):
    async def main():
        monkeypatch.setattr("loadbalancer.discovery.watcher.ANSWER_GRACE_S", 0.05)
        monkeypatch.setattr("loadbalancer.discovery.watcher.PROBE_TIMEOUT_S", 0.05)
        discovery = Discovery()
        async with running(
            Peer(), discovery=discovery, settings={"invariants": {"askWithinMs": 100.0}}
        ) as node:
            await until(lambda: len(discovery.seen) >= 3)
            waits = [message.first[1].rpartition("=")[2] for message in discovery.seen[:3]]
            assert 37 <= int(waits[0]) <= 50
            assert waits[1] == "0"
            assert (
                37 <= int(waits[2]) <= 50
            )  # a probe without wait after the timeout, then the watch of the balancer
            assert node.pool.counts["list failed"] >= 1

    asyncio.run(main())


def test_pushed_lists_are_applied_without_a_watch_and_after_failures(monkeypatch):
    async def main():
        monkeypatch.setattr("loadbalancer.discovery.watcher.PUSH_RETRY_PAUSE_S", 0.01)
        discovery = Discovery(reply(503), listing(5, True, s9=("127.0.0.1:9", "Ready")))
        async with running(Peer(), discovery=discovery, settings={"registryMode": "push"}) as node:
            await until(lambda: set(node.back._servers) == {"s9"})
            assert set(node.pool.balancer.servers_by_address) == {"s9"}

    asyncio.run(main())


def test_a_drain_fails_attempts_that_wait_for_a_connection():
    async def main():
        server = Peer()
        async with running(server) as node:
            node.pool.balancer = scripted = ScriptedBalancer(send_to("s0", "s0"))
            caller = await Caller.to(node)
            hold = asyncio.Event()

            async def never(endpoint):
                await hold.wait()

            node.back.open = never  # never connects
            caller.writer.write(request())
            await until(lambda: node.back.size)
            row = ServerListUpdate(
                9, False, (api.Server("s0", state=api.ServerState.DRAINING),), {"s0": ("", 1)}
            )
            node._on_list(api.ListForm.DELTA, row)
            assert [event.result for event in scripted.of(api.Outcome)] == [api.Result.CONNECT_FAILED] * 2
            assert (await caller.answer()).status == 502
            assert server.seen == []
            caller.writer.close()

    asyncio.run(main())


def test_the_node_is_ready_only_with_a_usable_server():
    async def main():
        up = b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n"
        discovery = Discovery(listing(5, True, s9=("127.0.0.1:9", "Ready")))
        async with running(discovery=discovery) as node:
            assert (await ask(node, up)).status == 503
            await until(lambda: node.server.ready)
            assert (await ask(node, up)).status == 200

    asyncio.run(main())


def test_the_clock_starts_at_unix_time_and_is_monotonic(monkeypatch):
    class Loop:
        def __init__(self):
            self.times = itertools.count(100.0, 0.5)

        def time(self):
            return next(self.times)

    before = time.time() * 1000.0
    clock = Clock(Loop())
    assert abs(clock.ms() - before) < 60_000
    monkeypatch.setattr(time, "time", lambda: 0.0)
    first, second = clock.ms(), clock.ms()
    assert first < second


def test_the_seed_is_hex_text():
    assert config("127.0.0.1:1").seed == 0x8C1F30D27A5BE964


def test_a_send_after_the_deadline_is_moot_and_opens_no_connection():
    async def main():
        server = Peer()
        async with running(server) as node:

            def act(event):
                if isinstance(event, api.Request):
                    return [api.Send(event.id, "s0"), api.Send(event.id, "s0")]
                return [api.Refuse(event.id)] if isinstance(event, api.Outcome) else []

            node.pool.balancer = scripted = ScriptedBalancer(act)
            assert (await ask(node, request(Req_Deadline_Ms="0"))).status == 503
            outcomes = [(event.result, event.attempt) for event in scripted.of(api.Outcome)]
            assert outcomes == [(api.Result.MOOT, 0), (api.Result.MOOT, 1)]
            assert server.connections == 0

    asyncio.run(main())


def test_connections_from_before_a_servers_restart_are_not_used():
    async def main():
        server = Peer()
        async with running(server) as node:
            assert (await ask(node, request(name="q1"))).status == 200
            endpoints = {"s0": ("127.0.0.1", server.port)}
            for launched in (5.0, 5.0):
                row = ServerListUpdate(9, False, (api.Server("s0", launched_ms=launched),), endpoints)
                node._on_list(api.ListForm.DELTA, row)
                assert (await ask(node, request(name="q2"))).status == 200
                await until(lambda: node.back._servers["s0"].idle)
            assert server.connections == 2

    asyncio.run(main())


class ShiftedTurns(Turns):
    """Shifts the arrival times of responses by a time that the test sets."""

    def __init__(self):
        super().__init__()
        self.shift = 0.0

    def came(self, now):
        return now + self.shift


def test_the_cursor_waits_until_a_step_shows_in_the_responses():
    """Guard: each period moved the cursor right on responses to older calls, and admissible calls were rejected."""

    async def main():
        server = BlockedServer()
        async with running(server) as node:
            node.back.turns = clock = ShiftedTurns()

            async def calls(count, latency_s):
                """Answer `count` requests with this latency, then end the period of the balancer."""
                seen, clock.shift = len(server.seen), 0.0
                server.release.clear()
                names = [f"q{seen + at}" for at in range(count)]
                asked = asyncio.gather(*(ask(node, request("read", name)) for name in names))
                await until(lambda: len(server.seen) == seen + count)
                clock.shift = latency_s
                server.release.set()
                assert [answer.status for answer in await asked] == [200] * count
                node.pool.handle(api.Alarm("period"))
                node.pool.timers["period"].cancel()  # the test ends the next period

            node.pool.timers["period"].cancel()
            for _ in range(3):
                await calls(8, 0.0)
            assert node.pool.balancer.table.cursor == 0
            for _ in range(12):
                await calls(8, 10.0)  # half of the latency target: load, but no overload
            assert 0 < node.pool.balancer.table.cursor <= 12 * 8 / 20
            high = node.pool.balancer.table.cursor
            for _ in range(6):
                await calls(8, 0.0)
            assert node.pool.balancer.table.cursor < high  # steps to the left do not wait

    asyncio.run(main())
