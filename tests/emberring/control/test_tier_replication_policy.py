"""Where a drain must be known before it is acknowledged."""

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
    (ONE, 0, [], [], True),  # there is no other
    (TWO, 4, ["a1"], ["a1", "a2", "b1", "b1"], False),
    (TWO, 4, ["a1", "a2"], ["a1", "a2", "b1", "b1"], True),
    (TWO, 1, ["a1"], ["a1"], True),  # there are no more
    (ZONE, 2, ["a1"], ["a1", "a2"], False),  # they would go together
    (ZONE, 2, ["a2"], ["a1", "a2"], True),
    (ZONE, 2, ["a1"], ["a1", "a1"], True),  # there is no other zone
    (REGION, 2, ["a2"], ["a2", "b1"], False),
    (REGION, 2, ["b1"], ["a2", "b1"], True),
]


@pytest.mark.parametrize(("tolerance", "others", "holders", "met", "enough"), CASES)
def test_a_record_survives_the_losses_to_be_tolerated(
    tolerance: FaultTolerance, others: int, holders: list[str], met: list[str], enough: bool
) -> None:
    policy = ReplicationPolicy(others, tolerance, REGIONS)
    assert policy.is_satisfied(at("a1")[0], at(*holders), at(*met)) is enough


def test_max_simultaneous_failures() -> None:
    assert [max_simultaneous_failures(tolerance) for tolerance in (ONE, TWO, ZONE, REGION)] == [1, 2, 1, 1]
