"""Owners of a shard: claims, recovery, fencing, migration, repair and deletion."""

from __future__ import annotations

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from tier_jobs_cluster import ShardCluster

from emberring.jobs.lease import OWNER_LEASE_S
from emberring.jobs.messages import ClaimOwnership
from emberring.jobs.ownership_stage import OwnershipStage
from emberring.jobs.records import DEFINITION, TOMBSTONE, Term
from emberring.jobs.replica import REPLICA_LEASE_S
from emberring.jobs.results import ResultState, encode_result, item_index
from emberring.placement.model import Group, sort_by_preference

ABC = Group(0, 1, ("a", "b", "c"))
JOINING = Group(0, 2, ("a", "b", "c"), ("b", "c", "d"))
BCD = Group(0, 3, ("b", "c", "d"))


def value(item: int, text: str = "") -> bytes:
    return encode_result(item, f"item-{item}", ResultState.COMPLETED, text)


def started_cluster(names: str = "abc", group: Group = ABC) -> ShardCluster:
    cluster = ShardCluster.of(names, group)
    cluster.pass_time(0.5)
    return cluster


def held(cluster: ShardCluster, name: str) -> dict[tuple[str, int], bytes]:
    """Return the values stored by a replica, by key and slot."""
    return {
        (key, slot): found.value
        for key, job in cluster.nodes[name].replica.jobs.items()
        for slot, found in job.slots.items()
    }


def test_the_first_store_in_the_claim_order_is_the_only_owner() -> None:
    cluster = started_cluster()
    assert cluster.the_owner() == sort_by_preference(0, "abc")[0]
    cluster.pass_time(5.0)
    assert cluster.the_owner() == sort_by_preference(0, "abc")[0]


def test_a_value_is_committed_by_a_quorum_and_replicated_to_all() -> None:
    cluster = started_cluster()
    owner = cluster.the_owner()
    cluster.partitioned = {next(name for name in "abc" if name != owner)}
    cluster.propose(owner, "k", 0, value(1))
    assert cluster.committed == {}
    cluster.deliver_all()
    assert cluster.committed == {("k", 0): value(1)}
    cluster.partitioned = set()
    cluster.pass_time(2.0)
    assert all(held(cluster, name) == {("k", 0): value(1)} for name in "abc")


def test_without_a_quorum_nothing_is_committed_and_the_lease_expires() -> None:
    cluster = started_cluster()
    owner = cluster.the_owner()
    cluster.partitioned = {name for name in "abc" if name != owner}
    cluster.propose(owner, "k", 0, value(1))
    cluster.deliver_all()
    cluster.now_s += OWNER_LEASE_S + 0.01
    cluster.renew_lease(owner)
    assert cluster.committed == {}
    assert cluster.serving() == []


def test_an_owner_that_was_partitioned_is_fenced() -> None:
    cluster = started_cluster()
    old = cluster.the_owner()
    cluster.propose(old, "k", 0, value(1))
    cluster.deliver_all()
    cluster.partitioned = {old}
    cluster.propose(old, "k", 1, value(2))
    cluster.pass_time(REPLICA_LEASE_S + 1.0)
    new = cluster.the_owner()
    assert new != old
    cluster.propose(new, "k", 1, value(3))
    cluster.deliver_all()
    cluster.partitioned = set()
    cluster.pass_time(3.0)
    assert cluster.nodes[old].lost == 1
    assert cluster.the_owner() == new
    assert all(held(cluster, name)[("k", 1)] == value(3) for name in "abc")


def test_at_most_one_store_serves_while_the_owner_changes() -> None:
    cluster = started_cluster()
    old = cluster.the_owner()
    cluster.partitioned = {old}
    for _ in range(100):
        cluster.now_s += 0.03
        for name in "abc":
            cluster.renew_lease(name)
            cluster.tick(name)
            cluster.deliver_all()
            assert len(cluster.serving()) <= 1
    assert cluster.the_owner() != old


