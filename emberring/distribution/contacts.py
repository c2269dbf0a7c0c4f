"""The gateways and stores in contact with a control node, and their load reports. Does no network I/O."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping

import attrs

from emberring.distribution.records import NodeRecord
from emberring.registry.faults import sum_suspicions

CONTACT_TIMEOUT_S = 1.4  # a node that has not pulled for this long is no longer in contact
LOAD_FRESH_S = 1.2  # older load reports are ignored


@attrs.define
class _Contact:
    record: NodeRecord
    last_seen_s: float


@attrs.frozen
class LoadReport:
    """A node's report about model servers, by server id.

    `calls` are its calls in flight, `suspects` the values of the `Fault` that it suspects.
    """

    calls: Mapping[str, int]
    suspects: Mapping[str, str] = attrs.field(factory=dict)


@attrs.frozen
class _ReceivedReport:
    report: LoadReport
    received_s: float


class Contacts:
    """Contacts and load reports by the name of the node. Times are seconds of the monotonic clock."""

    def __init__(self) -> None:
        self._contacts: dict[str, _Contact] = {}
        self._reports: dict[str, _ReceivedReport] = {}

    def on_contact(self, now_s: float, record: NodeRecord, report: LoadReport | None = None) -> bool:
        """Process a pull, with the load report if it has one; return whether the record is new or changed."""
        if report is not None:
            self._reports[record.name] = _ReceivedReport(report, now_s)
        contact = self._contacts.get(record.name)
        if contact is None:
            self._contacts[record.name] = _Contact(record, now_s)
            return True
        changed = contact.record != record
        contact.record, contact.last_seen_s = record, now_s
        return changed

    def expired(self, now_s: float) -> list[NodeRecord]:
        """Remove and return the nodes whose contact has timed out."""
        absent = [
            contact.record
            for contact in self._contacts.values()
            if now_s - contact.last_seen_s > CONTACT_TIMEOUT_S
        ]
        for record in absent:
            del self._contacts[record.name]
            self._reports.pop(record.name, None)
        return absent

    def restart_timeouts(self, now_s: float) -> None:
        """Restart the timeouts of all contacts, as this node was frozen."""
        for contact in self._contacts.values():
            contact.last_seen_s = now_s

    def drop(self, name: str) -> NodeRecord | None:
        """Remove a contact whose node has a newer incarnation elsewhere, and return its record."""
        contact = self._contacts.pop(name, None)
        return contact.record if contact is not None else None

    def record_of(self, name: str) -> NodeRecord | None:
        """The record of a node in contact; None if it is not in contact."""
        contact = self._contacts.get(name)
        return contact.record if contact is not None else None

    def load(self, now_s: float) -> dict[str, int]:
        """Calls in flight by server id, summed over the nodes that report to this control node."""
        return sum_by_server(received.report.calls for received in self._fresh_reports(now_s))

    def load_age_s(self, now_s: float) -> float:
        """The mean age (s) of the load reports that `load` sums; 0 if there are none."""
        ages = [now_s - received.received_s for received in self._fresh_reports(now_s)]
        return sum(ages) / len(ages) if ages else 0.0

    def suspects(self, now_s: float) -> dict[str, dict[str, int]]:
        """The number of nodes reporting to this control node that suspect a fault, by server id and fault."""
        return sum_suspicions(
            {server_id: {fault: 1} for server_id, fault in received.report.suspects.items()}
            for received in self._fresh_reports(now_s)
        )

    def _fresh_reports(self, now_s: float) -> list[_ReceivedReport]:
        return [received for received in self._reports.values() if now_s - received.received_s < LOAD_FRESH_S]


def sum_by_server(loads: Iterable[Mapping[str, int]]) -> dict[str, int]:
    """Sum the calls in flight by server id."""
    total: Counter[str] = Counter()
    for load in loads:
        total.update(load)
    return dict(total)
