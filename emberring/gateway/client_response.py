"""Writes the response to one client request through ASGI; writes wait while the client reads slowly."""

from __future__ import annotations

from emberring.gateway.asgi import Send
from emberring.gateway.clients import ClientConnection
from emberring.gateway.events import Event
from emberring.gateway.messages import BODILESS_STATUSES, Header, ResponseHead, end_to_end_headers
from emberring.gateway.responses import GatewayResponse


class ClientResponse:
    """Writes one response. The head is sent once, with the first part of the response."""

    def __init__(self, send: Send, connection: ClientConnection, request_id: bytes, is_head: bool) -> None:
        self._send = send
        self._connection = connection
        self._request_id = request_id
        self._is_head = is_head
        self._started = False

    @property
    def started(self) -> bool:
        """Whether a head has been sent."""
        return self._started

    async def events(self, head: ResponseHead, events: list[Event]) -> None:
        """Write complete events, without `Content-Length`: the length of a stream that may be resumed is not known."""
        if not self._started:
            await self._start(head.status, _without_length(head))
        await self._write(b"".join([event.raw for event in events]), True)

    async def body_chunk(self, head: ResponseHead, data: bytes) -> None:
        """Write a part of a body, with the length or the chunked encoding of the server's response."""
        if not self._started:
            await self._start(head.status, end_to_end_headers(head.headers))
        await self._write(data, True)

    async def end(self, head: ResponseHead, data: bytes) -> None:
        """Write the rest of a success, or all of it if nothing was written before."""
        if self._started:
            await self._write(data, False)
        else:
            await self.send_response(head, data)

    async def send_response(self, head: ResponseHead, body: bytes) -> None:
        """Write a complete response of a server; the protocol raises RuntimeError after the start of another one."""
        headers = end_to_end_headers(head.headers)
        bodiless = self._is_head or head.status in BODILESS_STATUSES
        if not bodiless:
            headers = [*_without_length(head), (b"content-length", b"%d" % len(body))]
        await self._start(head.status, headers)
        await self._write(body, False)

    async def send_local(self, response: GatewayResponse) -> None:
        """Write a response that the gateway generated, usually an error."""
        if response.close:
            self._connection.close_after_response()
        await self._start(response.status, response.headers(self._request_id))
        await self._write(response.body, False)

    async def send_complete(self, status: int, content_type: bytes, body: bytes) -> None:
        """Write a successful response that the gateway generated."""
        headers = [(b"content-type", content_type), (b"content-length", b"%d" % len(body))]
        if self._request_id:
            headers.append((b"request-id", self._request_id))
        await self._start(status, headers)
        await self._write(body, False)

    def abort_response(self) -> None:
        """End a partly sent response so that the client detects that it is incomplete."""
        self._connection.listener.responses["broken_off"] += 1
        self._connection.abort_response()

    async def _start(self, status: int, headers: list[Header]) -> None:
        self._started = True
        self._connection.listener.responses[str(status)] += 1
        if self._connection.listener.shutting_down:
            self._connection.close_after_response()
        await self._send({"type": "http.response.start", "status": status, "headers": headers})

    async def _write(self, data: bytes, more: bool) -> None:
        if data or not more:
            await self._send({"type": "http.response.body", "body": data, "more_body": more})


def _without_length(head: ResponseHead) -> list[Header]:
    return [header for header in end_to_end_headers(head.headers) if header[0] != b"content-length"]
