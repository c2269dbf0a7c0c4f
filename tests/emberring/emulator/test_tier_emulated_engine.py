"""The emulated engine: batching, shared prompt parts, and preemption and eviction with a full KV cache."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from emberring.emulator.engine import Engine, EngineRequest, EngineSpec, EventProduced
from emberring.emulator.kv_cache import KvCache, PromptPart

SPEC = EngineSpec(capacity=2, queue_limit=1, kv_tokens=1000, stride=4, prefill_chunk=100)


def make_request(
    name: str, tokens: int = 100, output: int = 10, shared: str = "", skip: int = 0
) -> EngineRequest:
    return EngineRequest(name, (PromptPart(shared or name, tokens),), output, skip_events=skip)


def run_until_idle(engine: Engine, max_steps: int = 10_000) -> list[EventProduced]:
    produced: list[EventProduced] = []
    for _ in range(max_steps):
        if engine.idle:
            return produced
        produced += engine.step()
    raise AssertionError("the engine still has requests after the maximum number of steps")


@pytest.mark.parametrize(
    ("output", "skip", "indexes"),
    [
        (1, 0, [0]),
        (4, 0, [0]),
        (5, 0, [0, 1]),
        (10, 0, [0, 1, 2]),
        (10, 1, [1, 2]),
        (10, 2, [2]),
        (10, 3, [2]),
    ],
)
def test_an_event_is_produced_per_stride_and_resumed_streams_skip_events(output, skip, indexes):
    engine = Engine(SPEC)
    assert engine.submit(make_request("a", output=output, skip=skip))
    produced = run_until_idle(engine)
    assert [item.index for item in produced] == indexes
    assert [item.last for item in produced] == [False] * (len(indexes) - 1) + [True]


def test_a_full_engine_rejects_until_a_request_is_dropped():
    engine = Engine(SPEC)
    first = make_request("a")
    assert engine.submit(first)
    assert engine.submit(make_request("b"))
    assert engine.submit(make_request("c"))
    assert not engine.submit(make_request("d"))
    engine.step()
    engine.drop(first)
    assert engine.submit(make_request("d"))


def test_a_request_larger_than_the_cache_is_rejected():
    assert not Engine(SPEC).submit(make_request("a", tokens=995, output=10))


def steps_until_idle(engine: Engine) -> int:
    steps = 0
    while not engine.idle:
        engine.step()
        steps += 1
    return steps


def test_a_prompt_is_prefilled_in_chunks_and_a_shared_part_once():
    engine = Engine(SPEC)
    engine.submit(make_request("a", tokens=450, output=1, shared="s"))
    assert steps_until_idle(engine) == 5
    engine.submit(make_request("b", tokens=450, output=1, shared="s"))
    assert steps_until_idle(engine) == 1


def test_a_full_cache_preempts_the_newest_request_which_continues_later():
    engine = Engine(EngineSpec(capacity=2, kv_tokens=230, stride=4, prefill_chunk=100))
    engine.submit(make_request("old", tokens=100, output=40))
    engine.submit(make_request("new", tokens=100, output=40))
    produced = run_until_idle(engine)
    ends = [item.request.id for item in produced if item.last]
    assert ends == ["old", "new"]
    for name in ends:
        assert [item.index for item in produced if item.request.id == name] == list(range(10))


PARTS = st.lists(st.tuples(st.sampled_from("abcdef"), st.integers(1, 40)), min_size=1, max_size=4)


@given(st.lists(st.tuples(PARTS, st.integers(1, 30)), max_size=12))
def test_the_cache_never_overflows_and_every_request_ends_once(requests):
    sizes: dict[str, int] = {}
    engine = Engine(EngineSpec(capacity=3, queue_limit=20, kv_tokens=200, stride=5, prefill_chunk=64))
    taken = []
    for number, (parts, output) in enumerate(requests):
        unique = {name: sizes.setdefault(name, tokens) for name, tokens in parts}
        made = EngineRequest(str(number), tuple(PromptPart(*pair) for pair in unique.items()), output)
        if engine.submit(made):
            taken.append(made.id)
    ended = []
    for _ in range(5000):
        if engine.idle:
            break
        for item in engine.step():
            if item.last:
                ended.append(item.request.id)
        assert engine.cache.used <= engine.cache.capacity
    assert sorted(ended) == sorted(taken)
    assert engine.cache.used == 0


def test_the_least_recently_used_parts_are_evicted():
    cache = KvCache(100)
    one, two, three = (PromptPart(name, 40) for name in ("1", "2", "3"))
    cache.pin([one])
    cache.release([one], 0)
    cache.pin([two])
    cache.release([two], 0)
    cache.pin([three])
    assert [cache.cached_prefix_tokens([part]) for part in (one, two, three)] == [0, 40, 40]
    assert cache.cached_prefix_tokens([one, two]) == 0
