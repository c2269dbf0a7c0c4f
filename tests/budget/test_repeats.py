"""Repeats are joined or replayed only where two requests are certainly the same."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
from random import Random

from loadbalancer.budget.repeats import (
    MAX_FAILURES,
    REPEATS_PER_FAILURE,
    RepeatKind,
    RepeatTracker,
    RequestIdentity,
    digest,
)
from loadbalancer.interface import Earlier, Effect

KEYED = RequestIdentity("move", Effect.KEYED, (b"asked",), key=b"k1")
READ = RequestIdentity("read", Effect.SAFE, (b"asked",), carried="id-1")
POST = RequestIdentity("post", Effect.UNSAFE, (b"asked",), carried="id-1", marked=True)


def test_a_second_request_with_the_key_joins_the_running_one_and_is_replayed_later():
    repeats, job = RepeatTracker(), object()
    assert repeats.classify(0.0, KEYED).kind is RepeatKind.NEW
    repeats.begin(KEYED, job)
    # However long the first runs, the second is not sent: servers may have forgotten the key.
    for now in (1.0, 8_999.0, 90_000.0):
        verdict = repeats.classify(now, KEYED)
        assert (verdict.kind, verdict.token) == (RepeatKind.JOIN, job)
    repeats.end(90_001.0, KEYED, job, "answer", 10)
    verdict = repeats.classify(90_002.0, KEYED)
    assert (verdict.kind, verdict.token) == (RepeatKind.REPLAY, "answer")
    assert repeats.classify(92_002.0, KEYED).kind is RepeatKind.NEW


def test_the_same_key_with_other_content_or_class_is_another_request():
    repeats = RepeatTracker()
    repeats.begin(KEYED, "job")
    for other in (replace(KEYED, parts=(b"other",)), replace(KEYED, service="x"), replace(KEYED, key=b"k2")):
        assert repeats.classify(0.0, other).kind is RepeatKind.NEW


def test_a_safe_request_is_joined_only_by_propagated_id_and_retry_mark():
    repeats = RepeatTracker()
    repeats.begin(READ, "job")
    assert repeats.classify(0.0, READ).kind is RepeatKind.NEW  # another read, perhaps after a write
    assert repeats.classify(0.0, replace(READ, marked=True)).kind is RepeatKind.JOIN
    assert repeats.classify(0.0, replace(READ, marked=True, carried=None)).kind is RepeatKind.REPEAT
    repeats.end(1.0, READ, "job", "answer", 5)
    assert repeats.classify(2.0, READ).kind is RepeatKind.NEW
    assert repeats.classify(2.0, replace(READ, marked=True)).kind is RepeatKind.REPLAY


def test_an_unsafe_request_is_never_joined():
    repeats = RepeatTracker()
    repeats.begin(POST, "job")
    assert repeats.classify(0.0, POST).kind is RepeatKind.REPEAT
    repeats.end(1.0, POST, "job", "answer", 5)
    assert repeats.classify(2.0, POST).kind is RepeatKind.REPEAT
    assert repeats.classify(2.0, replace(POST, marked=False)).kind is RepeatKind.NEW


def test_equal_requests_after_a_failure_count_as_repeats_a_few_times():
    repeats = RepeatTracker()
    unmarked = replace(POST, marked=False, carried=None)
    for at in range(2):
        repeats.end(0.0, unmarked, f"job-{at}")
    verdicts = [repeats.classify(1.0, unmarked) for _ in range(2 * REPEATS_PER_FAILURE + 2)]
    assert [verdict.kind for verdict in verdicts] == [RepeatKind.REPEAT] * 2 * REPEATS_PER_FAILURE + [
        RepeatKind.NEW
    ] * 2
    assert verdicts[0].guessed
    # A request rejected before any attempt does not make others look like repeats.
    repeats.end(2.0, unmarked, "job", sent=False)
    assert repeats.classify(3.0, unmarked).kind is RepeatKind.NEW
    repeats.end(10.0, unmarked, "job")
    assert repeats.classify(2010.0, unmarked).kind is RepeatKind.NEW  # after keep_ms


def test_a_keyed_request_that_may_have_run_is_remembered_with_its_server():
    repeats, earlier = RepeatTracker(), Earlier("s1", 50.0)
    repeats.begin(KEYED, "job")
    repeats.end(100.0, KEYED, "job", earlier=earlier, memory_ms=9000.0)
    verdict = repeats.classify(8000.0, KEYED)
    assert (verdict.kind, verdict.earlier) == (RepeatKind.REPEAT, earlier)
    repeats.begin(KEYED, "again")
    assert repeats.classify(8001.0, KEYED).kind is RepeatKind.JOIN


def test_an_entry_ends_only_with_its_own_token():
    repeats = RepeatTracker()
    repeats.begin(KEYED, "job")
    repeats.end(0.0, KEYED, "another", "answer", 5)
    assert repeats.classify(1.0, KEYED).kind is RepeatKind.JOIN


def test_memory_is_bounded_by_bytes_entries_and_time():
    repeats = RepeatTracker(max_answer_bytes=1000, max_entries=500)
    for at in range(5000):
        request = replace(KEYED, key=b"%d" % at)
        repeats.classify(float(at), request)
        repeats.begin(request, at)
        repeats.end(float(at), request, at, "answer", 100)
        repeats.end(float(at), replace(POST, parts=(b"%d" % at,)), at)
        assert repeats.answer_bytes <= 1000
    assert len(repeats._entries) <= 500
    assert len(repeats._failures) <= MAX_FAILURES
    for _ in range(2000):
        repeats.classify(1e9, KEYED)
    assert repeats.answer_bytes == 0
    assert len(repeats._entries) == len(repeats._failures) == 0
    repeats.begin(KEYED, "x")
    repeats.end(1e9, KEYED, "x", "answer", 1001)  # too large to keep
    assert repeats.classify(1e9, KEYED).kind is not RepeatKind.REPLAY


def test_random_events_never_run_a_key_twice_at_once_or_replay_another_answer():
    for seed in range(20):
        rng, repeats, now = Random(seed), RepeatTracker(max_answer_bytes=300), 0.0
        running: dict[bytes, object] = {}
        seen: Counter[RepeatKind] = Counter()
        for step in range(2000):
            now += rng.expovariate(1 / 50)
            request = replace(KEYED, key=b"%d" % rng.randrange(12))
            if request.key in running and rng.random() < 0.5:
                answer = (request.key, step) if rng.random() < 0.7 else None
                repeats.end(now, request, running.pop(request.key), answer, 40)
                continue
            verdict = repeats.classify(now, request)
            seen[verdict.kind] += 1
            if verdict.kind is RepeatKind.JOIN:
                assert verdict.token is running[request.key]
            elif verdict.kind is RepeatKind.REPLAY:
                assert verdict.token[0] == request.key
                assert request.key not in running
            else:
                assert request.key not in running
                running[request.key] = object()
                repeats.begin(request, running[request.key])
        assert min(seen[kind] for kind in RepeatKind) > 10


def test_the_digest_depends_on_part_boundaries():
    assert digest(b"a", b"bc") != digest(b"ab", b"c")
