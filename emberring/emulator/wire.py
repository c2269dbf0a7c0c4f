"""The requests of an emulated model server with their parsed headers, and the encoding of its responses."""

from __future__ import annotations

from collections.abc import Mapping
from http import HTTPStatus

import attrs

from emberring.emulator.kv_cache import PromptPart

LAST_CHUNK = b"0\r\n\r\n"
CORRUPT_RESPONSE = b"\x00\x01 these bytes are no answer\r\n\r\n"


@attrs.frozen
class ServerRequest:
    """A complete request; the header names are in lower case."""

    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes

    @property
    def id(self) -> str:
        """The request id that the caller sent, or an empty string."""
        return self.headers.get("request-id", "")

    @property
    def parts(self) -> tuple[PromptPart, ...]:
        """The parts of the prompt. Raises ValueError if the header is invalid."""
        text = self.headers.get("prefix-hash", "")
        pairs = [item.split(":") for item in text.split(",") if item]
        return tuple(PromptPart(name.strip(), int(tokens)) for name, tokens in pairs)

    @property
    def output_tokens(self) -> int:
        """The maximum number of tokens to generate. Raises ValueError if the header is invalid."""
        _, _, output = self.headers.get("token-count", "0,1").partition(",")
        return max(1, int(output))

    @property
    def resume_after(self) -> int | None:
        """The id of the last event that the caller has received. Raises ValueError if the header is not a number."""
        text = self.headers.get("last-event-id")
        return None if text is None else int(text)

    @property
    def deadline_s(self) -> float | None:
        """The time until the caller's deadline in seconds; None without a deadline."""
        text = self.headers.get("deadline-ms")
        return None if text is None else float(text) / 1000


def response_head(status: int, headers: Mapping[str, str]) -> bytes:
    """Encode the status line and the headers."""
    lines = [f"HTTP/1.1 {status} {HTTPStatus(status).phrase}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def complete_response(status: int, headers: Mapping[str, str], body: bytes = b"") -> bytes:
    """Encode a response with a Content-Length header."""
    return response_head(status, {**headers, "Content-Length": str(len(body))}) + body


def chunk(data: bytes) -> bytes:
    """Encode one chunk of a chunked body."""
    return b"%x\r\n%s\r\n" % (len(data), data)
