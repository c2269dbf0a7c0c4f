"""Queues of waiting items by service: what is leased to which gateway, and what a change of routes moves."""

from __future__ import annotations

import attrs
import pytest
from job_manager_harness import HOST, TERMS, JobManagerHarness, body, events, states

from emberring.configuration.model import Configuration, Route, RouteType, Share
from emberring.jobs import item_queues
from emberring.jobs.calls import Assignment
from emberring.jobs.items import OutcomeKind
from emberring.jobs.lease_budget import LeaseBudget
from emberring.jobs.lease_order import lease_in_order


def batch_route(name: str, prefix: str, *shares: Share) -> Route:
    return Route(name, HOST, prefix, RouteType.BATCH, 4000, shares)


def configuration(version: int, **services: str) -> Configuration:
    """Return a configuration with a route `/NAME/` to a service for each name."""
    routes = (batch_route(name, f"/{name}/", Share(service, 1)) for name, service in services.items())
    return Configuration(version, tuple(routes), ())


def terms(name: str, version: int = 5) -> object:
    return attrs.evolve(TERMS, route=name, path=f"/{name}/", version=version)


def ids(items: list[Assignment]) -> list[str]:
    return [item.id for item in items]


def two_services() -> JobManagerHarness:
    harness = JobManagerHarness()
    harness.job_manager.configure(configuration(5, first="a", second="b"))
    harness.submit("j1", body(3, 1, "a"), terms("first"))
    harness.submit("j2", body(3, 1, "b"), terms("second"))
    return harness


# Guards against items that wait behind those of another service, for which the gateway has no server.
@pytest.mark.parametrize(
    ("service_capacity", "leased"),
    [
        ({"b": 2}, ["b0", "b1"]),
        ({"a": 0, "b": 9}, ["b0", "b1", "b2"]),
        ({"a": 1, "b": 1}, ["a0", "b0"]),
        ({"c": 9}, []),
        ({}, []),
        (None, ["a0", "a1", "a2", "b0", "b1", "b2"]),
    ],
)
def test_items_of_services_with_capacity_are_leased(
    service_capacity: dict[str, int] | None, leased: list[str]
) -> None:
    assert ids(two_services().lease_items(service_capacity=service_capacity)) == leased


def test_items_of_several_services_are_leased_by_their_due_times() -> None:
    harness = two_services()
    harness.submit("j3", body(1, 1, "early"), attrs.evolve(terms("second"), completion_ms=4000.0))
    leased = harness.lease_items(3, service_capacity={"a": 9, "b": 9})
    assert ids(leased) == ["early0", "a0", "a1"]


def test_an_item_that_was_not_run_waits_in_the_queue_of_its_service() -> None:
    harness = two_services()
    (item,) = harness.lease_items(1)
    harness.finish(item, OutcomeKind.NOT_RUN)
    assert ids(harness.lease_items(1, service_capacity={"b": 1})) == ["b0"]
    assert ids(harness.lease_items(1, service_capacity={"a": 1})) == ["a0"]


def test_items_of_a_split_follow_the_services_that_have_servers() -> None:
    harness = JobManagerHarness()
    route = batch_route("both", "/both/", Share("a", 1), Share("b", 1))
    harness.job_manager.configure(Configuration(5, (route,), ()))
    harness.submit("j", body(40, 1), terms("both"))
    of_a = ids(harness.lease_items(service_capacity={"a": 99, "b": 0}))
    assert 5 < len(of_a) < 35
    rest = ids(harness.lease_items(service_capacity={"b": 99}))
    assert sorted(of_a + rest) == sorted(f"i{number}" for number in range(40))


# Guards against items that stay in the queue of the service to which their route led before.
def test_items_follow_their_route_to_another_service() -> None:
    harness = two_services()
    harness.job_manager.configure(configuration(6, first="c", second="b"))
    assert ids(harness.lease_items(service_capacity={"a": 9})) == []
    assert ids(harness.lease_items(service_capacity={"c": 9})) == ["a0", "a1", "a2"]


