"""HTTP/1.1 messages for the stand-ins: reading of heads and bodies, and one call on a fresh connection."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Mapping

HEAD_LIMIT_BYTES = 64 * 1024

Headers = dict[str, str]


class BrokenMessageError(Exception):
    """The peer ended the connection before its message was complete."""


class Message:
    """A request or a response: its first line, its headers with names in lower case, and its body."""

    def __init__(self, first_line: str, headers: Headers, body: bytes) -> None:
        self.first_line = first_line
        self.headers = headers
        self.body = body

    @property
    def status(self) -> int:
        """The status of a response."""
        return int(self.first_line.split(" ", 2)[1])


async def read_head(reader: asyncio.StreamReader) -> tuple[str, Headers]:
    """Return the first line and the headers of the next message."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        raise BrokenMessageError("no complete head") from error
    first_line, *lines = head.rstrip("\r\n").split("\r\n")
    headers: Headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first_line, headers


async def read_chunk(reader: asyncio.StreamReader) -> bytes:
    """Return the next chunk of a chunked body; empty at its end."""
    try:
        size = int((await reader.readline()).split(b";")[0], 16)
        data = await reader.readexactly(size)
        await reader.readexactly(2)
    except (asyncio.IncompleteReadError, ConnectionError, ValueError) as error:
        raise BrokenMessageError("a chunk is incomplete") from error
    return data


async def read_body(reader: asyncio.StreamReader, headers: Headers) -> bytes:
    """Return the complete body that these headers announce."""
    if "chunked" in headers.get("transfer-encoding", "").lower():
        body = b""
        while chunk := await read_chunk(reader):
            body += chunk
        return body
    try:
        return await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        raise BrokenMessageError("the body is incomplete") from error


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Return the next message with its complete body."""
    first_line, headers = await read_head(reader)
    return Message(first_line, headers, await read_body(reader, headers))


def render_request(method: str, path: str, headers: Mapping[str, str], body: bytes) -> bytes:
    """Return the bytes of a request."""
    lines = [f"{method} {path} HTTP/1.1", *(f"{name}: {value}" for name, value in headers.items())]
    if body or method in ("POST", "PUT", "PATCH"):
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def render_response(status: int, headers: Mapping[str, str], body: bytes) -> bytes:
    """Return the bytes of a response with a length."""
    lines = [f"HTTP/1.1 {status} Status", *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def close_writer(writer: asyncio.StreamWriter) -> None:
    """Close a connection, also one that the peer has reset."""
    writer.close()
    with contextlib.suppress(ConnectionError, TimeoutError):
        await asyncio.wait_for(writer.wait_closed(), 1.0)


async def call(address: str, request: bytes, timeout_s: float) -> Message | None:
    """Send a request on a fresh connection; return the complete response, or None after a failure or a silence."""
    host, _, port = address.rpartition(":")
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port), limit=HEAD_LIMIT_BYTES)
            writer.write(request)
            return await read_message(reader)
    except (OSError, TimeoutError, BrokenMessageError):
        return None
    finally:
        if writer is not None:
            await close_writer(writer)
