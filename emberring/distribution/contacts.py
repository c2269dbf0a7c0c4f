"""Which gateways and stores are in contact with a control node, and the calls in flight that they told. No sockets."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping

import attrs

from emberring.distribution.facts import NodeFact

ABSENT_S = 1.4  # a node that did not pull for so long is no longer in contact
LOAD_FRESH_S = 1.2
NOBODY: Mapping[str, str] = {}


@attrs.define
class _Contact:
    fact: NodeFact
    at_s: float


@attrs.define
class _Load:
    calls: Mapping[str, int]
    at_s: float
    suspects: Mapping[str, str]


class Contacts:
    """Nodes by name, as they called this control node."""

    def __init__(self) -> None:
        self._contacts: dict[str, _Contact] = {}
        self._loads: dict[str, _Load] = {}

    def note(
        self,
        now_s: float,
        fact: NodeFact,
        load: Mapping[str, int],
        tells_load: bool = False,
        suspects: Mapping[str, str] = NOBODY,
    ) -> bool:
        """A node called; whether this says anything new about it. An empty load counts if it `tells_load`."""
        if load or tells_load:
            self._loads[fact.name] = _Load(load, now_s, suspects)
        contact = self._contacts.get(fact.name)
        if contact is None:
            self._contacts[fact.name] = _Contact(fact, now_s)
            return True
        changed = contact.fact != fact
        contact.fact, contact.at_s = fact, now_s
        return changed

    def has(self, name: str) -> bool:
        """Whether this node is in contact."""
        return name in self._contacts

    def expired(self, now_s: float) -> list[NodeFact]:
        """Nodes whose contact has just ended."""
        gone = [contact.fact for contact in self._contacts.values() if now_s - contact.at_s > ABSENT_S]
        for fact in gone:
            del self._contacts[fact.name]
            self._loads.pop(fact.name, None)
        return gone

    def renew(self, now_s: float) -> None:
        """This node was frozen: nobody's silence counts."""
        for contact in self._contacts.values():
            contact.at_s = now_s

    def drop(self, name: str) -> NodeFact | None:
        """Forget a contact that another control node has under a newer incarnation."""
        contact = self._contacts.pop(name, None)
        return contact.fact if contact is not None else None

    def fact_of(self, name: str) -> NodeFact | None:
        """What a node in contact said of itself."""
        contact = self._contacts.get(name)
        return contact.fact if contact is not None else None

    def load(self, now_s: float) -> dict[str, int]:
        """Calls in flight by server id, over the nodes that told this control node."""
        return summed(entry.calls for entry in self._loads.values() if now_s - entry.at_s < LOAD_FRESH_S)

    def suspects(self, now_s: float) -> dict[str, dict[str, int]]:
        """By server id: how many nodes that told this control node hold it to have which trouble."""
        found: dict[str, Counter[str]] = {}
        for entry in self._loads.values():
            if now_s - entry.at_s < LOAD_FRESH_S:
                for server_id, trouble in entry.suspects.items():
                    found.setdefault(server_id, Counter())[trouble] += 1
        return {server_id: dict(troubles) for server_id, troubles in found.items()}


def summed(loads: Iterable[Mapping[str, int]]) -> dict[str, int]:
    """The sum by server id."""
    total: Counter[str] = Counter()
    for load in loads:
        total.update(load)
    return dict(total)
