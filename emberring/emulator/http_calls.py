"""Single HTTP calls with `httpcore`, each on its own connection and with a timeout."""

from __future__ import annotations

from collections.abc import Mapping

import attrs
import httpcore


@attrs.frozen
class HttpResponse:
    """A complete response; the header names are in lower case."""

    status: int
    headers: Mapping[str, str]
    body: bytes


def timeout_extension(seconds: float) -> dict[str, dict[str, float]]:
    """Return the `httpcore` request extension that limits each network operation of a call."""
    return {"timeout": {"connect": seconds, "read": seconds, "write": seconds, "pool": seconds}}


def headers_by_name(raw: list[tuple[bytes, bytes]]) -> dict[str, str]:
    """Return the header values by lower-case name."""
    return {name.decode("latin-1").lower(): value.decode("latin-1") for name, value in raw}


async def call_once(
    method: str,
    url: str,
    *,
    headers: Mapping[str, str] | None = None,
    content: bytes = b"",
    timeout_s: float = 1.0,
) -> HttpResponse:
    """Make one call and return its complete response.

    Raises `CALL_ERRORS`; each network operation is limited to `timeout_s` seconds.
    """
    sent_headers = [("Connection", "close"), *(headers or {}).items()]
    if content and "Content-Type" not in (headers or {}):
        sent_headers.append(("Content-Type", "application/json"))
    async with httpcore.AsyncConnectionPool(max_keepalive_connections=0, retries=0) as pool:
        response = await pool.request(
            method, url, headers=sent_headers, content=content, extensions=timeout_extension(timeout_s)
        )
        return HttpResponse(response.status, headers_by_name(response.headers), response.content)


CALL_ERRORS = (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError)
