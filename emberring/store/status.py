"""What a store tells tools about its shards and lots; reading it changes nothing."""

from __future__ import annotations

import asyncio

from emberring.jobs.lot import Lot
from emberring.jobs.records import Term
from emberring.jobs.status import AskStoreStatus, LotStatus, ShardStatus, StoreStatus
from emberring.store.shards import Shards
from emberring.transport.network import Caller

MOST_LOTS = 500  # that one answer lists


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
