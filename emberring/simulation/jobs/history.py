"""What clients and model servers saw of simulated lots, judged by the rules of batch jobs."""

from __future__ import annotations

from enum import Enum

import attrs
import orjson

SETTLE_S = 0.0  # an owner's answer is certain, so nothing needs to settle here
CANCEL_S = 3.0
OVERAGE = 1.1


class Try(Enum):
    """How one try of a client to hand in a lot ended."""

    TAKEN = "taken"
    QUOTA = "quota"
    NOT_READY = "not_ready"
    UNCLEAR = "unclear"


@attrs.define(eq=False)
class ItemTruth:
    """What servers did with an item."""

    tokens: int
    events: int
    impossible: bool
    started: int = 0
    finished: bool = False
    failures: int = 0
    refused_422: bool = False


@attrs.define(eq=False)
class RunTruth:
    """A run at a server: the event after which it was asked to go on, None from the start."""

    item: str
    resume_after: int | None
    whole: bool


@attrs.define(eq=False)
class LotTruth:
    """A lot as its client knows it."""

    id: str
    items: dict[str, ItemTruth]
    sent_s: float
    tries: list[Try] = attrs.field(factory=list)
    taken_s: float | None = None
    end_asked_s: float | None = None
    end_acked_s: float | None = None
    shown: dict[int, tuple[str, str, str]] = attrs.field(factory=dict)


class History:
    """Everything that happened, and the mistakes found in it."""

    def __init__(self, max_tokens: int, max_attempts: int, retention_s: float) -> None:
        self.max_tokens = max_tokens
        self.max_attempts = max_attempts
        self.retention_s = retention_s
        self.lots: dict[str, LotTruth] = {}
        self.runs: dict[int, RunTruth] = {}
        self.mistakes: list[str] = []
        self._owners: dict[str, LotTruth] = {}

    def wrong(self, now_s: float, text: str) -> None:
        """A mistake."""
        self.mistakes.append(f"{now_s:.3f} s: {text}")

    def sent(self, now_s: float, lot: LotTruth) -> None:
        """A lot is handed in for the first time."""
        self.lots[lot.id] = lot
        for item in lot.items:
            self._owners[item] = lot

    def tried(self, now_s: float, lot: LotTruth, how: Try) -> None:
        """A try has ended."""
        lot.tries.append(how)
        if how is Try.TAKEN and lot.taken_s is None:
            lot.taken_s = now_s
            waiting = sum(self._waiting(other) for other in self.lots.values())
            if waiting > self.max_tokens * OVERAGE:
                self.wrong(now_s, f"QUOTA {waiting} tokens wait after {lot.id}")

    def _waiting(self, lot: LotTruth) -> int:
        if lot.taken_s is None or lot.end_asked_s is not None:
            return 0
        dead = {item for item, state, _ in lot.shown.values() if state == "dead_letter"}
        return sum(
            item.tokens
            for name, item in lot.items.items()
            if not item.finished and not item.refused_422 and name not in dead
        )

    # Servers.

    def started(self, now_s: float, item: str, resume_after: int | None) -> int:
        """An item reached a server; the number of the run."""
        lot = self._owners[item]
        lot.items[item].started += 1
        if lot.end_acked_s is not None and now_s > lot.end_acked_s + CANCEL_S:
            self.wrong(now_s, f"UNASKED {item} ran after the end of {lot.id}")
        number = len(self.runs) + 1
        self.runs[number] = RunTruth(item, resume_after, False)
        return number

    # Reads.

    def read(self, now_s: float, lot: LotTruth, start: int, body: bytes) -> None:
        """A page came."""
        page = orjson.loads(body)
        if page["Total"] != len(lot.items):
            self.wrong(now_s, f"MIXED Total {page['Total']} of {lot.id}")
        results = page["Results"]
        if page["NextPageToken"] != start + len(results):
            self.wrong(now_s, f"MIXED NextPageToken of {lot.id}")
        if not results and start in lot.shown:
            self.wrong(now_s, f"LOST nothing at {start} of {lot.id}, which was read before")
        for offset, result in enumerate(results):
            found = (result["Id"], result["State"], result["Message"])
            self._shown(now_s, lot, start + offset, found)

    def _shown(self, now_s: float, lot: LotTruth, position: int, found: tuple[str, str, str]) -> None:
        before = lot.shown.get(position)
        if before is not None:
            if before != found:
                self.wrong(now_s, f"TWICE {lot.id} at {position}: {before} then {found}")
            return
        if any(other[0] == found[0] for other in lot.shown.values()):
            self.wrong(now_s, f"TWICE {found[0]} at two positions of {lot.id}")
        lot.shown[position] = found
        item = lot.items.get(found[0])
        if item is None:
            self.wrong(now_s, f"MIXED {found[0]} is not of {lot.id}")
        elif found[1] == "completed":
            self._check_text(now_s, found[0], item, found[2])
        elif not self._may_be_dead(now_s, lot, item):
            self.wrong(now_s, f"MIXED {found[0]} dead too soon")

    def _may_be_dead(self, now_s: float, lot: LotTruth, item: ItemTruth) -> bool:
        old = now_s - lot.sent_s >= self.retention_s
        ended = lot.end_asked_s is not None
        return item.refused_422 or item.failures >= self.max_attempts or old or ended

    def _check_text(self, now_s: float, name: str, item: ItemTruth, text: str) -> None:
        last_run, last = 0, -1
        for line in text.split("\n"):
            found, run_text, number_text = line.split("#")
            run, number = int(run_text), int(number_text)
            if found != name or number != last + 1:
                self.wrong(now_s, f"ORDER {line} after {last} in the text of {name}")
                return
            asked = self.runs[run].resume_after
            if run != last_run and (last if last >= 0 else None) != asked:
                self.wrong(now_s, f"ORDER run {run} of {name} goes on after {last}, asked {asked}")
            last_run, last = run, number
        if last != item.events - 1:
            self.wrong(now_s, f"MIXED the text of {name} ends after {last}")

    def not_found(self, now_s: float, lot: LotTruth, asked_s: float) -> None:
        """A read was told that there is no such lot."""
        if lot.taken_s is not None and asked_s >= lot.taken_s + SETTLE_S:
            self.wrong(now_s, f"LOST {lot.id} is not found")

    # The end.

    def finish(self, now_s: float) -> list[str]:
        """The last checks: refused lots never ran, taken ones are whole."""
        for lot in self.lots.values():
            refused = lot.tries and all(how in (Try.QUOTA, Try.NOT_READY) for how in lot.tries)
            if refused and any(item.started for item in lot.items.values()):
                self.wrong(now_s, f"REFUSED {lot.id} ran")
            if lot.taken_s is not None and lot.end_asked_s is None and len(lot.shown) != len(lot.items):
                self.wrong(now_s, f"LOST {lot.id} has {len(lot.shown)} of {len(lot.items)} results")
        return self.mistakes
