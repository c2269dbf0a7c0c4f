"""On which control nodes a drain must be replicated before it is acknowledged."""

from __future__ import annotations

import pytest

from emberring.control.replication_policy import ReplicationPolicy, max_simultaneous_failures
from emberring.distribution.records import NodeRecord, NodeRole
from emberring.settings import FaultTolerance

REGIONS = {"a1": "a", "a2": "a", "b1": "b"}


def at(*zones: str) -> list[NodeRecord]:
    return [
        NodeRecord(f"core-{zone}-{number}", NodeRole.CONTROL, "x:1", zone)
        for number, zone in enumerate(zones)
    ]


ONE, TWO = FaultTolerance(machines=1), FaultTolerance(machines=2)
ZONE, REGION = FaultTolerance(machines=0, zones=1), FaultTolerance(machines=0, regions=1)

CASES = [
    (ONE, 2, [], ["a1", "a2"], False),
    (ONE, 2, ["a1"], ["a1", "a2"], True),
    (ONE, 0, [], [], True),  # there is no other control node
    (TWO, 4, ["a1"], ["a1", "a2", "b1", "b1"], False),
    (TWO, 4, ["a1", "a2"], ["a1", "a2", "b1", "b1"], True),
    (TWO, 1, ["a1"], ["a1"], True),  # there are no more control nodes
    (ZONE, 2, ["a1"], ["a1", "a2"], False),  # both nodes are in one zone
    (ZONE, 2, ["a2"], ["a1", "a2"], True),
    (ZONE, 2, ["a1"], ["a1", "a1"], True),  # there is no other zone
    (REGION, 2, ["a2"], ["a2", "b1"], False),
    (REGION, 2, ["b1"], ["a2", "b1"], True),
]


@pytest.mark.parametrize(("tolerance", "others", "peers", "seen", "sufficient"), CASES)
def test_replication_is_sufficient_for_the_failures_to_be_tolerated(
    tolerance: FaultTolerance, others: int, peers: list[str], seen: list[str], sufficient: bool
) -> None:
    policy = ReplicationPolicy(others, tolerance, REGIONS)
    assert policy.is_satisfied(at("a1")[0], at(*peers), at(*seen)) is sufficient


def test_max_simultaneous_failures() -> None:
    assert [max_simultaneous_failures(tolerance) for tolerance in (ONE, TWO, ZONE, REGION)] == [1, 2, 1, 1]