# Guards against an owner that assigns all items again in one step, in which it renews no lease.
def test_many_items_follow_their_route_in_steps(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(item_queues, "REASSIGNED_AT_ONCE", 4)
    harness = JobManagerHarness()
    harness.job_manager.configure(configuration(5, first="a"))
    harness.submit("j", body(10, 1), terms("first"))
    harness.job_manager.configure(configuration(6, first="c"))
    assert harness.job_manager.waiting == 10
    leased = []
    for _ in range(3):
        leased.append(len(harness.lease_items(service_capacity={"c": 9})))
        harness.pass_time(0.05)
    assert leased[0] <= 4
    assert sum(leased) == 10


def test_items_without_a_route_wait_until_there_is_one_again() -> None:
    harness = two_services()
    other = batch_route(
        "first", "/elsewhere/", Share("a", 1)
    )  # the name is still there, so the items may run again
    harness.job_manager.configure(Configuration(6, (other,), ()))
    assert ids(harness.lease_items(service_capacity={"a": 9})) == []
    harness.job_manager.configure(configuration(7, first="a"))
    assert ids(harness.lease_items(service_capacity={"a": 9})) == ["a0", "a1", "a2"]


@pytest.mark.parametrize("service_capacity", [None, {"other": 3}])
def test_items_of_a_route_that_the_store_does_not_know_yet_are_leased(
    service_capacity: dict[str, int] | None,
) -> None:
    """Their batch job was submitted under a newer configuration, which the gateways have."""
    harness = two_services()
    harness.submit("new", body(1, 1, "n"), attrs.evolve(terms("third", version=6), completion_ms=1000.0))
    assert "n0" in ids(harness.lease_items(1, service_capacity=service_capacity))


# Guards against entries of finished items that pile up in the queue of a service that never gets servers again.
def test_entries_of_items_that_are_done_are_dropped() -> None:
    harness = two_services()
    harness.end("j1")
    harness.pass_time(0.05)
    assert harness.job_manager.waiting == 3
    harness.pass_time(41.0)
    harness.pass_time(0.05)
    assert harness.job_manager.waiting == 0
    assert [state for _, state, _ in states(harness.read("j2"))] == ["dead_letter"] * 3


# Guards against items of one shard that wait until those of the shards before it are all leased, whatever they are due.
def test_items_of_several_shards_are_leased_by_their_due_times() -> None:
    first, second = JobManagerHarness(), JobManagerHarness()
    first.submit("backlog", body(5, 1, "b"), attrs.evolve(TERMS, completion_ms=30_000.0))
    second.submit("urgent", body(2, 1, "u"), attrs.evolve(TERMS, completion_ms=5_000.0))
    second.submit("last", body(1, 1, "l"), attrs.evolve(TERMS, completion_ms=60_000.0))
    managers = [first.job_manager, second.job_manager]
    budget = LeaseBudget("g", 4)
    assert ids(list(lease_in_order(0.0, managers, budget))) == ["u0", "u1", "b0", "b1"]
    assert budget.exhausted
    assert ids(list(lease_in_order(0.0, managers, LeaseBudget("g", 9)))) == ["b2", "b3", "b4", "l0"]


# Guards against items that every server declines, which are leased again at once, before all others, and for ever.
def test_items_that_servers_decline_come_after_all_others_and_wait_for_longer_each_time() -> None:
    harness = JobManagerHarness()
    harness.submit("j", body(2, 1), TERMS)
    harness.submit("k", body(1, 1, "k"), attrs.evolve(TERMS, completion_ms=30_000.0))
    declined, _ = harness.lease_items(2)
    harness.finish(declined, OutcomeKind.NOT_RUN, declined=True)
    assert ids(harness.lease_items()) == ["k0"]
    for backoff_s in (0.5, 1.0, 2.0, 4.0, 8.0, 10.0):
        harness.now_s += backoff_s - 0.01
        assert harness.lease_items() == []
        harness.now_s += 0.02
        harness.submit(f"n{backoff_s}", body(1, 1, "n"), TERMS)
        other, again = harness.lease_items()
        assert (other.id, again.id) == ("n0", "i0")
        harness.finish(again, OutcomeKind.NOT_RUN, declined=True)


def test_a_declined_item_that_begins_to_run_is_an_ordinary_one_again() -> None:
    harness = JobManagerHarness()
    harness.submit("j", body(1, 1), TERMS)
    (item,) = harness.lease_items()
    harness.finish(item, OutcomeKind.NOT_RUN, declined=True)
    harness.now_s += 0.5
    (again,) = harness.lease_items()
    harness.finish(again, OutcomeKind.BROKEN, events("a"))
    assert ids(harness.lease_items()) == ["i0"]
