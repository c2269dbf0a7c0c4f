"""Pauses of a store's event loop are logged, and nothing else."""

from __future__ import annotations

import pytest

from emberring.store import loop_monitor
from emberring.store.loop_monitor import LOGGED_PAUSE_S, LoopMonitor

INTERVAL_S = 0.02


class RecordingLogger:
    def __init__(self) -> None:
        self.lines: list[str] = []

    def warning(self, text: str, *arguments: object) -> None:
        self.lines.append(text % arguments)


# Guards against owners that lose their leases with nothing in the log that says why.
def test_a_pause_of_the_event_loop_is_logged_once(monkeypatch: pytest.MonkeyPatch) -> None:
    logger = RecordingLogger()
    monkeypatch.setattr(loop_monitor, "logger", logger)
    monitor = LoopMonitor(INTERVAL_S, 10.0)
    monitor.check(10.0 + INTERVAL_S)
    monitor.check(10.0 + 2 * INTERVAL_S + LOGGED_PAUSE_S / 2)
    assert logger.lines == []
    monitor.check(12.0)
    monitor.check(12.0 + INTERVAL_S)
    (line,) = logger.lines
    assert line.startswith("event=loop_paused pause_s=1.")
