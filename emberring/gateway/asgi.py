"""Types of the ASGI interface (asgi.readthedocs.io, HTTP connection scope), as far as the gateway uses it."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any

Scope = MutableMapping[str, Any]  # of one request
Message = MutableMapping[str, Any]  # an event of the request or the response
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]
Application = Callable[[Scope, Receive, Send], Awaitable[None]]
