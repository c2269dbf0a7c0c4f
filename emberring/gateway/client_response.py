"""The client's end of one request: what is written goes out through ASGI, held up by a client that reads slowly."""

from __future__ import annotations

from typing import Any

from emberring.gateway.clients import ClientConnection
from emberring.gateway.events import Event
from emberring.gateway.messages import BODILESS_STATUSES, Header, ResponseHead, end_to_end_headers
from emberring.gateway.responses import GatewayResponse

Send = Any  # the ASGI callable


class ClientResponse:
    """Writes one answer. The head that goes out first is the one that stays."""

    def __init__(self, send: Send, connection: ClientConnection, request_id: bytes, is_head: bool) -> None:
        self._send = send
        self._connection = connection
        self._request_id = request_id
        self._is_head = is_head
        self._started = False

    @property
    def started(self) -> bool:
        """Whether a head has gone out."""
        return self._started

    async def events(self, head: ResponseHead, events: list[Event]) -> None:
        """Whole events, in chunks: a stream that is resumed has no length that is known before."""
        if not self._started:
            await self._start(head.status, _without_length(head))
        await self._write(b"".join([event.raw for event in events]), True)

    async def body_chunk(self, head: ResponseHead, data: bytes) -> None:
        """A part of a body whose length the head tells, or which comes in chunks."""
        if not self._started:
            await self._start(head.status, end_to_end_headers(head.headers))
        await self._write(data, True)

    async def end(self, head: ResponseHead, data: bytes) -> None:
        """The rest of an answer; all of it if nothing was written before."""
        if not self._started:
            headers = end_to_end_headers(head.headers)
            bodiless = self._is_head or head.status in BODILESS_STATUSES
            if not bodiless:
                headers = [*_without_length(head), (b"content-length", b"%d" % len(data))]
            await self._start(head.status, headers)
        await self._write(data, False)

    async def send_local(self, answer: GatewayResponse) -> None:
        """An answer of the gateway's own."""
        if answer.close:
            self._connection.close_after_answer()
        await self._start(answer.status, answer.headers(self._request_id))
        await self._write(answer.body, False)

    async def send_complete(self, status: int, content_type: bytes, body: bytes) -> None:
        """An answer of the tier itself with a body."""
        headers = [(b"content-type", content_type), (b"content-length", b"%d" % len(body))]
        if self._request_id:
            headers.append((b"request-id", self._request_id))
        await self._start(status, headers)
        await self._write(body, False)

    def abort_response(self) -> None:
        """End an answer that was begun so that it can't look complete."""
        self._connection.listener.responses["broken_off"] += 1
        self._connection.abort_response()

    async def _start(self, status: int, headers: list[Header]) -> None:
        self._started = True
        self._connection.listener.responses[str(status)] += 1
        if self._connection.listener.shutting_down:
            self._connection.close_after_answer()
        await self._send({"type": "http.response.start", "status": status, "headers": headers})

    async def _write(self, data: bytes, more: bool) -> None:
        if data or not more:
            await self._send({"type": "http.response.body", "body": data, "more_body": more})


def _without_length(head: ResponseHead) -> list[Header]:
    return [item for item in end_to_end_headers(head.headers) if item[0] != b"content-length"]
