"""The ring on a disk with power failures: committed records are read in order after a restart, and no others."""

from __future__ import annotations

import random

import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from emberring.errors import CorruptRecordError, DiskFailedError
from emberring.journal.ring import Ring
from emberring.simulation.register.disk import SimulatedFolder

SEGMENT = 512
LIMIT = 16 * SEGMENT


def open_ring(folder: SimulatedFolder, nonce: int = 1) -> tuple[Ring, list[bytes]]:
    ring, records = Ring.open(folder, SEGMENT, LIMIT, nonce)
    folder.settle()
    return ring, [record.payload for record in records]


def commit(ring: Ring, folder: SimulatedFolder, payloads: list[bytes]) -> None:
    assert len(ring.commit(payloads)) == len(payloads)
    folder.settle()


def test_a_new_ring_is_empty_and_begins_with_one_segment() -> None:
    folder = SimulatedFolder()
    ring, records = open_ring(folder)
    assert records == []
    assert ring.used_bytes == 0
    commit(ring, folder, [b"first"])
    assert ring.used_bytes == SEGMENT


def test_records_of_many_segments_are_read_after_a_power_failure() -> None:
    folder = SimulatedFolder()
    ring, _ = open_ring(folder)
    payloads = [f"record {number}".encode() * 5 for number in range(50)]
    commit(ring, folder, payloads)
    folder.lose_power(random.Random(1))
    assert open_ring(folder, 2)[1] == payloads


def test_a_record_longer_than_a_segment_gets_one_of_its_own() -> None:
    folder = SimulatedFolder()
    ring, _ = open_ring(folder)
    payloads = [b"short", b"x" * 3000, b"short again"]
    commit(ring, folder, payloads)
    assert open_ring(folder, 2)[1] == payloads


def test_records_are_read_at_their_positions() -> None:
    folder = SimulatedFolder()
    ring, _ = open_ring(folder)
    payloads = [f"record {number}".encode() * 5 for number in range(50)]
    positions = ring.commit(payloads)
    assert [ring.read(position) for position in positions] == payloads


def test_the_file_of_a_released_segment_is_reused_and_its_records_are_lost() -> None:
    folder = SimulatedFolder()
    ring, _ = open_ring(folder)
    first = ring.commit([b"a" * 400])[0]
    ring.commit([b"b" * 400, b"c" * 400])
    files = len(folder.files)
    ring.release(0)
    ring.commit([b"d" * 400])
    folder.settle()
    assert len(folder.files) == files
    with pytest.raises(CorruptRecordError):
        ring.read(first)
    assert open_ring(folder, 2)[1] == [b"b" * 400, b"c" * 400, b"d" * 400]


@pytest.mark.parametrize("seed", range(30))
def test_a_crash_while_a_longer_file_is_reused_damages_no_record(seed: int) -> None:
    folder = SimulatedFolder()
    ring, _ = open_ring(folder)
    commit(ring, folder, [b"x" * 3000])
    commit(ring, folder, [b"b" * 400])
    ring.release(0)
    ring.commit([b"c" * 400])
    random_source = random.Random(seed)
    if seed % 2:
        folder.lose_power(random_source)
    else:
        folder.kill(random_source)
    found = open_ring(folder, 2)[1]
    assert b"b" * 400 in found


def test_a_full_ring_recovers_from_a_failed_commit() -> None:
    folder = SimulatedFolder()
    ring, _ = open_ring(folder)
    while ring.commit([b"x" * 100], reclaiming=True):
        folder.settle()
    folder.refuse_after = 0
    with pytest.raises(DiskFailedError):
        ring.commit([b""], reclaiming=True)
    folder.refuse_after = None
    ring.heal()


def fail_one_commit(ring: Ring, folder: SimulatedFolder, after_steps: int, payloads: list[bytes]) -> None:
    folder.refuse_after = after_steps
    with pytest.raises(DiskFailedError):
        ring.commit(payloads, reclaiming=True)
    folder.refuse_after = None
    ring.heal()


def fill(ring: Ring, folder: SimulatedFolder, payload: bytes) -> list[bytes]:
    """Commit a payload until the ring is full; return the committed payloads."""
    committed: list[bytes] = []
    while ring.commit([payload], reclaiming=True):
        folder.settle()
        committed.append(payload)
    return committed


