"""The lots of one shard in its owner's memory, shared by the parts of the book; and what the book asks for."""

from __future__ import annotations

from collections import OrderedDict
from typing import Any

import attrs

from emberring.configuration.model import Configuration, Route, RouteType
from emberring.errors import EmberringError
from emberring.jobs.definition import ItemSpec, decode_items
from emberring.jobs.lot import Item, ItemStatus, Lot
from emberring.jobs.owned import OwnedRecords
from emberring.jobs.records import DEFINITION
from emberring.jobs.results import ResultState, encode_result
from emberring.jobs.schedule import Entry, Schedule

SPECS_KEPT = 16


@attrs.frozen
class Propose:
    """Write this value into a slot."""

    key: str
    slot: int
    value: bytes
    accepted_s: float


@attrs.frozen
class Answer:
    """Answer the call with this number."""

    call: int
    body: Any


@attrs.frozen
class Refuse:
    """Refuse the call with this number."""

    call: int
    error: EmberringError


@attrs.frozen
class Forget:
    """The lot's room may be used again."""

    key: str


BookAction = Propose | Answer | Refuse | Forget


class Shelf:
    """All lots, the order in which items run, the tokens that wait, and the actions given so far."""

    def __init__(self, records: OwnedRecords) -> None:
        self.records = records
        self.lots: dict[str, Lot] = {}
        self.schedule = Schedule()
        self.configuration: Configuration | None = None
        self._route_names: frozenset[str] = frozenset()
        self.waiting_tokens: dict[str, int] = {}
        self.out: list[BookAction] = []
        self._specs: OrderedDict[str, list[ItemSpec]] = OrderedDict()

    def configure(self, configuration: Configuration) -> None:
        """A newer configuration is in force."""
        self.configuration = configuration
        self._route_names = frozenset(route.name for route in configuration.routes)

    def clear(self) -> None:
        """Forget everything but the configuration."""
        self.lots.clear()
        self.schedule = Schedule()
        self.waiting_tokens.clear()
        self._specs.clear()

    def route_of(self, lot: Lot) -> Route | None:
        """The lot's route as now configured; None if it is not known here."""
        if self.configuration is None:
            return None
        route = self.configuration.route_for(lot.host, lot.terms.path)
        return route if route is not None and route.type is RouteType.BATCH else None

    def route_gone(self, lot: Lot) -> bool:
        """Whether a configuration not older than the lot's certainly has no such route."""
        if self.configuration is None or self.configuration.version < lot.terms.version:
            return False
        return lot.terms.route not in self._route_names and self.route_of(lot) is None

    def max_attempts(self, lot: Lot) -> int:
        """How many answers of 500 end an item."""
        route = self.route_of(lot)
        return max(1, lot.terms.max_attempts, route.max_attempts if route else 0)

    def retention_s(self, lot: Lot) -> float:
        """When its items may be given up, seconds after it was accepted."""
        route = self.route_of(lot)
        return max(lot.terms.retention_s, route.retention_s if route else 0.0)

    def specs(self, lot: Lot) -> list[ItemSpec]:
        """The items as submitted, read again from the definition."""
        specs = self._specs.get(lot.key)
        if specs is None:
            owned = self.records.find(lot.key, DEFINITION)
            assert owned is not None
            specs = self._specs[lot.key] = decode_items(owned.value)
            while len(self._specs) > SPECS_KEPT:
                self._specs.popitem(last=False)
        return specs

    def count(self, lot: Lot, item: Item) -> None:
        """The item's tokens wait."""
        if not item.counted:
            item.counted = True
            route = lot.terms.route
            self.waiting_tokens[route] = self.waiting_tokens.get(route, 0) + item.tokens

    def release(self, lot: Lot, item: Item) -> None:
        """The item's tokens wait no longer."""
        if item.counted:
            item.counted = False
            self.waiting_tokens[lot.terms.route] -= item.tokens

    def queue(self, lot: Lot, index: int) -> None:
        """The item waits for a server."""
        given_up_s = lot.accepted_s + self.retention_s(lot)
        self.schedule.add(Entry(lot.due_s, given_up_s, lot.key, index))

    def place(self, lot: Lot, index: int, state: ResultState, message: str) -> None:
        """Give the item the next position, for good once it lasts."""
        item = lot.items[index]
        position = lot.free_position()
        lot.positions[position] = index
        item.status, item.run, item.events = ItemStatus.PLACED, None, ()
        self.release(lot, item)
        value = encode_result(index, item.id, state, message)
        self.out.append(Propose(lot.key, position, value, lot.accepted_s))
