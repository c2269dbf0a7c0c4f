"""Messages by which tools ask a store what it holds; asking changes nothing."""

from __future__ import annotations

import attrs

from emberring.transport.messages import message


@message("store.ask_status")
@attrs.frozen
class AskStoreStatus:
    """A tool asks a store what it holds. `lots`: also list lots of the shards that it owns."""

    lots: bool = False


@attrs.frozen
class ShardStatus:
    """A shard on this store; the figures are those of its owner, and 0 on others."""

    shard: int
    owner: bool
    epoch: int
    term: str
    lots: int = 0
    waiting_items: int = 0
    waiting_tokens: int = 0


@attrs.frozen
class LotStatus:
    """A lot: how many of its items are listed, and how long ago it was accepted (seconds)."""

    shard: int
    host: str
    id: str
    total: int
    listed: int
    ended: bool
    age_s: float


@message("store.status")
@attrs.frozen
class StoreStatus:
    """The answer."""

    identity: str
    disk_failed: bool
    disk_stalled_s: float
    shards: tuple[ShardStatus, ...]
    lots: tuple[LotStatus, ...] = ()
