"""What listens on loopback."""

from __future__ import annotations

import asyncio


class Listening:
    """A peer whose `_server` is there once it has been started."""

    _server: asyncio.Server | None = None

    @property
    def endpoint(self) -> str:
        assert self._server is not None
        return f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"
