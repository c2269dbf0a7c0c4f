"""On how many nodes, zones and regions a record must be replicated before it is acknowledged."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import attrs

from emberring.distribution.records import NodeRecord
from emberring.settings import FaultTolerance, Settings


@attrs.frozen
class ReplicationPolicy:
    """On how many control nodes, zones and regions a record must be replicated to survive simultaneous failures.

    `tolerance` is what may fail simultaneously; `other_control_nodes` is the number of other control nodes configured
    at the start; `regions` maps each zone to its region.
    """

    other_control_nodes: int
    tolerance: FaultTolerance
    regions: Mapping[str, str]

    def is_satisfied(
        self, own_record: NodeRecord, peers: Iterable[NodeRecord], seen: Iterable[NodeRecord]
    ) -> bool:
        """Whether replication on this node and these peers is sufficient.

        `seen` are the other control nodes seen so far: no more zones and regions are required than they have.
        """
        replicas = [own_record, *peers]
        all_seen = [own_record, *seen]
        if len(replicas) - 1 < min(self.other_control_nodes, self._required_peers()):
            return False
        zones = {record.zone for record in replicas}
        if len(zones) < min(self.tolerance.zones + 1, len({record.zone for record in all_seen})):
            return False
        return len(self._regions(replicas)) >= min(self.tolerance.regions + 1, len(self._regions(all_seen)))

    def _required_peers(self) -> int:
        return max(1, self.tolerance.machines)

    def _regions(self, records: Iterable[NodeRecord]) -> set[str]:
        return {self.regions.get(record.zone, record.zone) for record in records}


def replication_policy(settings: Settings, other_control_nodes: int) -> ReplicationPolicy:
    """The policy of a deployment with this number of other control nodes configured at the start."""
    return ReplicationPolicy(other_control_nodes, settings.fault_tolerance, settings.zones)


def max_simultaneous_failures(tolerance: FaultTolerance) -> int:
    """How many replicas on different machines, zones or regions may fail simultaneously."""
    return max(tolerance.machines, tolerance.zones, tolerance.regions)
