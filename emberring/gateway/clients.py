"""The client listener: uvicorn's HTTP/1.1 protocol with limits that may change at run time."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from typing import Any

from uvicorn.config import Config
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol
from uvicorn.server import ServerState

from emberring.configuration.model import ClientLimits
from emberring.gateway.asgi import Application
from loadbalancer.core.outgoing import readable

BACKLOG = 2048  # size of the accept queue
ACCEPT_LOOP_TURNS = 3  # iterations of the event loop that empty the accept queue
LINGER_S = 2.0  # time for the client to receive the last bytes of an aborted response


class ClientListener:
    """A listening socket and its connections."""

    def __init__(self, app: Application, limits: Callable[[], ClientLimits]) -> None:
        self._config = Config(
            app,
            http=ClientConnection,
            interface="asgi3",
            proxy_headers=False,
            ws="none",
            lifespan="off",
            log_config=None,
            access_log=False,
            server_header=False,
            date_header=False,
        )
        self._config.load()
        self._state = ServerState()
        self._server: asyncio.Server | None = None
        self.limits = limits
        self.shutting_down = False
        self.responses: Counter[str] = Counter()  # responses begun by status, and responses aborted
        self.accepted = 0
        self.accepted_s = 0.0

    async def listen(self, address: str) -> None:
        """Accept connections at `ip:port`."""
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self._connection, host, int(port), backlog=BACKLOG)

    @property
    def port(self) -> int:
        """The port of the listening socket; raises RuntimeError if there is no socket."""
        if self._server is None:
            raise RuntimeError("not listening")
        return int(self._server.sockets[0].getsockname()[1])

    def _connection(self) -> ClientConnection:
        return ClientConnection(self._config, self._state, {"listener": self})

    @property
    def connections(self) -> set[ClientConnection]:
        """All open connections."""
        return self._state.connections  # type: ignore[return-value]

    @property
    def busy(self) -> int:
        """The number of connections with a request that is partly read or not fully answered."""
        return sum(connection.busy for connection in self.connections)

    async def stop_listening(self) -> None:
        """Accept the connections in the accept queue, then stop listening. Connections stay open."""
        if self._server is None:
            return
        for _ in range(ACCEPT_LOOP_TURNS):
            await asyncio.sleep(0)
        self._server.close()
        self._server = None

    def close_idle(self) -> None:
        """Close the connections without a request; one whose request has begun to arrive stays open."""
        for connection in list(self.connections):
            connection.close_if_idle()

    def abort(self) -> None:
        """Abort all open connections."""
        for connection in list(self.connections):
            connection.transport.abort()


class ClientConnection(HttpToolsProtocol):
    """A client connection. It sets `connection`, `target`, `arrived_s` and `head_bytes` in the state of each scope."""

    def __init__(
        self,
        config: Config,
        server_state: ServerState,
        app_state: dict[str, Any],
        _loop: asyncio.AbstractEventLoop | None = None,
    ) -> None:
        super().__init__(config, server_state, app_state, _loop)
        self.listener: ClientListener = app_state["listener"]
        self.on_disconnected: Callable[[], None] | None = None
        self._reading_head = False
        self._requests_begun = 0
        self._head_received_bytes = 0  # approximate bytes received since the head began
        self._head_bytes = 0  # bytes in complete header names and values
        self._request_began_s = 0.0
        self._idle_since_s = 0.0
        self._head_timer: asyncio.TimerHandle | None = None

    # ----------------------------------------------------------------- for the application

    @property
    def busy(self) -> bool:
        """Whether a request is partly read or not fully answered."""
        return (
            self._reading_head
            or bool(self.pipeline)
            or (self.cycle is not None and not self.cycle.response_complete)
        )

    def watch_for_disconnect(self) -> None:
        """Read on after a complete body, so that the end of the connection is noticed while the response is prepared.

        uvicorn stops reading when a large part of a body arrives, and otherwise goes on only after the response.
        """
        if not self.pipeline:
            self.flow.resume_reading()

    def close_after_response(self) -> None:
        """Send `Connection: close` with the next response and close the connection after it."""
        if not self.pipeline:
            self.cycle.keep_alive = False

    def abort_response(self) -> None:
        """Close the connection without completing the response; written bytes are still sent, for up to `LINGER_S`."""
        self.cycle.disconnected = True
        self.transport.close()
        self.loop.call_later(LINGER_S, self.transport.abort)

    def close_if_idle(self) -> None:
        """Close the connection if no byte of a request has arrived, including the socket's receive buffer."""
        if not self.busy and not self.transport.is_closing() and not readable(self.transport):
            self.transport.close()

    # --------------------------------------------------------------------- asyncio.Protocol

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Start the idle timeout; called by asyncio."""
        super().connection_made(transport)
        self.listener.accepted += 1
        self.listener.accepted_s = self.loop.time()
        self._restart_idle_timeout()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel timers and notify the application; called by asyncio."""
        super().connection_lost(exc)
        self._unset_keepalive_if_required()
        self._stop_head_timer()
        on_disconnected, self.on_disconnected = self.on_disconnected, None
        if on_disconnected is not None:
            on_disconnected()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes and limit the size of a head; called by asyncio."""
        between_requests = not self._reading_head and (self.cycle is None or not self.cycle.more_body)
        requests_begun = self._requests_begun
        self._head_received_bytes += len(data)
        super().data_received(data)
        if between_requests and self._requests_begun == requests_begun + 1:
            self._head_received_bytes = len(data)
        if self._reading_head and self._head_received_bytes > self.listener.limits().max_header_bytes:
            self._reject_head(b"431 Request Header Fields Too Large")

    # ------------------------------------------------------------------- parser's callbacks

    def on_message_begin(self) -> None:
        """Start the timeout of the head; called by httptools."""
        super().on_message_begin()
        self._reading_head, self._head_received_bytes, self._head_bytes = True, 0, 0
        self._requests_begun += 1
        self._request_began_s = self.loop.time()
        self._stop_head_timer()
        self._head_timer = self.loop.call_later(
            self.listener.limits().header_timeout_ms / 1000.0, self._on_head_timeout
        )

    def on_header(self, name: bytes, value: bytes) -> None:
        """Count the bytes of a header; called by httptools."""
        super().on_header(name, value)
        self._head_bytes += len(name) + len(value)

    def on_headers_complete(self) -> None:
        """Store what the application needs in the scope; called by httptools."""
        self._reading_head = False
        self._stop_head_timer()
        state = self.scope["state"]
        state["connection"], state["target"], state["arrived_s"] = self, self.url, self._request_began_s
        state["head_bytes"] = self._head_bytes + len(self.url)
        super().on_headers_complete()

    def on_response_complete(self) -> None:
        """Restart the idle timeout; called by uvicorn."""
        super().on_response_complete()
        self.on_disconnected = None
        if self.timeout_keep_alive_task is not None:
            self._unset_keepalive_if_required()
            self._restart_idle_timeout()

    # ------------------------------------------------------------------------------- limits

    def _restart_idle_timeout(self) -> None:
        """Start the idle timeout from now."""
        self._idle_since_s = self.loop.time()
        self._start_idle_timer()

    def _start_idle_timer(self) -> None:
        remaining_s = self._idle_since_s + self.listener.limits().idle_timeout_ms / 1000.0 - self.loop.time()
        self.timeout_keep_alive_task = self.loop.call_later(
            max(0.0, remaining_s), self.timeout_keep_alive_handler
        )

    def timeout_keep_alive_handler(self) -> None:
        """Close the connection at its idle timeout; called by a timer."""
        self.timeout_keep_alive_task = None
        idle_s = self.loop.time() - self._idle_since_s
        if idle_s < self.listener.limits().idle_timeout_ms / 1000.0:
            self._start_idle_timer()  # the limit was raised after the timer had been started
        else:
            self.close_if_idle()

    def _on_head_timeout(self) -> None:
        self._head_timer = None
        if self._reading_head:
            self._reject_head(b"408 Request Timeout")

    def _stop_head_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _reject_head(self, status: bytes) -> None:
        """Reject a head that is too long or too slow; the status is sent only if no response is in progress."""
        if self.transport.is_closing():
            return
        if self.cycle is None or self.cycle.response_complete:
            self.transport.write(
                b"HTTP/1.1 " + status + b"\r\ncontent-length: 0\r\nconnection: close\r\n\r\n"
            )
        self.transport.close()