def test_after_a_release_another_store_owns_the_shard_at_once() -> None:
    cluster = started_cluster()
    old = cluster.the_owner()
    cluster.propose(old, "k", 0, value(1))
    cluster.deliver_all()
    cluster.tick(old, healthy=False)
    cluster.deliver_all()
    cluster.now_s += 0.05
    for name in sort_by_preference(0, "abc"):
        if name != old:
            cluster.tick(name)
            cluster.deliver_all()
            cluster.renew_lease(name)
    assert cluster.the_owner() != old


def test_a_value_on_a_single_replica_is_replicated_before_a_new_owner_serves_it() -> None:
    cluster = started_cluster()
    old = cluster.the_owner()
    first, second = (name for name in "abc" if name != old)
    cluster.partitioned = {second}
    cluster.propose(old, "k", 0, value(1))
    cluster.in_flight = [
        in_flight_call for in_flight_call in cluster.in_flight if in_flight_call.send.target == first
    ]
    cluster.deliver_all()
    assert cluster.committed == {}
    cluster.wipe(old)
    cluster.partitioned = set()
    cluster.pass_time(REPLICA_LEASE_S + 1.5)
    owner = cluster.the_owner()
    assert cluster.nodes[owner].contents_at_takeover == {("k", 0): value(1)}
    assert held(cluster, second) == {("k", 0): value(1)}


def test_a_store_that_replaces_a_lost_disk_gets_all_records() -> None:
    cluster = started_cluster()
    owner = cluster.the_owner()
    for number in range(50):
        cluster.propose(owner, "k", number, value(number, "x" * 2000))
    cluster.deliver_all()
    cluster.wipe("a")
    cluster.start("d")
    cluster.place(JOINING)
    cluster.pass_time(REPLICA_LEASE_S + 1.5)
    owner = cluster.the_owner()
    assert 2 in cluster.nodes[owner].migration_complete
    assert held(cluster, "d") == cluster.committed
    cluster.place(BCD)
    cluster.pass_time(1.0)
    assert cluster.the_owner() in "bcd"
    assert cluster.nodes[cluster.the_owner()].contents_at_takeover == cluster.committed


def test_a_joining_store_claims_nothing_while_a_lease_may_be_active() -> None:
    cluster = started_cluster()
    lost = next(name for name in "abc" if name != cluster.the_owner())
    cluster.wipe(lost)
    cluster.start("d")
    cluster.place(Group(0, 2, ABC.members, (*(name for name in "abc" if name != lost), "d")))
    cluster.in_flight.clear()
    for _ in range(8):
        cluster.now_s += REPLICA_LEASE_S / 9
        cluster.tick("d")
    assert cluster.in_flight == []
    cluster.now_s += 1.0
    cluster.tick("d")
    assert {in_flight_call.send.target for in_flight_call in cluster.in_flight} == {"a", "b", "c", "d"}


def test_the_higher_promise_of_a_single_replica_does_not_end_an_ownership() -> None:
    cluster = started_cluster()
    owner = cluster.the_owner()
    cluster.propose(owner, "k", 0, value(1))
    cluster.deliver_all()
    other = next(name for name in "abc" if name != owner)
    cluster.wipe(other)
    cluster.start(other)
    while not cluster.in_flight:
        cluster.now_s += 0.05
        cluster.tick(other)
    cluster.deliver_all()
    assert cluster.nodes[other].replica.promised.owner == other
    cluster.renew_lease(owner)
    cluster.deliver_all()
    assert cluster.the_owner() == owner
    assert cluster.nodes[owner].lost == 0
    cluster.pass_time(2.0)
    assert cluster.the_owner() == owner
    assert held(cluster, other) == cluster.committed


@pytest.mark.parametrize("lone", "abc")
def test_a_replica_that_has_promised_itself_a_higher_term_does_not_block_the_first_owner(lone: str) -> None:
    cluster = ShardCluster.of("abc", ABC)
    replica = cluster.nodes[lone].replica
    cluster.settle(cluster.nodes[lone], replica.handle(0.0, 1, ClaimOwnership(0, lone, Term(1, 50, lone))))
    cluster.tick(next(name for name in sort_by_preference(0, "abc") if name != lone))
    # Its rejection is delivered last.
    cluster.in_flight.sort(key=lambda in_flight_call: in_flight_call.send.target == lone)
    cluster.deliver_all()
    cluster.pass_time(3.0)
    assert cluster.the_owner() != lone
    assert all(node.lost == 0 for node in cluster.nodes.values())


