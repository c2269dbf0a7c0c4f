"""On how many nodes, zones and regions a record must be replicated before it is acknowledged."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import attrs

from emberring.distribution.records import NodeRecord
from emberring.settings import FaultTolerance, Settings


@attrs.frozen
class ReplicationPolicy:
    """On how many control nodes, zones and regions a record must be held to survive the losses to be tolerated.

    `tolerance` is what may be lost at once; `other_control_nodes` is how many there are from the start beside this one;
    `regions` gives the region of a zone.
    """

    other_control_nodes: int
    tolerance: FaultTolerance
    regions: Mapping[str, str]

    def is_satisfied(
        self, own_record: NodeRecord, peers: Iterable[NodeRecord], seen: Iterable[NodeRecord]
    ) -> bool:
        """Whether this node and these peers are enough.

        No more zones and regions are required than those of the control nodes seen so far.
        """
        have = [own_record, *peers]
        exist = [own_record, *seen]
        if len(have) - 1 < min(self.other_control_nodes, self._required_peers()):
            return False
        zones = {record.zone for record in have}
        if len(zones) < min(self.tolerance.zones + 1, len({record.zone for record in exist})):
            return False
        return len(self._regions(have)) >= min(self.tolerance.regions + 1, len(self._regions(exist)))

    def _required_peers(self) -> int:
        return max(1, self.tolerance.machines)

    def _regions(self, records: Iterable[NodeRecord]) -> set[str]:
        return {self.regions.get(record.zone, record.zone) for record in records}


def replication_policy(settings: Settings, other_control_nodes: int) -> ReplicationPolicy:
    """The policy of a deployment with so many other control nodes from the start."""
    return ReplicationPolicy(other_control_nodes, settings.fault_tolerance, settings.zones)


def max_simultaneous_failures(tolerance: FaultTolerance) -> int:
    """How many replicas on different machines, zones or regions may be lost at once."""
    return max(tolerance.machines, tolerance.zones, tolerance.regions)
