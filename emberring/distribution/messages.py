"""Messages of distribution: exchanges between control nodes, and pulls of gateways and stores.

A writer is one incarnation of a control node. It numbers its entries from 1 on; a version vector has, for each writer,
the number up to which all its entries have been received. Of a writer's entries about the same node or server only
the newest is sent.
"""

from __future__ import annotations

import attrs

from emberring.distribution.load_report import LoadReportDetail
from emberring.distribution.records import NodeRecord, ServerRecord
from emberring.placement.model import Placement
from emberring.transport.messages import message, wire_record

# The assumed age of a load report by a node of an older version, which sends no age.
UNREPORTED_LOAD_AGE_MS = 300.0


@wire_record({"writer_incarnation": "origin", "record": "fact"})
@attrs.frozen
class ServerEntry:
    """A writer's numbered entry about a model server."""

    writer_incarnation: str
    number: int
    record: ServerRecord


@wire_record({"writer_incarnation": "origin", "record": "fact"})
@attrs.frozen
class NodeEntry:
    """A writer's numbered entry about a node: whether the node is in contact with it."""

    writer_incarnation: str
    number: int
    record: NodeRecord
    present: bool


@attrs.frozen
class Delta:
    """All entries newer than the requester's vector; with them the requester has every entry up to `vector`."""

    vector: dict[str, int] = attrs.field(factory=dict)
    servers: tuple[ServerEntry, ...] = ()
    nodes: tuple[NodeEntry, ...] = ()

    @property
    def empty(self) -> bool:
        """Whether the delta has no entries."""
        return not self.servers and not self.nodes


@message("distribution.pull", wire_keys={"sender": "me", "reports_load": "tells_load", "load_detail": "word"})
@attrs.frozen
class Pull:
    """Long poll of a gateway or store to a control node for the updates that it lacks.

    The reply is delayed up to `wait_ms` until there is an update. `load` is the sender's calls in flight by server id;
    it is sent to one control node only (`reports_load`), together with the servers that the sender suspects
    (`suspects`: the value of a `Fault` by server id). `load_detail` is the requested detail of the load of all
    gateways; the servers in use are those in `load`, including those with 0 calls.
    """

    sender: NodeRecord
    vector: dict[str, int]
    configuration_version: int = 0
    placement_epoch: int = 0
    wait_ms: int = 0
    load: dict[str, int] = attrs.field(factory=dict)
    reports_load: bool = False
    load_detail: LoadReportDetail = LoadReportDetail.EVERY_SERVER
    suspects: dict[str, str] = attrs.field(factory=dict)


@message(
    "distribution.update",
    wire_keys={
        "writer_incarnation": "origin",
        "live_writers": "live_origins",
        "control_addresses": "controls",
        "smoothed_load": "usual_load",
    },
)
@attrs.frozen
class Update:
    """Reply to a pull.

    `writer_incarnation` is the incarnation of the replying control node, `live_writers` has those of all control nodes
    that it considers live. `quorum_age_ms` is how long ago it was in contact with a majority; `configuration` is the
    compressed document of `configuration_version` if that is newer than the requester's. `control_addresses` has all
    control nodes known to the replying one, including unreachable ones. Calls in flight over all gateways are in
    `service_load` by service and, if requested, in `server_load` and (smoothed) `smoothed_load` by server; zeros are
    omitted, except for servers requested by id. `load_age_ms` is the mean age of the gateways' reports of them.
    """

    writer_incarnation: str
    quorum_age_ms: float
    delta: Delta
    live_writers: tuple[str, ...] = ()
    gateways: int = 1
    configuration_version: int = 0
    configuration: bytes | None = None
    placement: Placement | None = None
    server_load: dict[str, int] = attrs.field(factory=dict)
    control_addresses: tuple[str, ...] = ()
    smoothed_load: dict[str, float] = attrs.field(factory=dict)
    service_load: dict[str, int] = attrs.field(factory=dict)
    load_age_ms: float = UNREPORTED_LOAD_AGE_MS


@message(
    "distribution.exchange",
    wire_keys={"sender": "me", "receiver_incarnation": "to", "last_seen_sequences": "heard"},
)
@attrs.frozen
class Exchange:
    """A control node sends another the entries that it lacks, and its own vector.

    `receiver_incarnation` is the incarnation for which `delta` was computed; any other ignores the delta.
    `last_seen_sequences` has the newest sequence of the heartbeats that the sender received recently, by server id;
    `load` the calls in flight reported to the sender (`load_age_ms` ago in the mean); `suspects` the number of nodes
    that suspect a fault, by server id and value of the `Fault`.
    """

    sender: NodeRecord
    receiver_incarnation: str
    delta: Delta
    vector: dict[str, int]
    last_seen_sequences: dict[str, int] = attrs.field(factory=dict)
    load: dict[str, int] = attrs.field(factory=dict)
    suspects: dict[str, dict[str, int]] = attrs.field(factory=dict)
    load_age_ms: float = UNREPORTED_LOAD_AGE_MS


@message("distribution.exchanged", wire_keys={"sender": "me"})
@attrs.frozen
class Exchanged:
    """Reply to an exchange: the entries that the requester lacks. `vector` covers the entries of the exchange too."""

    sender: NodeRecord
    delta: Delta
    vector: dict[str, int]


@message("placement.moved")
@attrs.frozen
class PlacementMoved:
    """A shard's owner reports that the group that joins at this epoch stores all records of the shard."""

    shard: int
    epoch: int
