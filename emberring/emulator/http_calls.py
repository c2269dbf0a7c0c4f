"""Single HTTP calls by `httpcore`, each on a connection of its own and within a time limit."""

from __future__ import annotations

from collections.abc import Mapping

import attrs
import httpcore


@attrs.frozen
class HttpResponse:
    """A complete response; names of headers are in lower case."""

    status: int
    headers: Mapping[str, str]
    body: bytes


def timeouts(seconds: float) -> dict[str, dict[str, float]]:
    """The extension by which `httpcore` limits each wait of a call."""
    return {"timeout": {"connect": seconds, "read": seconds, "write": seconds, "pool": seconds}}


def plain_headers(raw: list[tuple[bytes, bytes]]) -> dict[str, str]:
    """Headers by their names in lower case."""
    return {name.decode("latin-1").lower(): value.decode("latin-1") for name, value in raw}


async def call_once(
    method: str,
    url: str,
    *,
    headers: Mapping[str, str] | None = None,
    content: bytes = b"",
    timeout_s: float = 1.0,
) -> HttpResponse:
    """One call and its complete response.

    Raises `CALL_ERRORS`; each wait is limited to `timeout_s` seconds.
    """
    sent = [("Connection", "close"), *(headers or {}).items()]
    if content and "Content-Type" not in (headers or {}):
        sent.append(("Content-Type", "application/json"))
    async with httpcore.AsyncConnectionPool(max_keepalive_connections=0, retries=0) as pool:
        response = await pool.request(
            method, url, headers=sent, content=content, extensions=timeouts(timeout_s)
        )
        return HttpResponse(response.status, plain_headers(response.headers), response.content)


CALL_ERRORS = (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError)
