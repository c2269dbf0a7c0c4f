"""The watch of the server list outlasts whatever a list, its handling or a silence can do, and learns in time."""

from __future__ import annotations

import asyncio

import pytest
from loopback import Discovery, Peer, listing, reply, running, until

from loadbalancer.discovery import watcher as lists
from loadbalancer.interface import ListForm
from loadbalancer.node.node import Node

READY = ("127.0.0.1:9", "Ready")
ODD = b'{"rev":6,"all":false,"targets":[{"uid":"s9","endpoint":"127.0.0.1:9","state":"Odd"}]}'
HUGE = b'{"rev":6,"all":false,"targets":[{"uid":"s9","endpoint":"127.0.0.1:9","state":"Ready","boot_ms":%s}]}'

modes = pytest.mark.parametrize("mode", ["push", "ask"])


@pytest.fixture(autouse=True)
def quick(monkeypatch):
    """Pauses are short; what is waited for comes about by itself."""
    monkeypatch.setattr(lists, "PUSH_RETRY_PAUSE_S", 0.01)
    monkeypatch.setattr("loadbalancer.balancer.WATCH_RETRY_MS", 5.0)
    monkeypatch.setattr("loadbalancer.balancer.WATCH_RETRY_MAX_MS", 20.0)


def asked(discovery):
    """Since which revision, and for how long, each call."""
    found = []
    for message in discovery.seen:
        query = dict(part.split("=") for part in message.first[1].partition("?")[2].split("&") if part)
        found.append((query.get("since"), query.get("timeout_ms")))
    return found


@modes
@pytest.mark.parametrize(
    "bad",
    [
        reply(200, b"{"),
        reply(200, b'{"rev":6,"all":false,"targets":[{"uid":7}]}'),
        reply(200, ODD),
        reply(200, HUGE % (b"9" * 400)),
        listing(6, True, s9=READY)[:-9],
        b"HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: many\r\n\r\n",
    ],
    ids=["cut", "no endpoint", "unknown state", "overflow", "broken off", "too large", "no length"],
)
def test_a_bad_list_leaves_the_one_in_force_and_the_watch_goes_on(mode, bad, caplog):
    async def main():
        cut = bad.endswith(b'"boot_ms"') or not bad.endswith((b"}", b"\n"))

        class Spoilt(Discovery):
            async def _next(self, message):
                if len(self.seen) == 2 and cut:
                    self._writers[-1].write(bad)
                    return None
                return await super()._next(message)

        news = [listing(5, True, s5=READY), bad, listing(7, True, s7=READY)]
        if cut:
            del news[1]
        discovery = Spoilt(*news)
        async with running(Peer(), discovery=discovery, settings={"registryMode": mode}) as node:
            lost = []
            on_list, remove = node.watcher._on_update, node.back.remove
            node.back.remove = lambda name: (lost.append(name), remove(name))

            def heard(form, news):
                assert form is not ListForm.FAILED or set(node.back._servers) == {"s5"}  # it stays
                on_list(form, news)

            node.watcher._on_update = heard
            await until(lambda: set(node.back._servers) == {"s7"})
            assert "s9" not in lost
            assert sum("server list rejected" in record.message for record in caplog.records) <= 1

    asyncio.run(main())


@modes
def test_a_fault_while_a_list_is_taken_does_not_end_the_watch(mode, monkeypatch, caplog):
    async def main():
        discovery = Discovery(listing(5, True, s5=READY), listing(6, True, s6=READY))
        on_list, faults = Node._on_list, []

        def faulty(self, form, news):
            if news is not None and news.revision == 5:
                faults.append(news)
                raise KeyError("s5")
            on_list(self, form, news)

        monkeypatch.setattr(Node, "_on_list", faulty)
        async with running(Peer(), discovery=discovery, settings={"registryMode": mode}) as node:
            await until(lambda: set(node.back._servers) == {"s6"})
            assert len(faults) == 1
            assert asked(discovery)[1] == (None, None)  # the whole list, as it isn't known what was taken
            assert any("KeyError" in record.message for record in caplog.records)

    asyncio.run(main())


