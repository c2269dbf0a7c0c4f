"""The server side of a connection: receives calls and sends their replies."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from emberring.transport.connection import MessageConnection
from emberring.transport.messages import Envelope, encode

# Returns the reply to a message, given the message and the address of its sender.
Respond = Callable[[object, str], Awaitable[object]]


class ServerConnection(MessageConnection):
    """Handles each call of a peer in its own task, so that a slow call does not delay the others.

    `respond` returns the reply to a call. `tasks` is the set of running tasks.
    """

    def __init__(
        self,
        open_connections: set[MessageConnection],
        tasks: set[asyncio.Task[None]],
        respond: Respond,
    ) -> None:
        super().__init__(open_connections)
        self._tasks = tasks
        self._respond = respond

    def on_envelope(self, envelope: Envelope) -> None:
        """Start a task that handles this message."""
        task = asyncio.get_running_loop().create_task(self._handle_call(envelope))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _handle_call(self, envelope: Envelope) -> None:
        reply = await self._respond(envelope.body, self.peer)
        if envelope.id and self.transport is not None and not self.transport.is_closing():
            self.transport.write(encode(Envelope(-envelope.id, reply)))
