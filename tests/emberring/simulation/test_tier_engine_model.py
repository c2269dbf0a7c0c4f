"""The engine model: steps, prompts prefilled in chunks, cached parts, slots, preemption."""

from __future__ import annotations

import pytest

from emberring.simulation.admission.engine_model import Engine, EngineCall, EngineParameters, PromptPart

PARAMETERS = EngineParameters(
    capacity=2,
    queue=2,
    kv_tokens=10_000,
    step_ms=2.0,
    step_ms_per_request=0.0,
    context_ms_per_k=0.0,
    prefill_tokens_per_ms=100.0,
    pairs_ms_per_m=0.0,
    stride=10,
    chunk=1000,
)
SHARED = PromptPart("shared", 2000, True)


class EngineRun:
    """Requests at one engine and their results."""

    def __init__(self, **parameters: int) -> None:
        self.engine = Engine(EngineParameters(**{**fields_of(PARAMETERS), **parameters}))
        self.first: dict[str, float] = {}
        self.ended: dict[str, float] = {}
        self.events: dict[str, int] = {}

    def submit(self, name: str, *parts: PromptPart, tokens_out: int = 10) -> bool:
        def on_event(when_ms: float, number: int) -> None:
            self.first.setdefault(name, when_ms)
            self.events[name] = number

        def on_end(when_ms: float) -> None:
            self.ended[name] = when_ms

        return self.engine.submit(EngineCall(name, parts, tokens_out, on_event, on_end))

    def run_until_idle(self, now_ms: float = 0.0) -> float:
        while not self.engine.idle:
            now_ms = self.engine.step(now_ms)
        return now_ms


def fields_of(parameters: EngineParameters) -> dict[str, float]:
    return {
        name: getattr(parameters, name) for name in EngineParameters.__slots__ if not name.startswith("__")
    }


def own_part(name: str, tokens: int) -> PromptPart:
    return PromptPart(name, tokens, False)


def test_a_prompt_is_prefilled_in_chunks_and_a_step_generates_a_token() -> None:
    engine_run = EngineRun()
    engine_run.submit("a", own_part("a", 1500))
    end_ms = engine_run.run_until_idle()
    # two steps with chunks of 1000 and 500 tokens, the second generates the first token, then nine more tokens
    assert end_ms == pytest.approx(2 + 10 + 2 + 5 + 9 * 2)
    assert engine_run.ended == {"a": end_ms}
    assert engine_run.events == {"a": 1}


def test_a_cached_part_is_not_recomputed_if_all_before_it_are_cached() -> None:
    engine_run = EngineRun()
    engine_run.submit("a", SHARED, own_part("a", 10))
    engine_run.run_until_idle()
    assert engine_run.engine.missing((SHARED, own_part("b", 10))) == 10
    assert engine_run.engine.missing((own_part("b", 10), SHARED)) == 2010
    before = engine_run.engine.counters.prefilled
    engine_run.submit("b", SHARED, own_part("b", 10))
    engine_run.run_until_idle()
    assert engine_run.engine.counters.prefilled - before == 10
    assert engine_run.engine.counters.shared_prefilled == 2000


def test_the_least_recently_used_part_is_evicted() -> None:
    engine_run = EngineRun(kv_tokens=5000)
    for name in ("x", "y", "z"):
        engine_run.submit(name, PromptPart(name, 1900, True), own_part(f"own-{name}", 10))
        engine_run.run_until_idle()
    cached = [engine_run.engine.missing((PromptPart(name, 1900, True),)) == 0 for name in ("x", "y", "z")]
    assert cached == [False, True, True]


def test_requests_fill_slots_then_queue_then_are_rejected() -> None:
    engine_run = EngineRun()
    accepted = [engine_run.submit(name, own_part(name, 10), tokens_out=1000) for name in "ab"]
    engine_run.engine.step(0.0)
    accepted += [engine_run.submit(name, own_part(name, 10)) for name in "cde"]
    assert accepted == [True, True, True, True, False]
    assert (engine_run.engine.active, engine_run.engine.queued) == (2, 2)
    assert engine_run.engine.counters.full == 1


def test_with_a_full_cache_the_newest_request_is_preempted_and_still_ends_once() -> None:
    engine_run = EngineRun(kv_tokens=300)
    engine_run.submit("old", own_part("old", 50), tokens_out=150)
    engine_run.submit("new", own_part("new", 50), tokens_out=150)
    engine_run.run_until_idle()
    assert engine_run.engine.counters.preempted > 0
    assert set(engine_run.ended) == {"old", "new"}
    assert engine_run.ended["old"] < engine_run.ended["new"]
    assert engine_run.events == {"old": 15, "new": 15}


def test_a_request_larger_than_the_cache_is_rejected() -> None:
    engine_run = EngineRun(kv_tokens=1000)
    engine_run.submit("a", own_part("a", 2000))
    engine_run.engine.step(0.0)
    assert engine_run.ended == {"a": -1.0}
    assert engine_run.engine.idle


def test_a_dropped_request_releases_its_slot() -> None:
    engine_run = EngineRun()
    call = EngineCall("a", (own_part("a", 10),), 1000, lambda when, number: None, lambda when: None)
    engine_run.engine.submit(call)
    engine_run.engine.step(0.0)
    engine_run.engine.drop(call)
    assert engine_run.engine.idle
