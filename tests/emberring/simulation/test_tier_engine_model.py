"""The engine model: steps, prompts prefilled in chunks, cached parts, slots, preemption."""

from __future__ import annotations

import pytest

from emberring.simulation.admission.engine_model import Engine, EngineCall, EngineParameters, PromptPart

FIGURES = EngineParameters(
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


class Played:
    """Requests at one engine and their results."""

    def __init__(self, **figures: int) -> None:
        self.engine = Engine(EngineParameters(**{**vars_of(FIGURES), **figures}))
        self.first: dict[str, float] = {}
        self.ended: dict[str, float] = {}
        self.events: dict[str, int] = {}

    def ask(self, name: str, *parts: PromptPart, tokens_out: int = 10) -> bool:
        def on_event(when_ms: float, number: int) -> None:
            self.first.setdefault(name, when_ms)
            self.events[name] = number

        def on_end(when_ms: float) -> None:
            self.ended[name] = when_ms

        return self.engine.submit(EngineCall(name, parts, tokens_out, on_event, on_end))

    def play(self, now_ms: float = 0.0) -> float:
        while not self.engine.idle:
            now_ms = self.engine.step(now_ms)
        return now_ms


def vars_of(figures: EngineParameters) -> dict[str, float]:
    return {name: getattr(figures, name) for name in EngineParameters.__slots__ if not name.startswith("__")}


def own(name: str, tokens: int) -> PromptPart:
    return PromptPart(name, tokens, False)


def test_a_prompt_is_prefilled_in_chunks_and_a_step_generates_a_token() -> None:
    played = Played()
    played.ask("a", own("a", 1500))
    end_ms = played.play()
    # two steps with pieces of 1000 and 500 tokens, the second giving the first token, then nine more tokens
    assert end_ms == pytest.approx(2 + 10 + 2 + 5 + 9 * 2)
    assert played.ended == {"a": end_ms}
    assert played.events == {"a": 1}


def test_a_cached_part_is_not_recomputed_if_all_before_it_are_cached() -> None:
    played = Played()
    played.ask("a", SHARED, own("a", 10))
    played.play()
    assert played.engine.missing((SHARED, own("b", 10))) == 10
    assert played.engine.missing((own("b", 10), SHARED)) == 2010
    before = played.engine.counters.prefilled
    played.ask("b", SHARED, own("b", 10))
    played.play()
    assert played.engine.counters.prefilled - before == 10
    assert played.engine.counters.shared_prefilled == 2000


def test_the_least_recently_used_part_is_evicted() -> None:
    played = Played(kv_tokens=5000)
    for name in ("x", "y", "z"):
        played.ask(name, PromptPart(name, 1900, True), own(f"own-{name}", 10))
        played.play()
    kept = [played.engine.missing((PromptPart(name, 1900, True),)) == 0 for name in ("x", "y", "z")]
    assert kept == [False, True, True]


def test_slots_then_queue_then_full() -> None:
    played = Played()
    taken = [played.ask(name, own(name, 10), tokens_out=1000) for name in "ab"]
    played.engine.step(0.0)
    taken += [played.ask(name, own(name, 10)) for name in "cde"]
    assert taken == [True, True, True, True, False]
    assert (played.engine.active, played.engine.queued) == (2, 2)
    assert played.engine.counters.full == 1


def test_with_a_full_cache_the_newest_request_is_preempted_and_still_ends_once() -> None:
    played = Played(kv_tokens=300)
    played.ask("old", own("old", 50), tokens_out=150)
    played.ask("new", own("new", 50), tokens_out=150)
    played.play()
    assert played.engine.counters.preempted > 0
    assert set(played.ended) == {"old", "new"}
    assert played.ended["old"] < played.ended["new"]
    assert played.events == {"old": 15, "new": 15}


def test_a_request_larger_than_the_cache_is_rejected() -> None:
    played = Played(kv_tokens=1000)
    played.ask("a", own("a", 2000))
    played.engine.step(0.0)
    assert played.ended == {"a": -1.0}
    assert played.engine.idle


def test_a_dropped_request_releases_its_slot() -> None:
    played = Played()
    call = EngineCall("a", (own("a", 10),), 1000, lambda when, number: None, lambda when: None)
    played.engine.submit(call)
    played.engine.step(0.0)
    played.engine.drop(call)
    assert played.engine.idle
