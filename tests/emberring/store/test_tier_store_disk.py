"""Restore of a store from its disk: the monotonic clock of another boot does not change the age of batch jobs."""

from __future__ import annotations

import pytest

from emberring.jobs.records import Record, Term
from emberring.jobs.replica_log import Entry, Promised, Started, Written, encode_entry
from emberring.journal.layout import Position
from emberring.journal.layout import Record as JournalRecord
from emberring.store.disk import restore


def journal_record(clock_s: float, age_ms: int) -> JournalRecord:
    entry = Written(Term(1, 1, "a"), (Record("lot", 0, age_ms, b"x"),))
    payload = encode_entry(3, clock_s, entry)
    return JournalRecord(Position(0, 0, len(payload)), payload)


def logged_record(shard: int, clock_s: float, entry: Entry) -> JournalRecord:
    payload = encode_entry(shard, clock_s, entry)
    return JournalRecord(Position(0, 0, len(payload)), payload)


def later_record(clock_s: float) -> JournalRecord:
    return logged_record(3, clock_s, Promised(Term(1, 2, "a")))


def started_record(clock_s: float) -> JournalRecord:
    return logged_record(0, clock_s, Started())


@pytest.mark.parametrize(
    ("written_s", "restored_s"),
    [(100.0, 100.5), (100.0, 2.0), (100.0, 2_000_000.0), (-1.8e9, 5.0)],
    ids=["same boot", "clock back to zero", "clock far ahead", "clock began below zero"],
)
def test_a_restart_does_not_increase_the_age_in_a_record(written_s: float, restored_s: float) -> None:
    replica = restore([journal_record(written_s, 700)], restored_s)[3]
    assert replica.jobs["lot"].accepted_s == pytest.approx(restored_s - 0.7)


def test_ages_increase_within_an_incarnation_and_not_between_incarnations() -> None:
    records = [
        journal_record(100.0, 0),
        later_record(103.0),
        started_record(5_000_000.0),
        later_record(5_000_002.0),
    ]
    replica = restore(records, 50.0)[3]
    assert replica.jobs["lot"].accepted_s == pytest.approx(45.0)


def test_the_age_in_a_newer_record_is_not_increased_by_an_older_record() -> None:
    replica = restore([journal_record(100.0, 0), journal_record(104.0, 4000)], 50.0)[3]
    assert replica.jobs["lot"].accepted_s == pytest.approx(46.0)
