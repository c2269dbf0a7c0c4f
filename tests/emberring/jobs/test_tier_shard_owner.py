"""Owners of a shard: terms, adoption, fences, moves, repair, forgetting."""

from __future__ import annotations

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from tier_jobs_trio import Trio

from emberring.jobs.lease import OWNER_LEASE_S
from emberring.jobs.messages import ClaimOwnership
from emberring.jobs.ownership_stage import OwnershipStage
from emberring.jobs.records import DEFINITION, TOMBSTONE, Term
from emberring.jobs.replica import REPLICA_LEASE_S
from emberring.jobs.results import ResultState, encode_result, item_index
from emberring.placement.model import Group, in_order

ABC = Group(0, 1, ("a", "b", "c"))
JOINING = Group(0, 2, ("a", "b", "c"), ("b", "c", "d"))
BCD = Group(0, 3, ("b", "c", "d"))


def value(item: int, text: str = "") -> bytes:
    return encode_result(item, f"item-{item}", ResultState.COMPLETED, text)


def settled(names: str = "abc", group: Group = ABC) -> Trio:
    trio = Trio.of(names, group)
    trio.pass_time(0.5)
    return trio


def held(trio: Trio, name: str) -> dict[tuple[str, int], bytes]:
    return {
        (key, slot): found.value
        for key, job in trio.nodes[name].replica.jobs.items()
        for slot, found in job.slots.items()
    }


def test_the_first_in_the_order_owns_the_shard_alone() -> None:
    trio = settled()
    assert trio.the_owner() == in_order(0, "abc")[0]
    trio.pass_time(5.0)
    assert trio.the_owner() == in_order(0, "abc")[0]


def test_what_is_proposed_is_chosen_by_a_quorum_and_reaches_all() -> None:
    trio = settled()
    owner = trio.the_owner()
    trio.cut = {next(name for name in "abc" if name != owner)}
    trio.propose(owner, "k", 0, value(1))
    assert trio.committed == {}
    trio.deliver_all()
    assert trio.committed == {("k", 0): value(1)}
    trio.cut = set()
    trio.pass_time(2.0)
    assert all(held(trio, name) == {("k", 0): value(1)} for name in "abc")


def test_without_a_quorum_nothing_is_chosen_and_the_lease_ends() -> None:
    trio = settled()
    owner = trio.the_owner()
    trio.cut = {name for name in "abc" if name != owner}
    trio.propose(owner, "k", 0, value(1))
    trio.deliver_all()
    trio.now_s += OWNER_LEASE_S + 0.01
    trio.renew_lease(owner)
    assert trio.committed == {}
    assert trio.serving() == []


def test_an_owner_that_was_away_finds_itself_fenced() -> None:
    trio = settled()
    old = trio.the_owner()
    trio.propose(old, "k", 0, value(1))
    trio.deliver_all()
    trio.cut = {old}
    trio.propose(old, "k", 1, value(2))
    trio.pass_time(REPLICA_LEASE_S + 1.0)
    new = trio.the_owner()
    assert new != old
    trio.propose(new, "k", 1, value(3))
    trio.deliver_all()
    trio.cut = set()
    trio.pass_time(3.0)
    assert trio.nodes[old].lost == 1
    assert trio.the_owner() == new
    assert all(held(trio, name)[("k", 1)] == value(3) for name in "abc")


def test_no_two_stores_serve_at_once_while_the_owner_changes() -> None:
    trio = settled()
    old = trio.the_owner()
    trio.cut = {old}
    for _ in range(100):
        trio.now_s += 0.03
        for name in "abc":
            trio.renew_lease(name)
            trio.tick(name)
            trio.deliver_all()
            assert len(trio.serving()) <= 1
    assert trio.the_owner() != old


