"""Messages by which tools read a store's status; reading changes nothing."""

from __future__ import annotations

import attrs

from emberring.transport.messages import message, wire_record


@message("store.ask_status", wire_keys={"jobs": "lots"})
@attrs.frozen
class StoreStatusRequest:
    """Ask a store for its status. `jobs`: also list the batch jobs of the shards that it owns."""

    jobs: bool = False


@wire_record({"jobs": "lots"})
@attrs.frozen
class ShardStatus:
    """A shard on this store; the numbers are those of its owner, and 0 on other stores."""

    shard: int
    owner: bool
    epoch: int
    term: str
    jobs: int = 0
    waiting_items: int = 0
    waiting_tokens: int = 0


@attrs.frozen
class JobStatus:
    """A batch job: how many of its items are listed, and how long ago it was accepted, in seconds."""

    shard: int
    host: str
    id: str
    total: int
    listed: int
    ended: bool
    age_s: float


@message("store.status", wire_keys={"jobs": "lots"})
@attrs.frozen
class StoreStatus:
    """The status of a store."""

    identity: str
    disk_failed: bool
    disk_stalled_s: float
    shards: tuple[ShardStatus, ...]
    jobs: tuple[JobStatus, ...] = ()
