"""Assigns tasks to an owner: a node whose CPU time is measured, or a simulated process to pause or kill."""

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
    """The owner of a group of tasks, which includes the tasks that these tasks start.

    Requires that `install_owner_task_factory` has been called for the event loop.
    """

    def __init__(self) -> None:
        self._context = contextvars.copy_context()
        self._context.run(_OWNER.set, self)

    def start(self, coroutine: Coroutine[Any, Any, Result]) -> asyncio.Task[Result]:
        """Start a task that belongs to this owner."""
        return asyncio.get_running_loop().create_task(coroutine, context=self._context)

    def call(self, function: Any, *arguments: Any) -> Any:
        """Call a function in the context of this owner; the tasks that it starts belong to the owner."""
        return self._context.run(function, *arguments)

    def pause(self) -> Awaitable[None] | None:
        """Return an awaitable that a task must await before its next step, or None to continue at once.

        An exception thrown into the task during that wait is raised in the task afterwards.
        """
        return None

    def step(self, resume: Callable[[], Any]) -> Any:
        """Run a task up to its next await."""
        return resume()

    def on_task_started(self, task: asyncio.Task[Any]) -> None:
        """Handle the start of a task of this owner."""


@types.coroutine
def _run_stepwise(coroutine: Coroutine[Any, Any, Result], owner: TaskOwner) -> Generator[Any, Any, Result]:
    """Run a coroutine from one await to the next, each part through its owner's `step`."""
    value: Any = None
    thrown: BaseException | None = None
    while True:
        while (pause := owner.pause()) is not None:
            try:
                yield from pause.__await__()
            except BaseException as error:  # also cancellation: it is passed on to the coroutine
                thrown = error
        resume = functools.partial(coroutine.send, value)
        if thrown is not None:
            resume = functools.partial(coroutine.throw, thrown)
        try:
            awaited = owner.step(resume)
        except StopIteration as done:
            result: Result = done.value
            return result
        value, thrown = None, None
        try:
            value = yield awaited
        except BaseException as error:  # also cancellation: it is passed on to the coroutine
            thrown = error


async def _run_owned(coroutine: Coroutine[Any, Any, Result], owner: TaskOwner) -> Result:
    return await _run_stepwise(coroutine, owner)


def install_owner_task_factory(loop: asyncio.AbstractEventLoop) -> None:
    """Install a task factory that assigns each task to the owner in whose context it is started."""

    def make(
        _: asyncio.AbstractEventLoop, coroutine: Any, context: contextvars.Context | None = None
    ) -> asyncio.Task[Any]:
        owner = context.get(_OWNER) if context is not None else _OWNER.get()
        if owner is None:
            return asyncio.Task(coroutine, loop=loop, context=context)
        task = asyncio.Task(_run_owned(coroutine, owner), loop=loop, context=context)
        owner.on_task_started(task)
        return task

    loop.set_task_factory(make)
