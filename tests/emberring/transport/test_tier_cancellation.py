"""A cancellation that arrives as the awaited event occurs is not lost."""

from __future__ import annotations

import asyncio
import re
from pathlib import Path

import pytest

from emberring.control.change_notifier import ChangeNotifier

PACKAGE = Path(__file__).parents[3] / "emberring"


async def _wait_forever(signal: ChangeNotifier, wakeups: list[int]) -> None:
    while True:
        await signal.wait(5.0)
        wakeups.append(1)


async def _cancel_as_the_signal_is_sent() -> list[int]:
    signal, wakeups = ChangeNotifier(), list[int]()
    task = asyncio.get_running_loop().create_task(_wait_forever(signal, wakeups))
    await asyncio.sleep(0)
    signal.notify_all()
    task.cancel()
    _, pending = await asyncio.wait({task}, timeout=2.0)
    for left in pending:
        left.cancel()
    assert not pending, "the task did not end after its cancellation"
    return wakeups


def test_a_waiting_task_that_is_cancelled_as_its_signal_is_sent_ends() -> None:
    assert len(asyncio.run(_cancel_as_the_signal_is_sent())) <= 1


@pytest.mark.parametrize(
    "path", sorted(PACKAGE.rglob("*.py")), ids=lambda path: str(path.relative_to(PACKAGE))
)
def test_no_module_uses_wait_for_which_loses_cancellations(path: Path) -> None:
    assert not re.search(r"asyncio\.wait_for\(", path.read_text(encoding="utf-8"))
