"""Tasks that belong to somebody: to a node that is metered, or to a process that can stand still and be killed."""

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
    """Whose tasks these are; those that its tasks start are its own too. `own_tasks` must have been called."""

    def __init__(self) -> None:
        self._context = contextvars.copy_context()
        self._context.run(_OWNER.set, self)

    def start(self, coroutine: Coroutine[Any, Any, Result]) -> asyncio.Task[Result]:
        """Start a task of its own."""
        return asyncio.get_running_loop().create_task(coroutine, context=self._context)

    def call(self, work: Any, *arguments: Any) -> Any:
        """Call this as its tasks do."""
        return self._context.run(work, *arguments)

    def pause(self) -> Awaitable[None] | None:
        """What a task has to wait for before it goes on; None: nothing. What is thrown at it meanwhile comes after."""
        return None

    def step(self, resume: Callable[[], Any]) -> Any:
        """Let a task run on to its next wait."""
        return resume()

    def adopt(self, task: asyncio.Task[Any]) -> None:
        """A task of its own has been started."""


@types.coroutine
def _stepped(coroutine: Coroutine[Any, Any, Result], owner: TaskOwner) -> Generator[Any, Any, Result]:
    """Run a coroutine from wait to wait, each stretch as its owner has it."""
    value: Any = None
    raised: BaseException | None = None
    while True:
        while (pause := owner.pause()) is not None:
            try:
                yield from pause.__await__()
            except BaseException as error:
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
        except BaseException as error:
            raised = error


async def _owned(coroutine: Coroutine[Any, Any, Result], owner: TaskOwner) -> Result:
    return await _stepped(coroutine, owner)


def own_tasks(loop: asyncio.AbstractEventLoop) -> None:
    """Have the loop's tasks belong to the owner in whose context they are started."""

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
