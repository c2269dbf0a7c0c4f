"""Repeats: joined or answered where two are surely one, never by guess."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
from random import Random

from loadbalancer.budget.repeats import FAILURES, TRIES, Identity, Kind, Repeats, digest
from loadbalancer.interface import Earlier, Effect

KEYED = Identity("move", Effect.KEYED, (b"asked",), key=b"k1")
READ = Identity("read", Effect.SAFE, (b"asked",), carried="id-1")
POST = Identity("post", Effect.UNSAFE, (b"asked",), carried="id-1", marked=True)


def test_a_second_copy_with_the_key_joins_the_running_one_and_then_has_its_answer():
    repeats, job = Repeats(), object()
    assert repeats.arrive(0.0, KEYED).kind is Kind.NEW
    repeats.begin(KEYED, job)
    # However long the first has been running: to send the second would be to bet on the boxes' memory.
    for now in (1.0, 8_999.0, 90_000.0):
        verdict = repeats.arrive(now, KEYED)
        assert (verdict.kind, verdict.token) == (Kind.JOIN, job)
    repeats.end(90_001.0, KEYED, job, "answer", 10)
    verdict = repeats.arrive(90_002.0, KEYED)
    assert (verdict.kind, verdict.token) == (Kind.REPLAY, "answer")
    assert repeats.arrive(92_002.0, KEYED).kind is Kind.NEW


def test_the_same_key_with_another_request_or_class_is_another_request():
    repeats = Repeats()
    repeats.begin(KEYED, "job")
    for other in (replace(KEYED, parts=(b"other",)), replace(KEYED, service="x"), replace(KEYED, key=b"k2")):
        assert repeats.arrive(0.0, other).kind is Kind.NEW


def test_a_safe_request_is_joined_by_its_carried_id_and_a_mark_only():
    repeats = Repeats()
    repeats.begin(READ, "job")
    assert repeats.arrive(0.0, READ).kind is Kind.NEW  # read anew, perhaps after a write
    assert repeats.arrive(0.0, replace(READ, marked=True)).kind is Kind.JOIN
    assert repeats.arrive(0.0, replace(READ, marked=True, carried=None)).kind is Kind.REPEAT
    repeats.end(1.0, READ, "job", "answer", 5)
    assert repeats.arrive(2.0, READ).kind is Kind.NEW
    assert repeats.arrive(2.0, replace(READ, marked=True)).kind is Kind.REPLAY


def test_an_unsafe_request_is_never_joined():
    repeats = Repeats()
    repeats.begin(POST, "job")
    assert repeats.arrive(0.0, POST).kind is Kind.REPEAT
    repeats.end(1.0, POST, "job", "answer", 5)
    assert repeats.arrive(2.0, POST).kind is Kind.REPEAT
    assert repeats.arrive(2.0, replace(POST, marked=False)).kind is Kind.NEW


def test_what_asks_the_same_as_one_that_failed_is_held_for_a_repeat_a_few_times():
    repeats = Repeats()
    asked = replace(POST, marked=False, carried=None)
    for at in range(2):
        repeats.end(0.0, asked, f"job-{at}")
    verdicts = [repeats.arrive(1.0, asked) for _ in range(2 * TRIES + 2)]
    assert [verdict.kind for verdict in verdicts] == [Kind.REPEAT] * 2 * TRIES + [Kind.NEW] * 2
    assert verdicts[0].guessed
    # What was refused before anything was sent makes nothing else look like a repeat.
    repeats.end(2.0, asked, "job", sent=False)
    assert repeats.arrive(3.0, asked).kind is Kind.NEW
    repeats.end(10.0, asked, "job")
    assert repeats.arrive(2010.0, asked).kind is Kind.NEW  # long ago


def test_a_keyed_one_that_may_have_run_is_remembered_with_where():
    repeats, where = Repeats(), Earlier("s1", 50.0)
    repeats.begin(KEYED, "job")
    repeats.end(100.0, KEYED, "job", earlier=where, memory_ms=9000.0)
    verdict = repeats.arrive(8000.0, KEYED)
    assert (verdict.kind, verdict.earlier) == (Kind.REPEAT, where)
    repeats.begin(KEYED, "again")
    assert repeats.arrive(8001.0, KEYED).kind is Kind.JOIN


def test_only_its_own_end_ends_an_entry():
    repeats = Repeats()
    repeats.begin(KEYED, "job")
    repeats.end(0.0, KEYED, "another", "answer", 5)
    assert repeats.arrive(1.0, KEYED).kind is Kind.JOIN


def test_memory_is_bounded_by_bytes_entries_and_time():
    repeats = Repeats(most_bytes=1000, most_entries=500)
    for at in range(5000):
        who = replace(KEYED, key=b"%d" % at)
        repeats.arrive(float(at), who)
        repeats.begin(who, at)
        repeats.end(float(at), who, at, "answer", 100)
        repeats.end(float(at), replace(POST, parts=(b"%d" % at,)), at)
        assert repeats.held <= 1000
    assert len(repeats._entries) <= 500
    assert len(repeats._failures) <= FAILURES
    for _ in range(2000):
        repeats.arrive(1e9, KEYED)
    assert repeats.held == 0
    assert len(repeats._entries) == len(repeats._failures) == 0
    repeats.begin(KEYED, "x")
    repeats.end(1e9, KEYED, "x", "answer", 1001)  # too large to keep
    assert repeats.arrive(1e9, KEYED).kind is not Kind.REPLAY


def test_no_course_of_events_runs_a_key_twice_at_once_or_answers_with_anothers_answer():
    for seed in range(20):
        rng, repeats, now = Random(seed), Repeats(most_bytes=300), 0.0
        running: dict[bytes, object] = {}
        seen: Counter[Kind] = Counter()
        for step in range(2000):
            now += rng.expovariate(1 / 50)
            who = replace(KEYED, key=b"%d" % rng.randrange(12))
            if who.key in running and rng.random() < 0.5:
                answer = (who.key, step) if rng.random() < 0.7 else None
                repeats.end(now, who, running.pop(who.key), answer, 40)
                continue
            verdict = repeats.arrive(now, who)
            seen[verdict.kind] += 1
            if verdict.kind is Kind.JOIN:
                assert verdict.token is running[who.key]
            elif verdict.kind is Kind.REPLAY:
                assert verdict.token[0] == who.key
                assert who.key not in running
            else:
                assert who.key not in running
                running[who.key] = object()
                repeats.begin(who, running[who.key])
        assert min(seen[kind] for kind in Kind) > 10


def test_parts_are_told_apart():
    assert digest(b"a", b"bc") != digest(b"ab", b"c")
