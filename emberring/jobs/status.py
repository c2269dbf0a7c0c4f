"""Messages with which tools read the status of a store; reading has no side effects."""

from __future__ import annotations

import attrs

from emberring.transport.messages import message, wire_record


@message("store.ask_status", wire_keys={"jobs": "lots"})
@attrs.frozen
class StoreStatusRequest:
    """Request the status of a store. `jobs`: include the batch jobs of the shards that it owns."""

    jobs: bool = False


@wire_record({"jobs": "lots"})
@attrs.frozen
class ShardStatus:
    """Status of a shard on a store; the counts are reported by the owner only and are 0 on other stores."""

    shard: int
    owner: bool
    epoch: int
    term: str
    jobs: int = 0
    waiting_items: int = 0
    waiting_tokens: int = 0


@attrs.frozen
class JobStatus:
    """Status of a batch job. `listed`: number of visible results; `age_s`: seconds since it was accepted."""

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
