"""Status records of nodes and model servers."""

from __future__ import annotations

from enum import Enum

import attrs


class NodeRole(Enum):
    """The role of a node in the tier."""

    GATEWAY = "gateway"
    CONTROL = "control"
    STORE = "store"


class ServerState(Enum):
    """The state of a model server: `GONE` after its goodbye, `LOST` after missed heartbeats."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"
    LOST = "lost"


@attrs.frozen
class NodeRecord:
    """A node of the tier.

    `address` is its internal address, `identity` is stored on its disk ("" without one), `incarnation` is new at each
    start, `leaving` is whether it is shutting down.
    """

    name: str
    role: NodeRole
    address: str
    zone: str
    identity: str = ""
    incarnation: str = ""
    leaving: bool = False


@attrs.frozen
class ServerRecord:
    """One incarnation of a model server, as its newest heartbeat reported.

    `capacity` is in concurrent calls, `sequence` increases with each heartbeat, `cold_ms` is the
    remaining time of its warm-up.
    """

    id: str
    service: str
    address: str
    zone: str
    capacity: int
    state: ServerState
    sequence: int
    cold_ms: float = 0.0
    version: str = ""
