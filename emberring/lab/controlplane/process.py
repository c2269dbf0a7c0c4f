"""A simulated process: its tasks, which stand still while it is frozen and end with it."""

from __future__ import annotations

import asyncio
import contextvars
import types
from collections.abc import Coroutine, Generator
from typing import Any, TypeVar

Result = TypeVar("Result")

_CURRENT: contextvars.ContextVar[Process | None] = contextvars.ContextVar("process", default=None)


class Process:
    """The tasks of one life of a program. Tasks that its tasks start are its own too."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.alive = True
        self._frozen_until_s = 0.0
        self._tasks: dict[asyncio.Task[Any], None] = {}  # in the order of their starts
        self._context = contextvars.copy_context()
        self._context.run(_CURRENT.set, self)

    def start(self, coroutine: Coroutine[Any, Any, Result]) -> asyncio.Task[Result]:
        """Start a task of this process."""
        return asyncio.get_running_loop().create_task(coroutine, context=self._context)

    def call(self, work: Any, *arguments: Any) -> Any:
        """Call this as the process does."""
        return self._context.run(work, *arguments)

    def freeze(self, until_s: float) -> None:
        """Stand still until then."""
        self._frozen_until_s = max(self._frozen_until_s, until_s)

    @property
    def frozen_s(self) -> float:
        """For how long it stands still yet."""
        return max(0.0, self._frozen_until_s - asyncio.get_running_loop().time())

    def kill(self) -> None:
        """End at once: nothing of it runs on."""
        self.alive = False
        for task in list(self._tasks):
            task.cancel()

    def adopt(self, task: asyncio.Task[Any]) -> None:
        """This task is one of its own."""
        self._tasks[task] = None
        task.add_done_callback(lambda done: self._tasks.pop(done, None))


@types.coroutine
def _held(coroutine: Coroutine[Any, Any, Result], process: Process) -> Generator[Any, Any, Result]:
    """Run a coroutine, but for the time in which its process stands still. What is thrown at it then comes after."""
    value: Any = None
    raised: BaseException | None = None
    while True:
        while process.alive and (left_s := process.frozen_s) > 0:
            try:
                yield from asyncio.sleep(left_s).__await__()
            except BaseException as error:
                raised = error
        try:
            wanted = coroutine.send(value) if raised is None else coroutine.throw(raised)
        except StopIteration as done:
            result: Result = done.value
            return result
        value, raised = None, None
        try:
            value = yield wanted
        except BaseException as error:
            raised = error


async def _hold(coroutine: Coroutine[Any, Any, Result], process: Process) -> Result:
    return await _held(coroutine, process)


def hold_tasks(loop: asyncio.AbstractEventLoop) -> None:
    """Have the loop's tasks belong to the process in whose context they are started."""

    def make(
        _: asyncio.AbstractEventLoop, coroutine: Any, context: contextvars.Context | None = None
    ) -> asyncio.Task[Any]:
        process = context.get(_CURRENT) if context is not None else _CURRENT.get()
        if process is None:
            return asyncio.Task(coroutine, loop=loop, context=context)
        task = asyncio.Task(_hold(coroutine, process), loop=loop, context=context)
        process.adopt(task)
        return task

    loop.set_task_factory(make)
