"""Which gateways and stores are in contact with a control node, and the calls in flight that they told. No sockets."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping

import attrs

from emberring.distribution.records import NodeRecord
from emberring.registry.faults import sum_suspicions

CONTACT_TIMEOUT_S = 1.4  # a node that did not pull for so long is no longer in contact
LOAD_FRESH_S = 1.2


@attrs.define
class _Contact:
    record: NodeRecord
    at_s: float


@attrs.frozen
class LoadReport:
    """What a node told of model servers: its calls in flight, and which trouble it finds with which, by server id."""

    calls: Mapping[str, int]
    suspects: Mapping[str, str] = attrs.field(factory=dict)


@attrs.frozen
class _ReceivedReport:
    report: LoadReport
    at_s: float


class Contacts:
    """Nodes by name, as they called this control node."""

    def __init__(self) -> None:
        self._contacts: dict[str, _Contact] = {}
        self._told: dict[str, _ReceivedReport] = {}

    def on_contact(self, now_s: float, record: NodeRecord, report: LoadReport | None = None) -> bool:
        """A node called, and may have told something; whether this says anything new about the node."""
        if report is not None:
            self._told[record.name] = _ReceivedReport(report, now_s)
        contact = self._contacts.get(record.name)
        if contact is None:
            self._contacts[record.name] = _Contact(record, now_s)
            return True
        changed = contact.record != record
        contact.record, contact.at_s = record, now_s
        return changed

    def expired(self, now_s: float) -> list[NodeRecord]:
        """Nodes whose contact has just ended."""
        gone = [
            contact.record for contact in self._contacts.values() if now_s - contact.at_s > CONTACT_TIMEOUT_S
        ]
        for record in gone:
            del self._contacts[record.name]
            self._told.pop(record.name, None)
        return gone

    def restart_timeouts(self, now_s: float) -> None:
        """This node was frozen: nobody's silence counts."""
        for contact in self._contacts.values():
            contact.at_s = now_s

    def drop(self, name: str) -> NodeRecord | None:
        """Forget a contact that another control node has under a newer incarnation."""
        contact = self._contacts.pop(name, None)
        return contact.record if contact is not None else None

    def record_of(self, name: str) -> NodeRecord | None:
        """What a node in contact said of itself."""
        contact = self._contacts.get(name)
        return contact.record if contact is not None else None

    def load(self, now_s: float) -> dict[str, int]:
        """Calls in flight by server id, over the nodes that told this control node."""
        return sum_by_server(report.calls for report in self._fresh(now_s))

    def load_age_s(self, now_s: float) -> float:
        """How long ago, in the mean, the nodes told the calls that `load` sums; 0 if none did."""
        ages = [now_s - told.at_s for told in self._told.values() if now_s - told.at_s < LOAD_FRESH_S]
        return sum(ages) / len(ages) if ages else 0.0

    def suspects(self, now_s: float) -> dict[str, dict[str, int]]:
        """By server id: how many nodes that told this control node hold it to have which trouble."""
        return sum_suspicions(
            {server_id: {trouble: 1} for server_id, trouble in report.suspects.items()}
            for report in self._fresh(now_s)
        )

    def _fresh(self, now_s: float) -> list[LoadReport]:
        return [told.report for told in self._told.values() if now_s - told.at_s < LOAD_FRESH_S]


def sum_by_server(loads: Iterable[Mapping[str, int]]) -> dict[str, int]:
    """The sum by server id."""
    total: Counter[str] = Counter()
    for load in loads:
        total.update(load)
    return dict(total)
