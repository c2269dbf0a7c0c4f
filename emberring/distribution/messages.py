"""Messages of distribution: what control nodes tell one another, and what all other nodes pull from them.

An origin is one incarnation of a control node. It numbers what it states from 1 on; a version vector holds, for
each origin, the number up to which everything is known. Of one key only the newest statement of an origin travels.
"""

from __future__ import annotations

import attrs

from emberring.distribution.load_report import LoadReportDetail
from emberring.distribution.records import NodeRecord, ServerRecord
from emberring.placement.model import Placement
from emberring.transport.messages import message

UNTOLD_AGE_MS = 300.0  # of word whose age is not told, by a node of an older version


@attrs.frozen
class ServerEntry:
    """What an origin stated about a model server, under this number."""

    origin: str
    number: int
    fact: ServerRecord


@attrs.frozen
class NodeEntry:
    """Whether a node is in contact with an origin, under this number."""

    origin: str
    number: int
    fact: NodeRecord
    present: bool


@attrs.frozen
class Delta:
    """All that is newer than the asker's vector; whoever takes it in knows everything up to `vector`."""

    vector: dict[str, int] = attrs.field(factory=dict)
    servers: tuple[ServerEntry, ...] = ()
    nodes: tuple[NodeEntry, ...] = ()

    @property
    def empty(self) -> bool:
        """Whether it states nothing."""
        return not self.servers and not self.nodes


@message("distribution.pull")
@attrs.frozen
class Pull:
    """A gateway or store asks a control node for what it lacks. The answer is held back up to `wait_ms` until
    there is something. `load` is the asker's calls in flight by server id; only one control node is told
    (`tells_load`), and told with it which servers the asker holds to be in trouble (`suspects`, by server id).
    `word` says what to tell of all gateways' calls; the servers in use are those in `load`, with none of the asker's
    calls maybe."""

    me: NodeRecord
    vector: dict[str, int]
    configuration_version: int = 0
    placement_epoch: int = 0
    wait_ms: int = 0
    load: dict[str, int] = attrs.field(factory=dict)
    tells_load: bool = False
    word: LoadReportDetail = LoadReportDetail.EVERY_SERVER
    suspects: dict[str, str] = attrs.field(factory=dict)


@message("distribution.update")
@attrs.frozen
class Update:
    """The answer to a pull. `quorum_age_ms` is how long ago this control node was in contact with a majority;
    `configuration` is the compressed document of `configuration_version` if that is newer than the asker's.
    `controls` are the addresses of all control nodes that this one has heard of, also of those it can't reach.
    Calls in flight over all gateways: `service_load` by service, and as far as they were asked for by server
    `server_load` and, smoothed, `usual_load`. What has none is left out, unless it was asked for by name.
    `load_age_ms` is how long ago, in the mean, the gateways told this."""

    origin: str
    quorum_age_ms: float
    delta: Delta
    live_origins: tuple[str, ...] = ()
    gateways: int = 1
    configuration_version: int = 0
    configuration: bytes | None = None
    placement: Placement | None = None
    server_load: dict[str, int] = attrs.field(factory=dict)
    controls: tuple[str, ...] = ()
    usual_load: dict[str, float] = attrs.field(factory=dict)
    service_load: dict[str, int] = attrs.field(factory=dict)
    load_age_ms: float = UNTOLD_AGE_MS


@message("distribution.exchange")
@attrs.frozen
class Exchange:
    """A control node tells another what that one lacks, and says what it has itself. `heard` has the newest
    sequence by server id of heartbeats taken here lately, `load` the calls in flight that nodes told this one
    (`load_age_ms` ago in the mean), `suspects` how many of them hold a server to have which trouble.
    `to` is the origin for which `delta` was made; any other takes nothing from it."""

    me: NodeRecord
    to: str
    delta: Delta
    vector: dict[str, int]
    heard: dict[str, int] = attrs.field(factory=dict)
    load: dict[str, int] = attrs.field(factory=dict)
    suspects: dict[str, dict[str, int]] = attrs.field(factory=dict)
    load_age_ms: float = UNTOLD_AGE_MS


@message("distribution.exchanged")
@attrs.frozen
class Exchanged:
    """The answer to an exchange: what the asker lacked. `vector` counts what the exchange brought."""

    me: NodeRecord
    delta: Delta
    vector: dict[str, int]


@message("placement.moved")
@attrs.frozen
class PlacementMoved:
    """An owner of a shard says that all records stand on the group that joins at this epoch."""

    shard: int
    epoch: int