def test_a_handover_needs_no_wait() -> None:
    trio = settled()
    old = trio.the_owner()
    trio.propose(old, "k", 0, value(1))
    trio.deliver_all()
    trio.tick(old, healthy=False)
    trio.deliver_all()
    trio.now_s += 0.05
    for name in in_order(0, "abc"):
        if name != old:
            trio.tick(name)
            trio.deliver_all()
            trio.renew_lease(name)
    assert trio.the_owner() != old


def test_what_stands_on_one_replica_alone_is_written_again_before_it_is_shown() -> None:
    trio = settled()
    old = trio.the_owner()
    first, second = (name for name in "abc" if name != old)
    trio.cut = {second}
    trio.propose(old, "k", 0, value(1))
    trio.in_flight = [
        in_flight_call for in_flight_call in trio.in_flight if in_flight_call.send.target == first
    ]
    trio.deliver_all()
    assert trio.committed == {}
    trio.wipe(old)
    trio.cut = set()
    trio.pass_time(REPLICA_LEASE_S + 1.5)
    owner = trio.the_owner()
    assert trio.nodes[owner].truth == {("k", 0): value(1)}
    assert held(trio, second) == {("k", 0): value(1)}


def test_a_lost_disk_is_replaced_and_the_newcomer_holds_everything() -> None:
    trio = settled()
    owner = trio.the_owner()
    for number in range(50):
        trio.propose(owner, "k", number, value(number, "x" * 2000))
    trio.deliver_all()
    trio.wipe("a")
    trio.start("d")
    trio.place(JOINING)
    trio.pass_time(REPLICA_LEASE_S + 1.5)
    owner = trio.the_owner()
    assert 2 in trio.nodes[owner].migration_complete
    assert held(trio, "d") == trio.committed
    trio.place(BCD)
    trio.pass_time(1.0)
    assert trio.the_owner() in "bcd"
    assert trio.nodes[trio.the_owner()].truth == trio.committed


def test_a_newcomer_that_nobody_has_reached_yet_claims_nothing_while_a_lease_may_run() -> None:
    trio = settled()
    lost = next(name for name in "abc" if name != trio.the_owner())
    trio.wipe(lost)
    trio.start("d")
    trio.place(Group(0, 2, ABC.members, (*(name for name in "abc" if name != lost), "d")))
    trio.in_flight.clear()
    for _ in range(8):
        trio.now_s += REPLICA_LEASE_S / 9
        trio.tick("d")
    assert trio.in_flight == []
    trio.now_s += 1.0
    trio.tick("d")
    assert {in_flight_call.send.target for in_flight_call in trio.in_flight} == {"a", "b", "c", "d"}


def test_a_promise_of_one_replica_alone_ends_no_owner_that_a_quorum_keeps() -> None:
    trio = settled()
    owner = trio.the_owner()
    trio.propose(owner, "k", 0, value(1))
    trio.deliver_all()
    other = next(name for name in "abc" if name != owner)
    trio.wipe(other)
    trio.start(other)
    while not trio.in_flight:
        trio.now_s += 0.05
        trio.tick(other)
    trio.deliver_all()
    assert trio.nodes[other].replica.promised.owner == other
    trio.renew_lease(owner)
    trio.deliver_all()
    assert trio.the_owner() == owner
    assert trio.nodes[owner].lost == 0
    trio.pass_time(2.0)
    assert trio.the_owner() == owner
    assert held(trio, other) == trio.committed


@pytest.mark.parametrize("lone", "abc")
def test_a_replica_that_has_promised_itself_a_higher_term_does_not_hold_up_the_first_owner(lone: str) -> None:
    trio = Trio.of("abc", ABC)
    replica = trio.nodes[lone].replica
    trio.settle(trio.nodes[lone], replica.handle(0.0, 1, ClaimOwnership(0, lone, Term(1, 50, lone))))
    trio.tick(next(name for name in in_order(0, "abc") if name != lone))
    trio.in_flight.sort(
        key=lambda in_flight_call: in_flight_call.send.target == lone
    )  # its refusal comes last
    trio.deliver_all()
    trio.pass_time(3.0)
    assert trio.the_owner() != lone
    assert all(node.lost == 0 for node in trio.nodes.values())