@pytest.mark.parametrize("power", [False, True], ids=["killed", "power lost"])
@pytest.mark.parametrize("seed", range(10))
@pytest.mark.parametrize("after_steps", [0, 1], ids=["written", "written, not synced"])
def test_a_full_ring_recovers_repeatedly_and_keeps_its_records(
    after_steps: int, seed: int, power: bool
) -> None:
    folder = SimulatedFolder()
    ring, _ = open_ring(folder)
    committed = fill(ring, folder, b"x" * 100)
    for number in range(5):  # the first uses up the reserve for recovery; the others erase
        fail_one_commit(ring, folder, after_steps, [b"never", b"never either"])
        folder.settle()
        committed += [f"after {number}".encode()]
        assert len(ring.commit(committed[-1:], reclaiming=True)) == 1
        folder.settle()
        assert ring.used_bytes <= LIMIT + SEGMENT
    random_source = random.Random(seed)
    if power:
        folder.lose_power(random_source)
    else:
        folder.kill(random_source)
    assert open_ring(folder, 2)[1] == committed


@pytest.mark.parametrize("seed", range(30))
def test_after_a_crash_while_a_segment_is_erased_only_the_first_failed_records_may_be_read(seed: int) -> None:
    folder = SimulatedFolder()
    ring, _ = open_ring(folder)
    committed = fill(ring, folder, b"x" * 100)
    fail_one_commit(ring, folder, 0, [b""])  # uses up the reserve
    folder.settle()
    in_flight = [b"first", b"second", b"third"]
    fail_one_commit(ring, folder, 1, in_flight)
    folder.lose_power(random.Random(seed))
    found = open_ring(folder, 2)[1]
    assert found[: len(committed)] == committed
    assert found[len(committed) :] in [in_flight[:count] for count in range(4)]


@pytest.mark.parametrize("again", [[], [b"first"]], ids=["nothing after", "the first one again"])
def test_failed_records_are_not_read_after_a_full_ring_has_recovered(again: list[bytes]) -> None:
    folder = SimulatedFolder()
    ring, _ = open_ring(folder)
    committed = fill(ring, folder, b"x" * 100)
    fail_one_commit(ring, folder, 0, [b""])  # uses up the reserve
    folder.settle()
    fail_one_commit(ring, folder, 1, [b"first", b"second"])
    folder.settle()
    assert len(ring.commit(again, reclaiming=True)) == len(again)
    folder.settle()
    folder.lose_power(random.Random(1))
    assert open_ring(folder, 2)[1] == [*committed, *again]


