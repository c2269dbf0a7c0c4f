"""Tasks with an owner: a node whose CPU time is measured, or a simulated process that can be paused and killed."""

from __future__ import annotations

import asyncio
import contextvars
import functools
import types
from collections.abc import Awaitable, Callable, Coroutine, Generator
from typing import Any, TypeVar

Result = TypeVar("Result")

_OWNER: contextvars.ContextVar[TaskOwner | None] = contextvars.ContextVar("owner", default=None)


class TaskOwner:
    """The owner of tasks; tasks that its tasks start are its own too.

    `own_tasks` must have been called for the loop.
    """

    def __init__(self) -> None:
        self._context = contextvars.copy_context()
        self._context.run(_OWNER.set, self)

    def start(self, coroutine: Coroutine[Any, Any, Result]) -> asyncio.Task[Result]:
        """Start a task that belongs to this owner."""
        return asyncio.get_running_loop().create_task(coroutine, context=self._context)

    def call(self, work: Any, *arguments: Any) -> Any:
        """Call a function in the context of this owner: tasks that it starts belong to the owner."""
        return self._context.run(work, *arguments)

    def pause(self) -> Awaitable[None] | None:
        """Return what a task has to wait for before it goes on; None: nothing.

        An exception thrown into the task meanwhile is raised in it afterwards.
        """
        return None

    def step(self, resume: Callable[[], Any]) -> Any:
        """Let a task run to its next wait."""
        return resume()

    def adopt(self, task: asyncio.Task[Any]) -> None:
        """Take note of a started task of this owner."""


@types.coroutine
def _stepped(coroutine: Coroutine[Any, Any, Result], owner: TaskOwner) -> Generator[Any, Any, Result]:
    """Run a coroutine from wait to wait, each part by its owner's `step`."""
    value: Any = None
    raised: BaseException | None = None
    while True:
        while (pause := owner.pause()) is not None:
            try:
                yield from pause.__await__()
            except BaseException as error:  # also cancellation: it is passed on to the coroutine
                raised = error
        resume = functools.partial(coroutine.send, value)
        if raised is not None:
            resume = functools.partial(coroutine.throw, raised)
        try:
            wanted = owner.step(resume)
        except StopIteration as done:
            result: Result = done.value
            return result
        value, raised = None, None
        try:
            value = yield wanted
        except BaseException as error:  # also cancellation: it is passed on to the coroutine
            raised = error


async def _owned(coroutine: Coroutine[Any, Any, Result], owner: TaskOwner) -> Result:
    return await _stepped(coroutine, owner)


def own_tasks(loop: asyncio.AbstractEventLoop) -> None:
    """Make the loop's tasks belong to the owner in whose context they are started."""

    def make(
        _: asyncio.AbstractEventLoop, coroutine: Any, context: contextvars.Context | None = None
    ) -> asyncio.Task[Any]:
        owner = context.get(_OWNER) if context is not None else _OWNER.get()
        if owner is None:
            return asyncio.Task(coroutine, loop=loop, context=context)
        task = asyncio.Task(_owned(coroutine, owner), loop=loop, context=context)
        owner.adopt(task)
        return task

    loop.set_task_factory(make)
