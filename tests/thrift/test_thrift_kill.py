"""Boxes killed and replaced at random under pipelined calls, for some seconds."""

from __future__ import annotations

import asyncio

import pytest

from benchmarks.thrift_kill import Found, Play


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_no_posting_runs_twice_and_each_call_has_one_answer_while_boxes_are_killed(seed):
    found = asyncio.run(Play(seed, nodes=4, boxes=4, callers=3, work_ms=2.0).run(3.0))
    assert found.broken == []
    assert found.kills > 5
    assert found.heard["post: answered"] > 100
    assert found.heard["post: failed; may have run"] > 0


def test_the_judgement_sees_what_it_is_there_for():
    found = Found(
        sent={"a": "answered", "b": "answered", "c": "refused; never ran", "d": "nothing, as it should"}
    )
    found.ran.update({"a": 1, "c": 1, "d": 2})
    found.judge()
    assert [words.split()[0] for words in found.broken] == ["b", "c", "d"]