def test_a_move_is_not_done_before_the_newcomer_has_all() -> None:
    trio = settled()
    trio.propose(trio.the_owner(), "k", 0, value(1))
    trio.deliver_all()
    trio.wipe("a")
    trio.start("d")
    trio.cut = {"d"}
    trio.place(JOINING)
    trio.pass_time(REPLICA_LEASE_S + 2.0)
    assert trio.nodes[trio.the_owner()].migration_complete == []


def test_while_members_join_the_old_ones_alone_do_not_suffice() -> None:
    trio = settled("abcd")
    trio.place(JOINING)
    trio.pass_time(1.0)
    owner = trio.the_owner()
    trio.cut = set("cd") - {owner} if owner in "ab" else {"d", "b" if owner == "c" else "c"}
    trio.propose(owner, "k", 0, value(1))
    trio.deliver_all()
    answered = set("abcd") - trio.cut
    both = len(answered & set("abc")) >= 2 and len(answered & set("bcd")) >= 2
    assert (("k", 0) in trio.committed) is both


def test_an_owner_that_leaves_the_group_hands_over() -> None:
    trio = settled("abcd")
    old = trio.the_owner()
    staying = tuple(name for name in "abcd" if name != old)
    trio.place(Group(0, 2, ABC.members, staying))
    trio.pass_time(1.0)
    trio.place(Group(0, 3, staying))
    trio.pass_time(1.0)
    assert trio.the_owner() in staying


def test_a_replica_that_differs_is_compared_and_mended() -> None:
    trio = settled()
    owner = trio.the_owner()
    trio.propose(owner, "k", 0, value(1))
    trio.deliver_all()
    other = next(name for name in "abc" if name != owner)
    replica = trio.nodes[other].replica
    del replica.jobs["k"]
    replica.records.digest = 12345
    trio.pass_time(4.0)
    assert held(trio, other) == {("k", 0): value(1)}


def test_a_forgotten_job_leaves_no_trace_and_does_not_come_back() -> None:
    trio = settled()
    owner = trio.the_owner()
    away = next(name for name in "abc" if name != owner)
    trio.propose(owner, "k", DEFINITION, b"d")
    trio.propose(owner, "k", 0, value(1))
    trio.deliver_all()
    trio.cut = {away}
    node = trio.nodes[owner]
    assert node.owner is not None
    trio.act(node, node.owner.forget(trio.now_s, "k"))
    trio.act(node, node.owner.forget(trio.now_s, "k"))
    trio.pass_time(4.0)
    assert set(held(trio, owner)) == {("k", TOMBSTONE)}
    # The store that was away and another one take over: the mark wins.
    trio.cut = {owner}
    trio.committed.clear()
    trio.pass_time(REPLICA_LEASE_S + 1.5)
    assert set(trio.nodes[trio.the_owner()].truth) == {("k", TOMBSTONE)}
    trio.cut = set()
    trio.pass_time(12.0)
    assert all(held(trio, name) == {} for name in "abc")


def test_an_unfit_store_claims_nothing() -> None:
    trio = Trio.of("abc", ABC)
    for _ in range(20):
        trio.now_s += 0.1
        for name in "abc":
            trio.tick(name, healthy=False)
    assert trio.in_flight == []
    assert all(
        node.owner is not None and node.owner.stage is OwnershipStage.FOLLOWING
        for node in trio.nodes.values()
    )


@pytest.mark.parametrize("members", ["a", "ab"])
def test_smaller_groups_work(members: str) -> None:
    trio = settled(members, Group(0, 1, tuple(members)))
    owner = trio.the_owner()
    trio.propose(owner, "k", 0, value(1))
    trio.deliver_all()
    assert ("k", 0) in trio.committed


