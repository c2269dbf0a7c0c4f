"""Servers killed and replaced at random for some seconds, under pipelined calls."""

from __future__ import annotations

import asyncio

import pytest

from benchmarks.thrift_kill import Found, Play


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_no_posting_runs_twice_and_each_call_has_one_reply_while_servers_are_killed(seed):
    findings = asyncio.run(Play(seed, nodes=4, boxes=4, callers=3, work_ms=2.0).run(3.0))
    assert findings.broken == []
    assert findings.kills > 5
    assert findings.heard["post: answered"] > 100
    assert findings.heard["post: failed; may have run"] > 0


def test_the_check_detects_each_kind_of_violation():
    findings = Found(
        sent={"a": "answered", "b": "answered", "c": "refused; never ran", "d": "nothing, as it should"}
    )
    findings.ran.update({"a": 1, "c": 1, "d": 2})
    findings.judge()
    assert [violation.split()[0] for violation in findings.broken] == ["b", "c", "d"]