def test_a_segment_does_not_grow_after_a_failed_attempt_to_begin_the_next() -> None:
    folder = SimulatedFolder()
    ring, _ = open_ring(folder)
    committed = [b"x" * 400] * (LIMIT // SEGMENT - 1)
    commit(ring, folder, committed)
    # The disk rejects the sixth step, which syncs the header of the last segment that fits.
    folder.refuse_after = 5
    with pytest.raises(DiskFailedError):
        ring.commit([b"y" * 400], reclaiming=True)
    folder.refuse_after = None
    ring.heal()
    assert len(ring.commit([b"z" * 30], reclaiming=True)) == 1
    folder.settle()
    assert open_ring(folder, 2)[1] == [*committed, b"z" * 30]


def test_only_the_oldest_may_be_released() -> None:
    folder = SimulatedFolder()
    ring, _ = open_ring(folder)
    commit(ring, folder, [b"a" * 400, b"b" * 400, b"c" * 400])
    with pytest.raises(ValueError, match="not the oldest"):
        ring.release(1)


def test_a_full_ring_accepts_appends_only_from_a_reclaim() -> None:
    folder = SimulatedFolder()
    ring, _ = open_ring(folder)
    written = ring.commit([b"x" * 400] * 100)
    assert len(written) == LIMIT // SEGMENT - 1
    assert ring.reclaim_needed
    assert ring.commit([b"y" * 400]) == []
    assert len(ring.commit([b"z" * 400], reclaiming=True)) == 1


def test_a_commit_that_the_disk_rejects_fails_and_the_ring_recovers_without_it() -> None:
    folder = SimulatedFolder()
    ring, _ = open_ring(folder)
    commit(ring, folder, [b"before"])
    folder.refusing = True
    with pytest.raises(DiskFailedError):
        ring.commit([b"never"])
    with pytest.raises(DiskFailedError):
        ring.heal()
    folder.refusing = False
    with pytest.raises(DiskFailedError):
        ring.commit([b"not healed"])
    ring.heal()
    commit(ring, folder, [b"after"])
    folder.lose_power(random.Random(3))
    assert open_ring(folder, 2)[1] == [b"before", b"after"]


def test_damage_to_synced_records_is_reported() -> None:
    folder = SimulatedFolder()
    ring, _ = open_ring(folder)
    commit(ring, folder, [b"a" * 400, b"b" * 400, b"c" * 400])
    folder.files["ring-000001"].current[200] ^= 1
    with pytest.raises(CorruptRecordError):
        open_ring(folder, 2)


def test_a_missing_segment_is_reported() -> None:
    folder = SimulatedFolder()
    ring, _ = open_ring(folder)
    commit(ring, folder, [b"a" * 400, b"b" * 400, b"c" * 400])
    del folder.files["ring-000001"]
    with pytest.raises(CorruptRecordError):
        open_ring(folder, 2)


class RingOnADisk(RuleBasedStateMachine):
    """Commits, kills, losses of power, refusals and releases in any order, against lists."""

    @initialize(seed=st.integers(0, 2**32))
    def begin(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.folder = SimulatedFolder()
        self.ring, _ = open_ring(self.folder)
        self.kept: list[tuple[int, bytes]] = []  # segment and payload
        self.released: list[tuple[int, bytes]] = []
        self.number = 0

    def fresh(self, sizes: list[int]) -> list[bytes]:
        payloads = []
        for size in sizes:
            self.number += 1
            payloads.append(f"{self.number}:".encode() + b"." * size)
        return payloads

    def restart(self, power: bool, under_way: list[bytes], after: tuple[bytes, ...] = ()) -> None:
        """What was kept is there: behind released segments not used again, before a beginning of what was under way
        and all of what was written after that."""
        if power:
            self.folder.lose_power(self.rng)
        else:
            self.folder.kill(self.rng)
        self.ring, records = Ring.open(self.folder, SEGMENT, LIMIT, self.rng.getrandbits(32))
        self.folder.settle()
        found = [(record.position.segment, record.payload) for record in records]
        first = found[0][0] if found else 0
        old = [item for item in self.released if item[0] >= first] if self.kept or found else []
        expected = [*old, *self.kept]
        assert found[: len(expected)] == expected
        more = [payload for _, payload in found[len(expected) :]]
        count = len(more) - len(after)
        assert more == [*under_way[:count], *after]
        self.kept, self.released = found, []

    @rule(sizes=st.lists(st.integers(0, 700), min_size=1, max_size=5))
    def append(self, sizes: list[int]) -> None:
        payloads = self.fresh(sizes)
        positions = self.ring.commit(payloads)
        self.folder.settle()
        self.kept += [(place.segment, payload) for place, payload in zip(positions, payloads, strict=False)]

    @rule(sizes=st.lists(st.integers(0, 700), max_size=5), power=st.booleans())
    def die(self, sizes: list[int], power: bool) -> None:
        payloads = self.fresh(sizes)
        written = self.ring.commit(payloads)
        self.restart(power, payloads[: len(written)])

    @rule(
        sizes=st.lists(st.integers(0, 700), min_size=1, max_size=3), power=st.booleans(), heals=st.booleans()
    )
    def refuse(self, sizes: list[int], power: bool, heals: bool) -> None:
        """Within the commit the disk begins to refuse: a part is written and not synced."""
        payloads = self.fresh(sizes)
        self.folder.refuse_after = self.rng.randrange(4)
        try:
            positions = self.ring.commit(payloads)
        except DiskFailedError:
            self.folder.refuse_after = None
            after: tuple[bytes, ...] = ()
            if heals:
                self.ring.heal()
                after = tuple(self.fresh([5]))
                assert len(self.ring.commit(after, reclaiming=True)) == 1
                self.folder.settle()
            self.restart(power, payloads, after)
        else:
            self.folder.refuse_after = None
            self.folder.settle()
            self.kept += [
                (place.segment, payload) for place, payload in zip(positions, payloads, strict=False)
            ]

    @rule()
    def release(self) -> None:
        oldest = self.ring.oldest
        if oldest is None:
            return
        self.ring.release(oldest)
        self.released += [item for item in self.kept if item[0] == oldest]
        self.kept = [item for item in self.kept if item[0] != oldest]

    @invariant()
    def files_are_bounded(self) -> None:
        if hasattr(self, "ring"):
            assert self.ring.used_bytes <= LIMIT + 2 * SEGMENT


RingOnADisk.TestCase.settings = settings(
    max_examples=40, stateful_step_count=25, deadline=None, suppress_health_check=list(HealthCheck)
)
TestRingOnADisk = RingOnADisk.TestCase
