"""A cancellation that comes in the moment in which the awaited thing happens is not lost."""

from __future__ import annotations

import asyncio
import re
from pathlib import Path

import pytest

from emberring.control.change_notifier import ChangeNotifier

PACKAGE = Path(__file__).parents[3] / "emberring"


async def _wait_for_ever(signal: ChangeNotifier, turns: list[int]) -> None:
    while True:
        await signal.wait(5.0)
        turns.append(1)


async def _cancelled_as_it_is_given() -> list[int]:
    signal, turns = ChangeNotifier(), list[int]()
    task = asyncio.get_running_loop().create_task(_wait_for_ever(signal, turns))
    await asyncio.sleep(0)
    signal.notify_all()
    task.cancel()
    _, pending = await asyncio.wait({task}, timeout=2.0)
    for left in pending:
        left.cancel()
    assert not pending, "the task went on waiting"
    return turns


def test_a_task_that_waits_for_a_signal_ends_when_it_is_cancelled_as_the_signal_is_given() -> None:
    assert len(asyncio.run(_cancelled_as_it_is_given())) <= 1


@pytest.mark.parametrize(
    "path", sorted(PACKAGE.rglob("*.py")), ids=lambda path: str(path.relative_to(PACKAGE))
)
def test_no_part_uses_the_call_that_loses_cancellations(path: Path) -> None:
    assert not re.search(r"asyncio\.wait_for\(", path.read_text(encoding="utf-8"))
