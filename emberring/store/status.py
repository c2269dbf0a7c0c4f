"""What a store tells tools about its shards and lots; reading it changes nothing."""

from __future__ import annotations

import asyncio

import attrs

from emberring.lots.lot import Lot
from emberring.lots.records import Term
from emberring.store.shards import Shards
from emberring.transport.messages import message
from emberring.transport.network import Caller

MOST_LOTS = 500  # that one answer lists


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


class StatusDesk:
    """Answers tools."""

    def __init__(self, shards: Shards) -> None:
        self._shards = shards

    async def answer(self, asked: AskStoreStatus, caller: Caller) -> StoreStatus:
        """The status of this moment."""
        now_s = asyncio.get_running_loop().time()
        host = self._shards.host
        owned = [shard for shard, owner in self._shards.owners.items() if owner.serving(now_s)]
        lots = [
            _lot_status(now_s, shard, lot)
            for shard in (owned if asked.lots else ())
            for lot in self._shards.books[shard].lots.values()
        ]
        return StoreStatus(
            identity=host.identity,
            disk_failed=host.failed,
            disk_stalled_s=host.stalled_s(),
            shards=tuple(
                self._shard_status(shard, shard in owned)
                for shard, owner in self._shards.owners.items()
                if owner.group is not None and host.identity in owner.group.everyone
            ),
            lots=tuple(lots[:MOST_LOTS]),
        )

    def _shard_status(self, shard: int, owned: bool) -> ShardStatus:
        owner, book = self._shards.owners[shard], self._shards.books[shard]
        epoch = owner.group.epoch if owner.group is not None else 0
        if not owned:
            return ShardStatus(shard, False, epoch, _text(owner.replica.promised))
        tokens = sum(book.waiting_tokens.values())
        return ShardStatus(shard, True, epoch, _text(owner.term), len(book.lots), book.waiting, tokens)


def _text(term: Term) -> str:
    return f"{term.epoch}.{term.counter}"


def _lot_status(now_s: float, shard: int, lot: Lot) -> LotStatus:
    host, _, name = lot.key.partition("/")
    return LotStatus(shard, host, name, len(lot.items), lot.shown, lot.ended, now_s - lot.accepted_s)
