"""The calls to other nodes that are in flight, and the callback for the reply to each."""

from __future__ import annotations

from collections.abc import Callable

from emberring.register.action_queue import ActionQueue
from emberring.register.events import Call
from emberring.register.messages import Request

ReplyHandler = Callable[[float, object | None], None]
"""Called with the time (monotonic clock, seconds) and the reply, which is None after a timeout or failure."""


class OutgoingCalls:
    """Numbers the calls of a `RegisterNode` and passes each reply to the callback of its call."""

    def __init__(self, actions: ActionQueue) -> None:
        self._actions = actions
        self._handlers: dict[int, ReplyHandler] = {}
        self._last_number = 0

    def send(self, address: str, message: Request, timeout_s: float, on_reply: ReplyHandler) -> None:
        """Call the node at an internal address; `on_reply` is called once, after `timeout_s` at the latest."""
        self._last_number += 1
        self._handlers[self._last_number] = on_reply
        self._actions.add(Call(self._last_number, address, message, timeout_s))

    def on_replied(self, now_s: float, call: int, reply: object | None) -> None:
        """Pass a reply to its callback; a reply to a call that is not in flight, such as a duplicate, is ignored."""
        handler = self._handlers.pop(call, None)
        if handler is not None:
            handler(now_s, reply)
