"""A simulated process whose tasks pause while it is frozen and are cancelled when it is killed."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from typing import Any

from emberring.simulation.common.task_owner import TaskOwner

ROUNDING_S = 1e-9


class Process(TaskOwner):
    """The tasks of one incarnation of a program."""

    def __init__(self, address: str) -> None:
        super().__init__()
        self.address = address
        self.alive = True
        self._frozen_until_s = 0.0
        self._tasks: dict[asyncio.Task[Any], None] = {}  # in start order

    def freeze(self, until_s: float) -> None:
        """Pause all tasks until the given time (s)."""
        self._frozen_until_s = max(self._frozen_until_s, until_s)

    @property
    def frozen_s(self) -> float:
        """The remaining time (s) for which the process is frozen."""
        remaining_s = self._frozen_until_s - asyncio.get_running_loop().time()
        # A timer may fire early by a rounding error; a sleep of that length would not advance the virtual time.
        return remaining_s if remaining_s > ROUNDING_S else 0.0

    def pause(self) -> Awaitable[None] | None:
        return asyncio.sleep(self.frozen_s) if self.alive and self.frozen_s > 0 else None

    def kill(self) -> None:
        """Cancel all tasks."""
        self.alive = False
        for task in list(self._tasks):
            task.cancel()

    def on_task_started(self, task: asyncio.Task[Any]) -> None:
        self._tasks[task] = None
        task.add_done_callback(lambda done: self._tasks.pop(done, None))
