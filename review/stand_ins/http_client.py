"""One HTTP/1.1 call on a connection of its own, as the pages describe for clients, servers and the operator."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from typing import NamedTuple

NO_ANSWER = 0  # the status of a call that ended without a complete answer


class Call(NamedTuple):
    """A request; without an answer it ends after `timeout_s`."""

    method: str
    path: str
    headers: Mapping[str, str] = {}
    body: bytes = b""
    timeout_s: float = 2.5


class Answer(NamedTuple):
    """A complete answer; `status` is `NO_ANSWER` if there was none."""

    status: int
    headers: Mapping[str, str]
    body: bytes


async def call(address: str, request: Call) -> Answer:
    """Send a request and return its answer; a silence, a refusal or a broken connection gives `NO_ANSWER`."""
    try:
        async with asyncio.timeout(request.timeout_s):
            return await _call(address, request)
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return Answer(NO_ANSWER, {}, b"")


async def _call(address: str, request: Call) -> Answer:
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port), limit=1 << 20)
    try:
        lines = [f"{request.method} {request.path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in request.headers.items()]
        if "Host" not in request.headers:
            lines.append(f"Host: {address}")
        if request.body or request.method in ("POST", "PUT", "PATCH"):
            lines.append(f"Content-Length: {len(request.body)}")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + request.body)
        await writer.drain()
        return await read_answer(reader)
    finally:
        writer.close()


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Read one complete answer."""
    status, headers = await read_head(reader)
    if headers.get("transfer-encoding", "").lower() == "chunked":
        return Answer(status, headers, await _read_chunks(reader))
    return Answer(status, headers, await reader.readexactly(int(headers.get("content-length", "0"))))


async def read_head(reader: asyncio.StreamReader) -> tuple[int, dict[str, str]]:
    """Read a status line and the headers, with names in lower case."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in head[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return int(head[0].split(" ")[1]), headers


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = b""
    while size := int((await reader.readuntil(b"\r\n")).strip(), 16):
        body += await reader.readexactly(size)
        await reader.readexactly(2)
    await reader.readuntil(b"\r\n")
    return body
