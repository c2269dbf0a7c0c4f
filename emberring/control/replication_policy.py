"""Where a fact must be kept before it is acknowledged, so that it outlives what may be lost at once."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import attrs

from emberring.distribution.records import NodeRecord
from emberring.settings import FaultTolerance, Settings


@attrs.frozen
class ReplicationPolicy:
    """How many control nodes, in how many zones and regions, must have a fact besides its first. `others` is how
    many other control nodes there are from the start; `regions` gives the region of a zone."""

    others: int
    tolerance: FaultTolerance
    regions: Mapping[str, str]

    def is_satisfied(self, me: NodeRecord, holders: Iterable[NodeRecord], met: Iterable[NodeRecord]) -> bool:
        """Whether these others are enough. No more zones are asked for than those of the nodes met so far."""
        have = [me, *holders]
        exist = [me, *met]
        if len(have) - 1 < min(self.others, self._machines()):
            return False
        zones = {record.zone for record in have}
        if len(zones) < min(self.tolerance.zones + 1, len({record.zone for record in exist})):
            return False
        return len(self._regions(have)) >= min(self.tolerance.regions + 1, len(self._regions(exist)))

    def _machines(self) -> int:
        return max(1, self.tolerance.machines)

    def _regions(self, records: Iterable[NodeRecord]) -> set[str]:
        return {self.regions.get(record.zone, record.zone) for record in records}


def replication_policy(settings: Settings, others: int) -> ReplicationPolicy:
    """The rule of a deployment with so many other control nodes from the start."""
    return ReplicationPolicy(others, settings.fault_tolerance, settings.zones)


def max_simultaneous_failures(tolerance: FaultTolerance) -> int:
    """How many replicas in different places may be lost at once."""
    return max(tolerance.machines, tolerance.zones, tolerance.regions)
