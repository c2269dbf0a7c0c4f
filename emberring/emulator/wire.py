"""Requests as an emulated model server parses them, and the bytes of its responses."""

from __future__ import annotations

from collections.abc import Mapping
from http import HTTPStatus

import attrs

from emberring.emulator.kv_cache import PromptPart

LAST_CHUNK = b"0\r\n\r\n"
CORRUPT_RESPONSE = b"\x00\x01 these bytes are no answer\r\n\r\n"


@attrs.frozen
class ServerRequest:
    """A complete request; names of headers are in lower case."""

    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes

    @property
    def id(self) -> str:
        """The caller's id of it, or an empty text."""
        return self.headers.get("request-id", "")

    @property
    def parts(self) -> tuple[PromptPart, ...]:
        """The parts of the prompt; ValueError where the header cannot be read."""
        text = self.headers.get("prefix-hash", "")
        pairs = [item.split(":") for item in text.split(",") if item]
        return tuple(PromptPart(name.strip(), int(tokens)) for name, tokens in pairs)

    @property
    def output_tokens(self) -> int:
        """The most tokens to make; ValueError where the header cannot be read."""
        _, _, output = self.headers.get("token-count", "0,1").partition(",")
        return max(1, int(output))

    @property
    def resume_after(self) -> int | None:
        """The id of the last event that the caller has; ValueError where it is no number."""
        text = self.headers.get("last-event-id")
        return None if text is None else int(text)

    @property
    def deadline_s(self) -> float | None:
        """How long the caller waits, in seconds from now; None without a limit."""
        text = self.headers.get("deadline-ms")
        return None if text is None else float(text) / 1000


def head(status: int, headers: Mapping[str, str]) -> bytes:
    """The status line and the headers."""
    lines = [f"HTTP/1.1 {status} {HTTPStatus(status).phrase}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def complete_response(status: int, headers: Mapping[str, str], body: bytes = b"") -> bytes:
    """A response with a Content-Length."""
    return head(status, {**headers, "Content-Length": str(len(body))}) + body


def chunk(data: bytes) -> bytes:
    """One chunk of a chunked body."""
    return b"%x\r\n%s\r\n" % (len(data), data)
