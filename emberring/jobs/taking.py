"""How lots are taken and ended: each durable before it is said, each refusal before anything is written."""

from __future__ import annotations

from emberring.errors import InDoubtError, NotFoundError, QuotaExceededError
from emberring.jobs.calls import EndLot, SubmitLot
from emberring.jobs.definition import encode_definition, parse_items
from emberring.jobs.lot import Item, Lot
from emberring.jobs.records import DEFINITION, END, FORGOTTEN, lot_key
from emberring.jobs.shelf import Answer, Propose, Refuse, Shelf
from emberring.transport.messages import Ok

QUOTA_SLACK = 1.02  # what servers have finished is known a little late


class Taking:
    """Submissions and ends of one shard's lots, and the calls that wait for them to last."""

    def __init__(self, shelf: Shelf) -> None:
        self._shelf = shelf
        self._submitters: dict[str, list[int]] = {}
        self._enders: dict[str, list[int]] = {}

    def submit(self, now_s: float, call: int, message: SubmitLot) -> None:
        """A lot is handed in. The same lot again gets the same answer; a lot that does not fit leaves nothing."""
        key = lot_key(message.host, message.lot)
        known = self._shelf.lots.get(key)
        if known is None and self._shelf.records.find(key, FORGOTTEN) is None:
            known = self._take(now_s, call, key, message)
            if known is None:
                return
        if known is None or known.accepted:
            self._shelf.out.append(Answer(call, Ok()))
        else:
            self._submitters.setdefault(key, []).append(call)

    def _take(self, now_s: float, call: int, key: str, message: SubmitLot) -> Lot | None:
        specs = parse_items(message.body)
        items = [Item(spec.id, spec.tokens, counted=False) for spec in specs]
        lot = Lot(key, message.terms, now_s, items)
        if not self._fits(lot):
            error = QuotaExceededError(f"{lot.tokens} tokens do not fit into {message.terms.route}")
            self._shelf.out.append(Refuse(call, error))
            return None
        self._shelf.lots[key] = lot
        for item in items:
            self._shelf.count(lot, item)
        value = encode_definition(message.terms, message.body)
        self._shelf.out.append(Propose(key, DEFINITION, value, now_s))
        return lot

    def _fits(self, lot: Lot) -> bool:
        terms, configuration = lot.terms, self._shelf.configuration
        limit = terms.max_queued_tokens
        route = self._shelf.route_of(lot)
        if route is not None and configuration is not None and configuration.version >= terms.version:
            limit = route.max_queued_tokens
        waiting = self._shelf.waiting_tokens.get(terms.route, 0)
        return limit <= 0 or waiting + lot.tokens <= limit * QUOTA_SLACK

    def end(self, call: int, message: EndLot) -> None:
        """A lot is ended; from here on none of its items is given out, whether or not the end comes to last."""
        key = lot_key(message.host, message.lot)
        lot = self._shelf.lots.get(key)
        if lot is None or lot.end_lasts:
            known = lot is not None or self._shelf.records.find(key, FORGOTTEN) is not None
            self._shelf.out.append(
                Answer(call, Ok()) if known else Refuse(call, NotFoundError(f"no lot {message.lot}"))
            )
            return
        self._enders.setdefault(key, []).append(call)
        if not lot.ended:
            lot.ended = True
            for item in lot.items:
                self._shelf.release(lot, item)
            self._shelf.out.append(Propose(key, END, b"", lot.accepted_s))

    def taken(self, lot: Lot) -> None:
        """The definition lasts: the lot is the system's to keep, and its items wait for servers."""
        if lot.accepted:
            return
        lot.accepted = True
        for index in range(len(lot.items)):
            self._shelf.queue(lot, index)
        self._answer(self._submitters.pop(lot.key, ()))

    def ended(self, lot: Lot) -> None:
        """The end lasts."""
        lot.end_lasts = True
        self._answer(self._enders.pop(lot.key, ()))

    def _answer(self, calls: list[int] | tuple[()]) -> None:
        self._shelf.out.extend(Answer(call, Ok()) for call in calls)

    def lost(self) -> None:
        """Another store owns the shard: whoever waits is told that nothing is sure."""
        for calls in (*self._submitters.values(), *self._enders.values()):
            self._shelf.out.extend(Refuse(call, InDoubtError("the owner changed")) for call in calls)
        self._submitters.clear()
        self._enders.clear()
