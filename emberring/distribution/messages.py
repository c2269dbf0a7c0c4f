"""Messages of distribution: what control nodes exchange, and what gateways and stores pull from them.

A writer is one incarnation of a control node. It numbers its entries from 1 on; a version vector holds, for each
writer, the number up to which every entry is known. Of the entries of one writer about the same node or server only
the newest travels.
"""

from __future__ import annotations

import attrs

from emberring.distribution.load_report import LoadReportDetail
from emberring.distribution.records import NodeRecord, ServerRecord
from emberring.placement.model import Placement
from emberring.transport.messages import message, wire_record

UNREPORTED_LOAD_AGE_MS = (
    300.0  # assumed age of a load report by a node of an older version, which reports no age
)


@wire_record({"writer_incarnation": "origin", "record": "fact"})
@attrs.frozen
class ServerEntry:
    """What a writer recorded about a model server, under this number."""

    writer_incarnation: str
    number: int
    record: ServerRecord


@wire_record({"writer_incarnation": "origin", "record": "fact"})
@attrs.frozen
class NodeEntry:
    """Whether a node is in contact with a writer, under this number."""

    writer_incarnation: str
    number: int
    record: NodeRecord
    present: bool


@attrs.frozen
class Delta:
    """All entries that are newer than the requester's vector; who applies it knows every entry up to `vector`."""

    vector: dict[str, int] = attrs.field(factory=dict)
    servers: tuple[ServerEntry, ...] = ()
    nodes: tuple[NodeEntry, ...] = ()

    @property
    def empty(self) -> bool:
        """Whether it has no entries."""
        return not self.servers and not self.nodes


@message("distribution.pull", wire_keys={"sender": "me", "reports_load": "tells_load", "load_detail": "word"})
@attrs.frozen
class Pull:
    """Request of a gateway or store to a control node for the updates that it lacks.

    The reply is held back up to `wait_ms` until there is an update. `load` is the sender's calls in flight by server
    id; only one control node receives it (`reports_load`), and with it which servers the sender suspects (`suspects`:
    the value of a `Fault` by server id). `load_detail` is the detail requested of the load of all gateways; the servers
    in use are those in `load`, also those where the sender has no calls at the moment.
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

    `writer_incarnation` is the incarnation of the control node that replies, `live_writers` are those of all control
    nodes that it takes for live. `quorum_age_ms` is how long ago it was in contact with a majority; `configuration` is
    the compressed document of `configuration_version` if that is newer than the requester's. `control_addresses` has
    all control nodes that this one has heard of, also those it can't reach. Calls in flight over all gateways:
    `service_load` by service, and as far as requested by server `server_load` and, smoothed, `smoothed_load`; entries
    of 0 are left out, unless they were requested by name. `load_age_ms` is how long ago, in the mean, the gateways
    reported them.
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

    `receiver_incarnation` is the incarnation for which `delta` was made; any other applies nothing of it.
    `last_seen_sequences` has, by server id, the newest sequence of the heartbeats received here lately; `load` the
    calls in flight that nodes reported to the sender (`load_age_ms` ago in the mean); `suspects` how many of them
    suspect a server of which fault (by server id and value of a `Fault`).
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
    """Reply to an exchange: the entries that the requester lacked. `vector` includes what the exchange brought."""

    sender: NodeRecord
    delta: Delta
    vector: dict[str, int]


@message("placement.moved")
@attrs.frozen
class PlacementMoved:
    """The owner of a shard reports that the group that joins at this epoch holds all of its records."""

    shard: int
    epoch: int
