"""Encodes and decodes simulated messages with the real codec."""

from __future__ import annotations

from typing import TypeVar

from emberring.transport.messages import Envelope, decode, encode

Body = TypeVar("Body")


def over_wire(body: Body) -> Body:
    """Return a message as its receiver sees it: encoded to a line and decoded again."""
    received = decode(encode(Envelope(1, body)).rstrip(b"\n")).body
    if not isinstance(received, type(body)):
        raise TypeError(f"{type(body).__name__} arrived as {type(received).__name__}")
    return received
