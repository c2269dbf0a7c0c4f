"""The watch of the server list survives invalid lists, handler errors and timeouts, and notices changes in time."""

from __future__ import annotations

import asyncio

import pytest
from loopback import Discovery, Peer, listing, reply, running, until

from loadbalancer.discovery import watcher as lists
from loadbalancer.interface import ListForm
from loadbalancer.node.node import Node

READY = ("127.0.0.1:9", "Ready")
UNKNOWN_STATE = b'{"rev":6,"all":false,"targets":[{"uid":"s9","endpoint":"127.0.0.1:9","state":"Odd"}]}'
HUGE_BOOT_TIME = (
    b'{"rev":6,"all":false,"targets":[{"uid":"s9","endpoint":"127.0.0.1:9","state":"Ready","boot_ms":%s}]}'
)

modes = pytest.mark.parametrize("mode", ["push", "ask"])


@pytest.fixture(autouse=True)
def short_pauses(monkeypatch):
    """Shorten all pauses; the tests wait for conditions."""
    monkeypatch.setattr(lists, "PUSH_RETRY_PAUSE_S", 0.01)
    monkeypatch.setattr("loadbalancer.balancer.WATCH_RETRY_MS", 5.0)
    monkeypatch.setattr("loadbalancer.balancer.WATCH_RETRY_MAX_MS", 20.0)


def calls_to(discovery):
    """The revision and the wait time of each call, as sent."""
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
        reply(200, UNKNOWN_STATE),
        reply(200, HUGE_BOOT_TIME % (b"9" * 400)),
        listing(6, True, s9=READY)[:-9],
        b"HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: many\r\n\r\n",
    ],
    ids=["cut", "no endpoint", "unknown state", "overflow", "broken off", "too large", "no length"],
)
def test_an_invalid_list_leaves_the_current_one_in_use_and_the_watch_goes_on(mode, bad, caplog):
    async def main():
        cut = bad.endswith(b'"boot_ms"') or not bad.endswith((b"}", b"\n"))

        class Truncating(Discovery):
            async def _next(self, message):
                if len(self.seen) == 2 and cut:
                    self._writers[-1].write(bad)
                    return None
                return await super()._next(message)

        responses = [listing(5, True, s5=READY), bad, listing(7, True, s7=READY)]
        if cut:
            del responses[1]
        discovery = Truncating(*responses)
        async with running(Peer(), discovery=discovery, settings={"registryMode": mode}) as node:
            removed = []
            on_list, remove = node.watcher._on_update, node.back.remove
            node.back.remove = lambda name: (removed.append(name), remove(name))

            def checked_on_list(form, update):
                # The previous list stays in use.
                assert form is not ListForm.FAILED or set(node.back._servers) == {"s5"}
                on_list(form, update)

            node.watcher._on_update = checked_on_list
            await until(lambda: set(node.back._servers) == {"s7"})
            assert "s9" not in removed
            assert sum("server list rejected" in record.message for record in caplog.records) <= 1

    asyncio.run(main())


@modes
def test_an_error_while_a_list_is_applied_does_not_end_the_watch(mode, monkeypatch, caplog):
    async def main():
        discovery = Discovery(listing(5, True, s5=READY), listing(6, True, s6=READY))
        on_list, failures = Node._on_list, []

        def failing(self, form, update):
            if update is not None and update.revision == 5:
                failures.append(update)
                raise KeyError("s5")
            on_list(self, form, update)

        monkeypatch.setattr(Node, "_on_list", failing)
        async with running(Peer(), discovery=discovery, settings={"registryMode": mode}) as node:
            await until(lambda: set(node.back._servers) == {"s6"})
            assert len(failures) == 1
            # The complete list is requested, as the first one may be partly applied.
            assert calls_to(discovery)[1] == (None, None)
            assert any("KeyError" in record.message for record in caplog.records)

    asyncio.run(main())