class OwnersUnderTrouble(RuleBasedStateMachine):
    """Calls arrive in any order, late or never; disks refuse; stores start anew, go away and are replaced. What was
    committed once is known to every later owner (checked by the trio), and at most one store serves."""

    def __init__(self) -> None:
        super().__init__()
        self.trio = Trio.of("abc", ABC)
        self.number = 0
        self.spare = iter("defghij")

    def _pick(self, number: int) -> str:
        names = sorted(self.trio.nodes)
        return names[number % len(names)]

    @rule(number=st.integers(0, 40), lost=st.booleans())
    def deliver(self, number: int, lost: bool) -> None:
        if self.trio.in_flight:
            self.trio.deliver(number % len(self.trio.in_flight), reply_lost=lost and number % 5 == 0)

    @rule(number=st.integers(0, 40))
    def refuse(self, number: int) -> None:
        if self.trio.in_flight:
            self.trio.deliver(number % len(self.trio.in_flight), refused=True)

    @rule(number=st.integers(0, 40))
    def lose_call(self, number: int) -> None:
        if self.trio.in_flight:
            in_flight_call = self.trio.in_flight.pop(number % len(self.trio.in_flight))
            self.trio.back(in_flight_call, None)

    @rule(step_s=st.sampled_from([0.01, 0.1, 0.3, 1.0]))
    def live_on(self, step_s: float) -> None:
        self.trio.now_s += step_s
        for name in list(self.trio.nodes):
            self.trio.renew_lease(name)
            self.trio.tick(name)

    @rule(seconds=st.sampled_from([0.3, 1.5, 3.0]))
    def calm(self, seconds: float) -> None:
        self.trio.pass_time(seconds)

    @rule(slot=st.integers(0, 5), item=st.integers(0, 3))
    def propose(self, slot: int, item: int) -> None:
        for name in self.trio.serving():
            owner = self.trio.nodes[name].owner
            assert owner is not None
            self.number += 1
            # As the job manager does: an item has one position, a position one result.
            key = f"k{self.number % 2}"
            job = owner.records.jobs.get(key)
            values = {found: owned.value for found, owned in job.slots.items()} if job else {}
            if slot not in values and item not in {item_index(found) for found in values.values()}:
                self.trio.propose(name, key, slot, value(item, str(self.number)))

    @rule(number=st.integers(0, 5))
    def restart(self, number: int) -> None:
        self.trio.start(self._pick(number))

    @rule(number=st.integers(0, 5))
    def cut(self, number: int) -> None:
        self.trio.cut = {self._pick(number)}

    @rule()
    def join(self) -> None:
        self.trio.cut = set()

    @rule(number=st.integers(0, 5))
    def replace(self, number: int) -> None:
        """A disk is lost while all is well; another store comes in its place."""
        trio = self.trio
        trio.cut = set()
        trio.pass_time(4.0)
        group = trio.group
        new = next(self.spare, None)
        assert group is not None
        if new is None:
            return
        lost = group.members[number % 3]
        trio.wipe(lost)
        trio.start(new)
        joining = (*(name for name in group.members if name != lost), new)
        trio.place(Group(0, group.epoch + 1, group.members, joining))
        trio.pass_time(4.0)
        owner = trio.the_owner()
        assert trio.nodes[owner].migration_complete[-1] == group.epoch + 1
        trio.place(Group(0, group.epoch + 2, joining))

    @invariant()
    def one_serves(self) -> None:
        assert len(self.trio.serving()) <= 1

    def teardown(self) -> None:
        self.trio.cut = set()
        self.trio.pass_time(6.0)
        owner = self.trio.the_owner()
        for name in self.trio.group.members if self.trio.group else ():
            assert held(self.trio, name) == held(self.trio, owner)


OwnersUnderTrouble.TestCase.settings = settings(max_examples=60, stateful_step_count=40, deadline=None)
TestOwnersUnderTrouble = OwnersUnderTrouble.TestCase
