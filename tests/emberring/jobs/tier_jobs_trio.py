"""Owners and replicas of one shard that talk through a queue which a test empties as it likes."""

from __future__ import annotations

from typing import Any

import attrs

from emberring.jobs.messages import RenewLeases
from emberring.jobs.owner import BecameOwner, Chosen, LostOwnership, Moved, OwnerAction, Send, ShardOwner
from emberring.jobs.replica import REFUSE_S, Action, Fail, Persist, Replica, Reply
from emberring.jobs.replica_log import Entry
from emberring.placement.model import Group


@attrs.define(eq=False)
class Node:
    """A store: what its disk holds, its replica and its owner."""

    name: str
    log: list[Entry] = attrs.field(factory=list)
    replica: Replica = attrs.field(factory=lambda: Replica(0))
    owner: ShardOwner | None = None
    life: int = 0
    truth: dict[tuple[str, int], bytes] = attrs.field(factory=dict)  # when it last became the owner
    moved: list[int] = attrs.field(factory=list)
    lost: int = 0


@attrs.define(eq=False)
class Letter:
    """A call of an owner to a replica."""

    origin: Node
    life: int
    send: Send


@attrs.define(eq=False)
class Trio:
    """Some stores. `chosen` has what was ever chosen, with the value."""

    nodes: dict[str, Node] = attrs.field(factory=dict)
    letters: list[Letter] = attrs.field(factory=list)
    chosen: dict[tuple[str, int], bytes] = attrs.field(factory=dict)
    now_s: float = 0.0
    cut: set[str] = attrs.field(factory=set)
    group: Group | None = None

    @classmethod
    def of(cls, names: str, group: Group) -> Trio:
        trio = cls()
        for name in names:
            trio.start(name)
        trio.place(group)
        return trio

    def start(self, name: str) -> None:
        """Start a store on what its disk holds."""
        node = self.nodes.setdefault(name, Node(name))
        node.life += 1
        node.replica = Replica(0)
        for entry in node.log:
            node.replica.apply(self.now_s, entry, 0)
        node.replica.restored(self.now_s + REFUSE_S)
        node.owner = ShardOwner(name, node.replica, node.life)
        node.truth = {}
        if self.group is not None:
            self.act(node, node.owner.set_group(self.now_s, self.group))

    def wipe(self, name: str) -> None:
        """A disk is lost; its store does not come back under this name."""
        del self.nodes[name]

    def place(self, group: Group) -> None:
        self.group = group
        for node in self.nodes.values():
            assert node.owner is not None
            self.act(node, node.owner.set_group(self.now_s, group))

    def act(self, node: Node, actions: list[OwnerAction]) -> None:
        for action in actions:
            if isinstance(action, Send):
                self.letters.append(Letter(node, node.life, action))
            elif isinstance(action, Chosen):
                self._check_chosen(node, action)
            elif isinstance(action, BecameOwner):
                node.truth = {
                    (key, slot): owned.value
                    for key, job in action.jobs.items()
                    for slot, owned in job.slots.items()
                }
                for ref, value in self.chosen.items():
                    assert node.truth.get(ref) == value, f"{node.name} does not know {ref}"
            elif isinstance(action, LostOwnership):
                node.lost += 1
            elif isinstance(action, Moved):
                node.moved.append(action.epoch)

    def _check_chosen(self, node: Node, action: Chosen) -> None:
        assert node.owner is not None
        ref = (action.key, action.slot)
        owned = node.owner.records.find(*ref)
        assert owned is not None
        assert self.chosen.setdefault(ref, owned.value) == owned.value

    def deliver(self, index: int = 0, reply_lost: bool = False, refused: bool = False) -> None:
        """Carry one call out and its reply back."""
        letter = self.letters.pop(index)
        target = self.nodes.get(letter.send.target)
        if target is None or target.name in self.cut or letter.origin.name in self.cut:
            self.back(letter, None)
            return
        found = self.settle(target, target.replica.handle(self.now_s, 1, letter.send.message), refused)
        self.back(letter, None if reply_lost else found)

    def settle(self, node: Node, actions: list[Action], refused: bool = False) -> Any:
        """Let entries last, or have the disk refuse them; the reply."""
        found = None
        for action in actions:
            if isinstance(action, Persist) and refused:
                found = self.settle(node, node.replica.persist_failed(action.token))
            elif isinstance(action, Persist):
                node.log.append(action.entry)
                found = self.settle(node, node.replica.persisted(self.now_s, action.token, 0))
            elif isinstance(action, Reply):
                found = action.body
            else:
                assert isinstance(action, Fail)
        return found

    def back(self, letter: Letter, reply: Any) -> None:
        owner = letter.origin.owner
        if letter.life != letter.origin.life or owner is None:
            return
        if reply is None:
            self.act(letter.origin, owner.failed(self.now_s, letter.send.ticket))
        else:
            self.act(letter.origin, owner.answered(self.now_s, letter.send.ticket, reply))

    def deliver_all(self) -> None:
        for _ in range(2000):
            if not self.letters:
                return
            self.deliver()
        raise AssertionError("calls without end")

    def touch(self, name: str) -> None:
        """An owner keeps its leases."""
        node = self.nodes[name]
        assert node.owner is not None
        if name in self.cut:
            return
        for target in list(self.nodes.values()):
            leases = node.owner.leases(target.name)
            if leases and target.name not in self.cut:
                message = RenewLeases(name, target.name, tuple(leases))
                answer, actions = target.replica.touch(self.now_s, message.leases[0])
                self.settle(target, actions)
                self.act(node, node.owner.touched(self.now_s, target.name, self.now_s, answer))

    def tick(self, name: str, fit: bool = True) -> None:
        node = self.nodes[name]
        assert node.owner is not None
        self.act(node, node.owner.tick(self.now_s, fit, set(self.nodes) - self.cut))

    def pass_time(self, seconds: float, step_s: float = 0.1) -> None:
        """Everybody lives on, and all calls arrive."""
        until_s = self.now_s + seconds
        while self.now_s < until_s:
            self.now_s += step_s
            for name in list(self.nodes):
                self.touch(name)
                self.tick(name)
                self.deliver_all()

    def propose(self, name: str, key: str, slot: int, value: bytes) -> None:
        owner = self.nodes[name].owner
        assert owner is not None
        self.act(self.nodes[name], owner.propose(self.now_s, key, slot, value, self.now_s))

    def serving(self) -> list[str]:
        return [
            name
            for name, node in self.nodes.items()
            if node.owner is not None and node.owner.serving(self.now_s)
        ]

    def the_owner(self) -> str:
        (name,) = self.serving()
        return name
