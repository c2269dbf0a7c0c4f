"""Types of the part of the ASGI interface that the gateway uses (asgi.readthedocs.io, HTTP connection scope)."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any

Scope = MutableMapping[str, Any]  # describes one request
Message = MutableMapping[str, Any]  # an ASGI event of a request or a response
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]
Application = Callable[[Scope, Receive, Send], Awaitable[None]]
