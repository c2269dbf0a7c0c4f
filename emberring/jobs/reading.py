"""How lots are read: pages of results that last, waits for the next one, bodies of items."""

from __future__ import annotations

import attrs

from emberring.errors import NotFoundError, NotReadyError
from emberring.jobs.calls import ItemBody, ReadItem, ReadLot
from emberring.jobs.lot import Lot
from emberring.jobs.records import lot_key
from emberring.jobs.results import build_page
from emberring.jobs.shelf import Answer, Refuse, Shelf


@attrs.frozen
class _Reader:
    """A read that waits for a result at its position until a time."""

    call: int
    start_after: int
    until_s: float


class Reading:
    """Reads of one shard's lots."""

    def __init__(self, shelf: Shelf) -> None:
        self._shelf = shelf
        self._readers: dict[str, list[_Reader]] = {}

    @property
    def idle(self) -> bool:
        """Whether no read waits."""
        return not self._readers

    def read(self, now_s: float, call: int, message: ReadLot) -> None:
        """A page of results; it may wait for the first."""
        lot = self._find(call, message.host, message.lot)
        if lot is None:
            return
        start = max(0, message.start_after)
        if start < lot.shown or lot.all_shown or lot.ended or message.wait_ms <= 0:
            self._answer(lot, call, start)
        else:
            reader = _Reader(call, start, now_s + message.wait_ms / 1000)
            self._readers.setdefault(lot.key, []).append(reader)

    def item(self, call: int, message: ReadItem) -> None:
        """An item's body as it was handed in."""
        lot = self._find(call, message.host, message.lot)
        if lot is None:
            return
        found = next((spec for spec in self._shelf.specs(lot) if spec.id == message.item), None)
        if found is None or lot.end_lasts:
            self._shelf.out.append(Refuse(call, NotFoundError(f"no item {message.item}")))
        else:
            self._shelf.out.append(Answer(call, ItemBody(found.decoded_body())))

    def _find(self, call: int, host: str, lot_id: str) -> Lot | None:
        """The lot; where it is certain that there is none, the call is refused so."""
        lot = self._shelf.lots.get(lot_key(host, lot_id))
        if lot is None:
            self._shelf.out.append(Refuse(call, NotFoundError(f"no lot {lot_id}")))
        elif not lot.accepted:
            self._shelf.out.append(Refuse(call, NotReadyError(f"lot {lot_id} is being taken")))
            return None
        return lot

    def _answer(self, lot: Lot, call: int, start: int) -> None:
        values = (
            owned.value
            for position in range(start, lot.shown)
            if (owned := self._shelf.records.find(lot.key, position)) is not None
        )
        self._shelf.out.append(Answer(call, build_page(len(lot.items), start, values)))

    def more(self, lot: Lot) -> None:
        """More results are shown, or the lot has ended."""
        readers = self._readers.pop(lot.key, [])
        left = []
        for reader in readers:
            if reader.start_after < lot.shown or lot.all_shown or lot.ended:
                self._answer(lot, reader.call, reader.start_after)
            else:
                left.append(reader)
        if left:
            self._readers[lot.key] = left

    def tick(self, now_s: float) -> None:
        """Reads that have waited long enough get what there is."""
        for key in list(self._readers):
            lot = self._shelf.lots.get(key)
            left = []
            for reader in self._readers.pop(key):
                if now_s < reader.until_s and lot is not None:
                    left.append(reader)
                elif lot is not None:
                    self._answer(lot, reader.call, reader.start_after)
                else:
                    self._shelf.out.append(Refuse(reader.call, NotReadyError("the lot is not held here")))
            if left:
                self._readers[key] = left

    def lost(self) -> None:
        """Another store owns the shard."""
        for readers in self._readers.values():
            for reader in readers:
                self._shelf.out.append(Refuse(reader.call, NotReadyError("the owner changed")))
        self._readers.clear()
