"""The status of the tier as seen by one control node: nodes, model servers, configuration, placement."""

from __future__ import annotations

from typing import Any

import orjson

from emberring.control.cluster_state import ClusterState
from emberring.control.suspicion_table import FailingServer
from emberring.distribution.records import NodeRecord, ServerRecord
from emberring.placement.model import Placement


class StatusPage:
    """Renders the body of `GET /v1/status` without asking any other node."""

    def __init__(self, cluster_state: ClusterState) -> None:
        self._cluster_state = cluster_state

    def render(self, now_s: float) -> bytes:
        """The status as JSON.

        `MajorityAgeS` is how long ago a majority of the register was in contact; null if it never was.
        """
        cluster_state = self._cluster_state
        age_s = cluster_state.quorum_age_s()
        load = cluster_state.load.calls(now_s)
        page = {
            "Node": cluster_state.me.name,
            "MajorityAgeS": round(age_s, 3) if age_s < float("inf") else None,
            "ConfigurationVersion": cluster_state.state.version,
            "Gateways": cluster_state.gateways(now_s),
            "Nodes": [
                _node(record)
                for record in sorted(cluster_state.live_nodes(now_s), key=lambda record: record.name)
            ],
            "Servers": [
                _server(
                    now_s, record, load.get(record.id, 0), cluster_state.suspicions.failing.get(record.id)
                )
                for record in sorted(
                    cluster_state.status_table.servers().values(),
                    key=lambda record: (record.service, record.id),
                )
            ],
            "Placement": _placement(cluster_state.state.placement),
        }
        return orjson.dumps(page)


def _node(record: NodeRecord) -> dict[str, Any]:
    return {
        "Name": record.name,
        "Role": record.role.value,
        "Address": record.address,
        "Zone": record.zone,
        "Identity": record.identity,
        "Leaving": record.leaving,
    }


def _server(now_s: float, record: ServerRecord, load: int, failing: FailingServer | None) -> dict[str, Any]:
    return {
        "Id": record.id,
        "Service": record.service,
        "Address": record.address,
        "Zone": record.zone,
        "State": record.state.value,
        "Capacity": record.capacity,
        "InFlight": load,
        "Version": record.version,
        "Troubles": dict(failing.faults) if failing is not None else {},
        "FailingForS": round(now_s - failing.since_s, 1) if failing is not None else None,
    }


def _placement(placement: Placement | None) -> dict[str, Any] | None:
    if placement is None:
        return None
    names = {identity: member.name for identity, member in placement.stores.items()}
    return {
        "Epoch": placement.epoch,
        "Retiring": placement.retiring,
        "Retired": placement.retired,
        "Shards": [
            {
                "Shard": group.shard,
                "Epoch": group.epoch,
                "Members": [names.get(identity, identity) for identity in group.members],
                "Joining": [names.get(identity, identity) for identity in group.joining],
            }
            for group in placement.groups
        ],
    }
