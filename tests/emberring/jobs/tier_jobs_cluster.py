"""Owners and replicas of one shard, connected by a queue of calls that the test delivers, loses or fails."""

from __future__ import annotations

from typing import Any

import attrs

from emberring.jobs.messages import RenewLeases
from emberring.jobs.owner import ShardOwner
from emberring.jobs.owner_actions import (
    MigrationCompleted,
    OwnerAction,
    OwnershipGained,
    OwnershipLost,
    SendToReplica,
    SlotCommitted,
)
from emberring.jobs.replica import REPLICA_LEASE_S, FailCall, PersistEntry, Replica, ReplicaAction, SendReply
from emberring.jobs.replica_log import Entry
from emberring.placement.model import Group


@attrs.define(eq=False)
class Node:
    """A store: the journal on its disk (`log`), its replica and its owner."""

    name: str
    log: list[Entry] = attrs.field(factory=list)
    replica: Replica = attrs.field(factory=lambda: Replica(0))
    owner: ShardOwner | None = None
    incarnation: int = 0
    # Records at the time when the store last became the owner.
    contents_at_takeover: dict[tuple[str, int], bytes] = attrs.field(factory=dict)
    migration_complete: list[int] = attrs.field(factory=list)
    lost: int = 0


@attrs.define(eq=False)
class InFlightCall:
    """A call of an owner to a replica that is not delivered yet."""

    origin: Node
    incarnation: int
    send: SendToReplica


@attrs.define(eq=False)
class ShardCluster:
    """Stores of one shard. `committed`: every value that was ever committed, by key and slot."""

    nodes: dict[str, Node] = attrs.field(factory=dict)
    in_flight: list[InFlightCall] = attrs.field(factory=list)
    committed: dict[tuple[str, int], bytes] = attrs.field(factory=dict)
    now_s: float = 0.0
    partitioned: set[str] = attrs.field(factory=set)
    group: Group | None = None

    @classmethod
    def of(cls, names: str, group: Group) -> ShardCluster:
        cluster = cls()
        for name in names:
            cluster.start(name)
        cluster.place(group)
        return cluster

    def start(self, name: str) -> None:
        """Start or restart a store with the contents of its disk."""
        node = self.nodes.setdefault(name, Node(name))
        node.incarnation += 1
        node.replica = Replica(0)
        for entry in node.log:
            node.replica.apply(self.now_s, entry, 0)
        node.replica.restored(self.now_s + REPLICA_LEASE_S)
        node.owner = ShardOwner(name, node.replica, node.incarnation)
        node.contents_at_takeover = {}
        if self.group is not None:
            self.perform(node, node.owner.set_group(self.now_s, self.group))

    def wipe(self, name: str) -> None:
        """Remove a store whose disk is lost."""
        del self.nodes[name]

    def place(self, group: Group) -> None:
        self.group = group
        for node in self.nodes.values():
            assert node.owner is not None
            self.perform(node, node.owner.set_group(self.now_s, group))

    def perform(self, node: Node, actions: list[OwnerAction]) -> None:
        for action in actions:
            if isinstance(action, SendToReplica):
                self.in_flight.append(InFlightCall(node, node.incarnation, action))
            elif isinstance(action, SlotCommitted):
                self._check_committed(node, action)
            elif isinstance(action, OwnershipGained):
                node.contents_at_takeover = {
                    (key, slot): owned.value
                    for key, job in action.jobs.items()
                    for slot, owned in job.slots.items()
                }
                for ref, value in self.committed.items():
                    assert node.contents_at_takeover.get(ref) == value, (
                        f"{node.name} lacks the committed value of {ref}"
                    )
            elif isinstance(action, OwnershipLost):
                node.lost += 1
            elif isinstance(action, MigrationCompleted):
                node.migration_complete.append(action.epoch)

    def _check_committed(self, node: Node, action: SlotCommitted) -> None:
        assert node.owner is not None
        ref = (action.key, action.slot)
        owned = node.owner.records.find(*ref)
        assert owned is not None
        assert self.committed.setdefault(ref, owned.value) == owned.value

    def deliver(self, index: int = 0, reply_lost: bool = False, refused: bool = False) -> None:
        """Deliver one call and its reply; the call fails if its sender or its target is partitioned."""
        in_flight_call = self.in_flight.pop(index)
        target = self.nodes.get(in_flight_call.send.target)
        if (
            target is None
            or target.name in self.partitioned
            or in_flight_call.origin.name in self.partitioned
        ):
            self.return_reply(in_flight_call, None)
            return
        found = self.settle(
            target, target.replica.handle(self.now_s, 1, in_flight_call.send.message), refused
        )
        self.return_reply(in_flight_call, None if reply_lost else found)

    def settle(self, node: Node, actions: list[ReplicaAction], refused: bool = False) -> Any:
        """Persist entries, or let the disk reject them; return the reply."""
        found = None
        for action in actions:
            if isinstance(action, PersistEntry) and refused:
                found = self.settle(node, node.replica.persist_failed(action.token))
            elif isinstance(action, PersistEntry):
                node.log.append(action.entry)
                found = self.settle(node, node.replica.persisted(self.now_s, action.token, 0))
            elif isinstance(action, SendReply):
                found = action.body
            else:
                assert isinstance(action, FailCall)
        return found

    def return_reply(self, in_flight_call: InFlightCall, reply: Any) -> None:
        owner = in_flight_call.origin.owner
        if in_flight_call.incarnation != in_flight_call.origin.incarnation or owner is None:
            return
        if reply is None:
            self.perform(in_flight_call.origin, owner.on_call_failed(self.now_s, in_flight_call.send.ticket))
        else:
            self.perform(in_flight_call.origin, owner.on_reply(self.now_s, in_flight_call.send.ticket, reply))

    def deliver_all(self) -> None:
        for _ in range(2000):
            if not self.in_flight:
                return
            self.deliver()
        raise AssertionError("calls are sent without end")

    def renew_lease(self, name: str) -> None:
        """Renew the leases of an owner at all reachable replicas."""
        node = self.nodes[name]
        assert node.owner is not None
        if name in self.partitioned:
            return
        for target in list(self.nodes.values()):
            leases = node.owner.leases(target.name)
            if leases and target.name not in self.partitioned:
                message = RenewLeases(name, target.name, tuple(leases))
                answer, actions = target.replica.renew_lease(self.now_s, message.leases[0])
                self.settle(target, actions)
                self.perform(node, node.owner.on_lease_renewal(self.now_s, target.name, self.now_s, answer))

    def tick(self, name: str, healthy: bool = True) -> None:
        node = self.nodes[name]
        assert node.owner is not None
        self.perform(node, node.owner.tick(self.now_s, healthy, set(self.nodes) - self.partitioned))

    def pass_time(self, seconds: float, step_s: float = 0.1) -> None:
        """Advance the time of all stores in steps; all calls are delivered."""
        until_s = self.now_s + seconds
        while self.now_s < until_s:
            self.now_s += step_s
            for name in list(self.nodes):
                self.renew_lease(name)
                self.tick(name)
                self.deliver_all()

    def propose(self, name: str, key: str, slot: int, value: bytes) -> None:
        owner = self.nodes[name].owner
        assert owner is not None
        self.perform(self.nodes[name], owner.propose(self.now_s, key, slot, value, self.now_s))

    def serving(self) -> list[str]:
        return [
            name
            for name, node in self.nodes.items()
            if node.owner is not None and node.owner.serving(self.now_s)
        ]

    def the_owner(self) -> str:
        (name,) = self.serving()
        return name