def test_a_migration_is_not_complete_before_the_joining_store_has_all_records() -> None:
    cluster = started_cluster()
    cluster.propose(cluster.the_owner(), "k", 0, value(1))
    cluster.deliver_all()
    cluster.wipe("a")
    cluster.start("d")
    cluster.partitioned = {"d"}
    cluster.place(JOINING)
    cluster.pass_time(REPLICA_LEASE_S + 2.0)
    assert cluster.nodes[cluster.the_owner()].migration_complete == []


def test_while_members_join_a_commit_needs_quorums_of_both_sets() -> None:
    cluster = started_cluster("abcd")
    cluster.place(JOINING)
    cluster.pass_time(1.0)
    owner = cluster.the_owner()
    cluster.partitioned = set("cd") - {owner} if owner in "ab" else {"d", "b" if owner == "c" else "c"}
    cluster.propose(owner, "k", 0, value(1))
    cluster.deliver_all()
    answered = set("abcd") - cluster.partitioned
    quorums_of_both = len(answered & set("abc")) >= 2 and len(answered & set("bcd")) >= 2
    assert (("k", 0) in cluster.committed) is quorums_of_both


def test_an_owner_that_leaves_the_group_releases_ownership() -> None:
    cluster = started_cluster("abcd")
    old = cluster.the_owner()
    staying = tuple(name for name in "abcd" if name != old)
    cluster.place(Group(0, 2, ABC.members, staying))
    cluster.pass_time(1.0)
    cluster.place(Group(0, 3, staying))
    cluster.pass_time(1.0)
    assert cluster.the_owner() in staying


def test_a_replica_that_differs_is_compared_and_repaired() -> None:
    cluster = started_cluster()
    owner = cluster.the_owner()
    cluster.propose(owner, "k", 0, value(1))
    cluster.deliver_all()
    other = next(name for name in "abc" if name != owner)
    replica = cluster.nodes[other].replica
    del replica.jobs["k"]
    replica.records.digest = 12345
    cluster.pass_time(4.0)
    assert held(cluster, other) == {("k", 0): value(1)}


def test_a_deleted_job_is_erased_everywhere_and_does_not_reappear() -> None:
    cluster = started_cluster()
    owner = cluster.the_owner()
    unreachable = next(name for name in "abc" if name != owner)
    cluster.propose(owner, "k", DEFINITION, b"d")
    cluster.propose(owner, "k", 0, value(1))
    cluster.deliver_all()
    cluster.partitioned = {unreachable}
    node = cluster.nodes[owner]
    assert node.owner is not None
    cluster.perform(node, node.owner.forget(cluster.now_s, "k"))
    cluster.perform(node, node.owner.forget(cluster.now_s, "k"))
    cluster.pass_time(4.0)
    assert set(held(cluster, owner)) == {("k", TOMBSTONE)}
    # The store that was unreachable and another one take over: the tombstone must win.
    cluster.partitioned = {owner}
    cluster.committed.clear()
    cluster.pass_time(REPLICA_LEASE_S + 1.5)
    assert set(cluster.nodes[cluster.the_owner()].contents_at_takeover) == {("k", TOMBSTONE)}
    cluster.partitioned = set()
    cluster.pass_time(12.0)
    assert all(held(cluster, name) == {} for name in "abc")


def test_an_unhealthy_store_claims_nothing() -> None:
    cluster = ShardCluster.of("abc", ABC)
    for _ in range(20):
        cluster.now_s += 0.1
        for name in "abc":
            cluster.tick(name, healthy=False)
    assert cluster.in_flight == []
    assert all(
        node.owner is not None and node.owner.stage is OwnershipStage.FOLLOWING
        for node in cluster.nodes.values()
    )


@pytest.mark.parametrize("members", ["a", "ab"])
def test_groups_of_one_or_two_members_work(members: str) -> None:
    cluster = started_cluster(members, Group(0, 1, tuple(members)))
    owner = cluster.the_owner()
    cluster.propose(owner, "k", 0, value(1))
    cluster.deliver_all()
    assert ("k", 0) in cluster.committed


