"""The lots of one shard at its owner: taking, running, listing, ending. No I/O.

Calls that wait have a number and are answered by an `Answer` or a `Refuse` with it. What must last is given as a
`Propose`; `chosen` tells the book when it does. Times are seconds of the steady clock.
"""

from __future__ import annotations

from emberring.configuration.model import Configuration
from emberring.errors import EmberringError
from emberring.jobs.calls import (
    Assignment,
    EndLot,
    FinishRun,
    ReadItem,
    ReadLot,
    ReportAnswer,
    ReportRuns,
    SubmitLot,
)
from emberring.jobs.definition import decode_items, decode_terms
from emberring.jobs.lot import Item, Lot
from emberring.jobs.owned import OwnedLot, OwnedRecords
from emberring.jobs.reading import Reading
from emberring.jobs.records import DEFINITION, END, FORGOTTEN
from emberring.jobs.results import item_index
from emberring.jobs.running import Running
from emberring.jobs.shelf import BookAction, Forget, Refuse, Shelf
from emberring.jobs.taking import Taking

LOOK_EVERY_S = 0.5  # between looks at all lots
FORGET_SLACK_S = 5.0
LISTED_SLACK_S = 30.0  # a lot that is all listed but not ended is kept for so much longer than `StatusS`


class LotBook:
    """One shard's lots. `status_s`: for how long an ended lot can be read after it was handed in."""

    def __init__(self, shard: int, records: OwnedRecords, status_s: float, seed: int) -> None:
        self.shard = shard
        self._shelf = Shelf(records)
        self._taking = Taking(self._shelf)
        self._reading = Reading(self._shelf)
        self._running = Running(self._shelf, seed)
        self._status_s = status_s
        self._looked_s = 0.0

    @property
    def waiting(self) -> int:
        """How many items wait for a server, at most."""
        return self._running.waiting

    @property
    def lots(self) -> dict[str, Lot]:
        """All lots by key."""
        return self._shelf.lots

    @property
    def waiting_tokens(self) -> dict[str, int]:
        """Tokens that wait, by route."""
        return self._shelf.waiting_tokens

    def configure(self, configuration: Configuration) -> None:
        """A newer configuration is in force."""
        self._shelf.configure(configuration)

    # Ownership.

    def adopt(self, now_s: float, lots: dict[str, OwnedLot]) -> list[BookAction]:
        """This store owns the shard, and these records are all there are. Runs that the book knows of go on;
        calls that wait for something to last are sent away, to ask again."""
        before = dict(self._shelf.lots)
        self.lose_calls()
        self._shelf.clear()
        for key, owned in lots.items():
            if DEFINITION in owned.slots and FORGOTTEN not in owned.slots:
                self._adopt_lot(now_s, key, owned, before.get(key))
        return self._take()

    def _adopt_lot(self, now_s: float, key: str, owned: OwnedLot, known: Lot | None) -> None:
        value = owned.slots[DEFINITION].value
        specs = decode_items(value)
        items = [Item(spec.id, spec.tokens, counted=False) for spec in specs]
        lot = Lot(key, decode_terms(value), owned.accepted_s, items, accepted=True)
        lot.ended = lot.end_lasts = END in owned.slots
        self._shelf.lots[key] = lot
        for position, slot in owned.slots.items():
            if position >= 0:
                lot.positions[position] = item_index(slot.value)
                lot.choose(position)
        for index, item in enumerate(items):
            if not item.done and not lot.ended:
                self._shelf.count(lot, item)
                self._running.adopt(now_s, lot, index, known.items[index] if known else None)

    def lose(self) -> list[BookAction]:
        """Another store may own the shard."""
        self.lose_calls()
        self._shelf.clear()
        return self._take()

    def lose_calls(self) -> None:
        """Whoever waits is told that nothing is sure."""
        self._taking.lost()
        self._reading.lost()
        self._running.lost()

    def chosen(self, now_s: float, key: str, slot: int) -> list[BookAction]:
        """What was proposed for a slot lasts."""
        lot = self._shelf.lots.get(key)
        if lot is None:
            return []
        if slot == DEFINITION:
            self._taking.taken(lot)
        elif slot == END:
            self._taking.ended(lot)
            self._reading.more(lot)
        elif slot == FORGOTTEN:
            del self._shelf.lots[key]
        elif slot in lot.positions:
            lot.choose(slot)
            self._running.listed(lot, lot.positions[slot])
            self._reading.more(lot)
        return self._take()

    # Calls.

    def submit(self, now_s: float, call: int, message: SubmitLot) -> list[BookAction]:
        """A lot is handed in."""
        try:
            self._taking.submit(now_s, call, message)
        except EmberringError as error:
            self._shelf.out.append(Refuse(call, error))
        return self._take()

    def end(self, call: int, message: EndLot) -> list[BookAction]:
        """A lot is ended."""
        self._taking.end(call, message)
        return self._take()

    def read(self, now_s: float, call: int, message: ReadLot) -> list[BookAction]:
        """Results are read."""
        self._reading.read(now_s, call, message)
        return self._take()

    def item(self, call: int, message: ReadItem) -> list[BookAction]:
        """An item's body is read."""
        self._reading.item(call, message)
        return self._take()

    def take(self, now_s: float, gateway: str, room: int) -> list[Assignment]:
        """Up to `room` items for a gateway."""
        return self._running.take(now_s, gateway, room, self.shard)

    def report(self, now_s: float, message: ReportRuns) -> ReportAnswer:
        """Runs go on."""
        return self._running.report(now_s, message)

    def finish(self, now_s: float, call: int, message: FinishRun) -> list[BookAction]:
        """A run has ended."""
        self._running.finish(now_s, call, message)
        return self._take()

    # Time.

    def tick(self, now_s: float) -> list[BookAction]:
        """Time goes on."""
        if not self._reading.idle:
            self._reading.tick(now_s)
        if not self._running.idle:
            self._running.tick(now_s)
        if now_s - self._looked_s >= LOOK_EVERY_S:
            self._looked_s = now_s
            for lot in list(self._shelf.lots.values()):
                self._look_at(now_s, lot)
        return self._take()

    def _look_at(self, now_s: float, lot: Lot) -> None:
        if not lot.all_shown:
            self._running.give_up(now_s, lot)
        age_s = now_s - lot.accepted_s
        kept_s = self._status_s + (FORGET_SLACK_S if lot.end_lasts else LISTED_SLACK_S)
        if age_s > kept_s and (lot.end_lasts or lot.all_shown) and not lot.forgetting:
            lot.forgetting = True
            self._shelf.out.append(Forget(lot.key))

    def _take(self) -> list[BookAction]:
        out, self._shelf.out = self._shelf.out, []
        return out
