"""An operator's change, and whether a state takes it. Pure functions: the same order at any node, any number of
times, has the same fate."""

from __future__ import annotations

import hashlib
import json
from enum import Enum
from typing import Any

import attrs

from emberring.configuration.checks import is_whole, mistakes_in
from emberring.configuration.patch import patched
from emberring.configuration.reading import read
from emberring.configuration.state import DIGEST_BYTES, ControlState
from emberring.errors import (
    BadRequestError,
    EmberringError,
    InvalidConfigurationError,
    VersionConflictError,
)


class ChangeRequestKind(Enum):
    """A whole configuration, or named items of it."""

    WHOLE = "PUT"
    PATCH = "PATCH"


@attrs.frozen
class ChangeRequest:
    """A change that could be read. `base` is the version it builds on; `digest` is the same for the same change
    in another spelling, and differs for another base."""

    kind: ChangeRequestKind
    base: int
    version: int
    digest: bytes
    body: bytes
    change: dict[str, Any] = attrs.field(eq=False, repr=False)


@attrs.frozen
class Taken:
    """The state after the order; the state itself where the order had been taken before."""

    state: ControlState
    again: bool


@attrs.frozen
class Refused:
    """The order can't be taken on this state."""

    error: EmberringError


def read_change_request(kind: ChangeRequestKind, if_match: str | None, body: bytes) -> ChangeRequest:
    """The order in a call; `BadRequestError` or `InvalidConfigurationError` where no state could take it."""
    base = _base(if_match)
    reading = read(body)
    change = reading.value
    if not is_whole(change.get("Version")):
        raise InvalidConfigurationError(("Version is not a whole number",))
    if kind is ChangeRequestKind.WHOLE:
        mistakes = mistakes_in(change)
        if mistakes:
            raise InvalidConfigurationError(mistakes)
    return ChangeRequest(kind, base, change["Version"], _digest(kind, base, reading.canonical), body, change)


def _base(if_match: str | None) -> int:
    text = (if_match or "").strip().strip('"')
    if not (text.isascii() and text.isdigit()) or len(text) > 18:
        raise BadRequestError("If-Match does not hold a version")
    return int(text)


def _digest(kind: ChangeRequestKind, base: int, canonical: bytes) -> bytes:
    head = f"{kind.value} {base}\n".encode()
    return hashlib.blake2b(head + canonical, digest_size=DIGEST_BYTES).digest()


def judge(state: ControlState, order: ChangeRequest) -> Taken | Refused:
    """What becomes of this order on this state."""
    if order.digest in state.taken:
        return Taken(state, again=True)
    if order.base != state.version:
        return Refused(VersionConflictError(f"version {state.version} is current"))
    if order.version <= state.version:
        detail = f"Version {order.version} is not above {state.version}"
        return Refused(InvalidConfigurationError((detail,)))
    if order.kind is ChangeRequestKind.WHOLE:
        return Taken(state.with_configuration(order.version, order.body, order.digest), again=False)
    return _judge_patch(state, order)


def _judge_patch(state: ControlState, order: ChangeRequest) -> Taken | Refused:
    try:
        document = patched(state.read_document(), order.change)
    except InvalidConfigurationError as error:
        return Refused(error)
    mistakes = mistakes_in(document)
    if mistakes:
        return Refused(InvalidConfigurationError(mistakes))
    body = json.dumps(document, separators=(",", ":"), ensure_ascii=False).encode()
    return Taken(state.with_configuration(order.version, body, order.digest), again=False)