class OwnersUnderTrouble(RuleBasedStateMachine):
    """Calls arrive in any order, late or never; disks refuse; stores start anew, go away and are replaced. What was
    committed once is known to every later owner (checked by the trio), and at most one store serves."""

    def __init__(self) -> None:
        super().__init__()
        self.cluster = ShardCluster.of("abc", ABC)
        self.number = 0
        self.spare = iter("defghij")

    def _pick(self, number: int) -> str:
        names = sorted(self.cluster.nodes)
        return names[number % len(names)]

    @rule(number=st.integers(0, 40), lost=st.booleans())
    def deliver(self, number: int, lost: bool) -> None:
        if self.cluster.in_flight:
            self.cluster.deliver(number % len(self.cluster.in_flight), reply_lost=lost and number % 5 == 0)

    @rule(number=st.integers(0, 40))
    def refuse(self, number: int) -> None:
        if self.cluster.in_flight:
            self.cluster.deliver(number % len(self.cluster.in_flight), refused=True)

    @rule(number=st.integers(0, 40))
    def lose_call(self, number: int) -> None:
        if self.cluster.in_flight:
            in_flight_call = self.cluster.in_flight.pop(number % len(self.cluster.in_flight))
            self.cluster.return_reply(in_flight_call, None)

    @rule(step_s=st.sampled_from([0.01, 0.1, 0.3, 1.0]))
    def live_on(self, step_s: float) -> None:
        self.cluster.now_s += step_s
        for name in list(self.cluster.nodes):
            self.cluster.renew_lease(name)
            self.cluster.tick(name)

    @rule(seconds=st.sampled_from([0.3, 1.5, 3.0]))
    def calm(self, seconds: float) -> None:
        self.cluster.pass_time(seconds)

    @rule(slot=st.integers(0, 5), item=st.integers(0, 3))
    def propose(self, slot: int, item: int) -> None:
        for name in self.cluster.serving():
            owner = self.cluster.nodes[name].owner
            assert owner is not None
            self.number += 1
            # Like the job manager: an item has at most one position, and a position at most one result.
            key = f"k{self.number % 2}"
            job = owner.records.jobs.get(key)
            values = {found: owned.value for found, owned in job.slots.items()} if job else {}
            if slot not in values and item not in {item_index(found) for found in values.values()}:
                self.cluster.propose(name, key, slot, value(item, str(self.number)))

    @rule(number=st.integers(0, 5))
    def restart(self, number: int) -> None:
        self.cluster.start(self._pick(number))

    @rule(number=st.integers(0, 5))
    def cut(self, number: int) -> None:
        self.cluster.partitioned = {self._pick(number)}

    @rule()
    def join(self) -> None:
        self.cluster.partitioned = set()

    @rule(number=st.integers(0, 5))
    def replace(self, number: int) -> None:
        """A disk is lost while all is well; another store comes in its place."""
        cluster = self.cluster
        cluster.partitioned = set()
        cluster.pass_time(4.0)
        group = cluster.group
        new = next(self.spare, None)
        assert group is not None
        if new is None:
            return
        lost = group.members[number % 3]
        cluster.wipe(lost)
        cluster.start(new)
        joining = (*(name for name in group.members if name != lost), new)
        cluster.place(Group(0, group.epoch + 1, group.members, joining))
        cluster.pass_time(4.0)
        owner = cluster.the_owner()
        assert cluster.nodes[owner].migration_complete[-1] == group.epoch + 1
        cluster.place(Group(0, group.epoch + 2, joining))

    @invariant()
    def one_serves(self) -> None:
        assert len(self.cluster.serving()) <= 1

    def teardown(self) -> None:
        self.cluster.partitioned = set()
        self.cluster.pass_time(6.0)
        owner = self.cluster.the_owner()
        for name in self.cluster.group.members if self.cluster.group else ():
            assert held(self.cluster, name) == held(self.cluster, owner)


OwnersUnderTrouble.TestCase.settings = settings(max_examples=60, stateful_step_count=40, deadline=None)
TestOwnersUnderTrouble = OwnersUnderTrouble.TestCase
