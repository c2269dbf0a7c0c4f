"""What nodes tell one another about nodes and model servers."""

from __future__ import annotations

from enum import Enum

import attrs


class NodeRole(Enum):
    """The programs of the tier."""

    GATEWAY = "gateway"
    CONTROL = "control"
    STORE = "store"


class ServerState(Enum):
    """What is known of a model server; `GONE` said goodbye, `LOST` fell silent."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"
    LOST = "lost"


@attrs.frozen
class NodeRecord:
    """A node of the tier. `identity` is kept on its disk ("" without one), `incarnation` is new at each start."""

    name: str
    role: NodeRole
    address: str
    zone: str
    identity: str = ""
    incarnation: str = ""
    leaving: bool = False


@attrs.frozen
class ServerRecord:
    """A model server's incarnation, as its newest heartbeat said. `cold_ms` is how much longer it is slow."""

    id: str
    service: str
    address: str
    zone: str
    capacity: int
    state: ServerState
    sequence: int
    cold_ms: float = 0.0
    version: str = ""