@modes
def test_a_timeout_of_a_watch_is_followed_at_once_by_a_probe_and_so_is_a_second_timeout(mode, monkeypatch):
    monkeypatch.setattr(lists, "ANSWER_GRACE_S", 0.02)
    monkeypatch.setattr(lists, "PROBE_TIMEOUT_S", 0.2)
    monkeypatch.setattr(lists, "AGENT_PROBE_TIMEOUT_S", 0.2)

    class Unresponsive(Discovery):
        async def _next(self, message):
            if len(self.seen) <= 2:
                await asyncio.Event().wait()
            return await super()._next(message)

    async def main():
        discovery = Unresponsive(listing(5, False, s5=READY))
        within = {"invariants": {"askWithinMs": 100.0}, "registryMode": mode}
        async with running(discovery=discovery, settings=within) as node:
            failed = []
            on_update = node.watcher._on_update
            node.watcher._on_update = lambda form, update: (failed.append(form), on_update(form, update))
            await until(lambda: set(node.back._servers) == {"s5"})
            # First a probe; then, if discovery is shared, a call with a wait time: an overloaded one may delay calls.
            assert calls_to(discovery)[1] == ("1", "0")
            assert (
                calls_to(discovery)[2][1] == "0" if mode == "push" else int(calls_to(discovery)[2][1]) >= 37
            )
            # The first timeout is not reported: the decision module would pause, which would only cost time.
            assert failed == [ListForm.FAILED, ListForm.DELTA]
            assert discovery.connections >= 3  # each call on a new connection
            await until(lambda: len(discovery.seen) >= 4)
            # It responds, so calls have a wait time again, which is random if discovery is shared.
            for since, waited in (("1", calls_to(discovery)[0]), ("5", calls_to(discovery)[3])):
                assert waited[0] == since
                assert int(waited[1]) == 50 if mode == "push" else 37 <= int(waited[1]) <= 50

    asyncio.run(main())


@modes
def test_the_watch_goes_on_at_once_after_each_response(mode):
    """A pause of up to 4 s between successive changes violated the drain rule 38 times in a day."""

    async def main():
        responses = [listing(revision, False, s5=READY) for revision in range(2, 12)]
        discovery = Discovery(*responses)
        async with running(discovery=discovery, settings={"registryMode": mode}):
            began_s = asyncio.get_running_loop().time()
            await until(lambda: len(discovery.seen) == len(responses) + 1)
            assert asyncio.get_running_loop().time() - began_s < 0.2

    asyncio.run(main())


def test_a_local_agent_is_called_with_a_short_wait_time():
    async def main():
        discovery = Discovery()
        async with running(discovery=discovery, settings={"registryMode": "push"}):
            await until(lambda: discovery.seen)
            assert calls_to(discovery)[0] == ("1", "2000")

    asyncio.run(main())


@modes
def test_changes_with_a_lower_revision_cause_a_request_for_the_complete_list(mode):
    async def main():
        discovery = Discovery(
            listing(50, True, s5=READY), listing(3, False, s3=READY), listing(3, True, s4=READY)
        )
        async with running(discovery=discovery, settings={"registryMode": mode}) as node:
            await until(lambda: set(node.back._servers) == {"s4"})
            await until(lambda: len(discovery.seen) == 4)
            assert [since for since, _ in calls_to(discovery)] == ["1", "50", None, "3"]

    asyncio.run(main())


@modes
def test_a_new_discovery_address_is_called_first_without_wait_time(mode):
    async def main():
        first, second = Discovery(), await Discovery(listing(2, False, s2=READY)).start()
        async with running(discovery=first, settings={"registryMode": mode}) as node:
            await until(lambda: first.seen)
            node.watcher.move(("127.0.0.1", second.port))
            await until(lambda: set(node.back._servers) == {"s2"})
            assert calls_to(second)[0] == ("1", "0")
        second.stop()

    asyncio.run(main())


def test_the_last_entry_of_a_server_listed_twice_counts_and_an_indented_list_is_valid():
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


def test_the_retry_delay_stays_within_its_limit_after_thousands_of_failures():
    from helpers import Bed

    from loadbalancer import balancer
    from loadbalancer import interface as api

    bed = Bed(ask_discovery=True)
    for _ in range(2000):
        (wake,) = bed.give(api.Membership(api.ListForm.FAILED))
    assert balancer.WATCH_RETRY_MAX_MS / 2 <= wake.delay_ms <= balancer.WATCH_RETRY_MAX_MS


@modes
def test_an_error_while_a_failure_is_reported_does_not_end_the_watch(mode):
    """Guard: with a shared discovery the decision module starts the next watch, and the failure had not reached it."""

    async def main():
        discovery = Discovery(None, listing(6, True, s6=READY))
        async with running(Peer(), discovery=discovery, settings={"registryMode": mode}) as node:
            on_update, failures = node.watcher._on_update, []

            def failing(form, update):
                if form is ListForm.FAILED and not failures:
                    failures.append(form)
                    raise KeyError("s5")
                on_update(form, update)

            node.watcher._on_update = failing
            await until(lambda: set(node.back._servers) == {"s6"})
            assert failures == [ListForm.FAILED]

    asyncio.run(main())