@modes
def test_a_silent_watch_is_followed_at_once_by_a_call_that_need_not_wait_and_a_second_silence_too(
    mode, monkeypatch
):
    monkeypatch.setattr(lists, "ANSWER_GRACE_S", 0.02)
    monkeypatch.setattr(lists, "PROBE_TIMEOUT_S", 0.2)
    monkeypatch.setattr(lists, "AGENT_PROBE_TIMEOUT_S", 0.2)

    class Silent(Discovery):
        async def _next(self, message):
            if len(self.seen) <= 2:
                await asyncio.Event().wait()
            return await super()._next(message)

    async def main():
        discovery = Silent(listing(5, False, s5=READY))
        within = {"invariants": {"askWithinMs": 100.0}, "registryMode": mode}
        async with running(discovery=discovery, settings=within) as node:
            failed = []
            on_news = node.watcher._on_update
            node.watcher._on_update = lambda form, news: (failed.append(form), on_news(form, news))
            await until(lambda: set(node.back._servers) == {"s5"})
            # At once whether it speaks; then, where it is shared, for as long as a crowd may hold a call up.
            assert asked(discovery)[1] == ("1", "0")
            assert asked(discovery)[2][1] == "0" if mode == "push" else int(asked(discovery)[2][1]) >= 37
            # The first silence is nobody's business yet: a pause of the module's would only cost time.
            assert failed == [ListForm.FAILED, ListForm.DELTA]
            assert discovery.connections >= 3  # each on a connection of its own
            await until(lambda: len(discovery.seen) >= 4)
            # It speaks, so it is waited for again, for a drawn part of the longest wait where many nodes share it.
            for since, waited in (("1", asked(discovery)[0]), ("5", asked(discovery)[3])):
                assert waited[0] == since
                assert int(waited[1]) == 50 if mode == "push" else 37 <= int(waited[1]) <= 50

    asyncio.run(main())


@modes
def test_after_each_answer_the_watch_goes_on_at_once(mode):
    """A pause of up to 4 s within a series of changes broke the drain rule 38 times in a day."""

    async def main():
        news = [listing(revision, False, s5=READY) for revision in range(2, 12)]
        discovery = Discovery(*news)
        async with running(discovery=discovery, settings={"registryMode": mode}):
            began_s = asyncio.get_running_loop().time()
            await until(lambda: len(discovery.seen) == len(news) + 1)
            assert asyncio.get_running_loop().time() - began_s < 0.2

    asyncio.run(main())


def test_a_local_agent_is_asked_often_as_it_costs_nothing():
    async def main():
        discovery = Discovery()
        async with running(discovery=discovery, settings={"registryMode": "push"}):
            await until(lambda: discovery.seen)
            assert asked(discovery)[0] == ("1", "2000")

    asyncio.run(main())


@modes
def test_changes_below_the_revision_that_is_held_have_the_complete_list_requested(mode):
    async def main():
        discovery = Discovery(
            listing(50, True, s5=READY), listing(3, False, s3=READY), listing(3, True, s4=READY)
        )
        async with running(discovery=discovery, settings={"registryMode": mode}) as node:
            await until(lambda: set(node.back._servers) == {"s4"})
            await until(lambda: len(discovery.seen) == 4)
            assert [since for since, _ in asked(discovery)] == ["1", "50", None, "3"]

    asyncio.run(main())


@modes
def test_a_move_asks_the_new_discovery_with_no_wait(mode):
    async def main():
        first, second = Discovery(), await Discovery(listing(2, False, s2=READY)).start()
        async with running(discovery=first, settings={"registryMode": mode}) as node:
            await until(lambda: first.seen)
            node.watcher.move(("127.0.0.1", second.port))
            await until(lambda: set(node.back._servers) == {"s2"})
            assert asked(second)[0] == ("1", "0")
        second.stop()

    asyncio.run(main())


def test_of_a_server_that_stands_twice_the_last_entry_counts_and_an_indented_list_is_a_good_one():
    async def main():
        body = b"""{
            "rev": 5,  "all": true, "targets": [
              {"uid": "s5", "endpoint": "127.0.0.1:9", "az": "a", "pod_group": 1, "state": "Ready", "boot_ms": 0},
              {"uid": "s6", "endpoint": "127.0.0.1:9", "state": "Ready"},
              {"uid": "s5", "endpoint": "127.0.0.1:9", "az": "a", "pod_group": 1, "state": "Terminating"}
            ]
        }
        """
        async with running(Peer(), discovery=Discovery(reply(200, body))) as node:
            await until(lambda: set(node.back._servers) == {"s6"})

    asyncio.run(main())


def test_a_thousand_failures_in_a_row_are_no_fault_of_the_modules():
    from helpers import Bed

    from loadbalancer import balancer
    from loadbalancer import interface as api

    bed = Bed(ask_discovery=True)
    for _ in range(2000):
        (wake,) = bed.give(api.Membership(api.ListForm.FAILED))
    assert balancer.WATCH_RETRY_MAX_MS / 2 <= wake.delay_ms <= balancer.WATCH_RETRY_MAX_MS


@modes
def test_a_fault_while_a_failure_is_reported_does_not_end_the_watch(mode):
    """Guard: where discovery is asked the module is the one that asks again, and it had not heard."""

    async def main():
        discovery = Discovery(None, listing(6, True, s6=READY))
        async with running(Peer(), discovery=discovery, settings={"registryMode": mode}) as node:
            on_news, faults = node.watcher._on_update, []

            def faulty(form, news):
                if form is ListForm.FAILED and not faults:
                    faults.append(form)
                    raise KeyError("s5")
                on_news(form, news)

            node.watcher._on_update = faulty
            await until(lambda: set(node.back._servers) == {"s6"})
            assert faults == [ListForm.FAILED]

    asyncio.run(main())
