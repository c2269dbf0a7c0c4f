"""Parses an operator's change, and decides whether a state accepts it.

The functions are pure and idempotent: a change has the same result on every node and when it is repeated.
"""

from __future__ import annotations

import hashlib
import json
from enum import Enum
from typing import Any

import attrs

from emberring.configuration.checks import find_configuration_errors, is_integer
from emberring.configuration.patch import apply_patch
from emberring.configuration.reading import parse_strictly
from emberring.configuration.state import DIGEST_BYTES, ControlState
from emberring.errors import (
    BadRequestError,
    EmberringError,
    InvalidConfigurationError,
    VersionConflictError,
)

MAX_VERSION_DIGITS = 18  # of the base version in If-Match


class ChangeRequestKind(Enum):
    """Whether a change replaces the complete configuration or only named items; the value is the HTTP method."""

    REPLACE = "PUT"
    PATCH = "PATCH"


@attrs.frozen
class ChangeRequest:
    """A parsed change.

    `base_version` is the version that it applies to, and `version` the one that it makes current. `digest` identifies
    the change: it does not depend on the formatting of the JSON, but on the base version. `body` is the JSON as
    received, and `document` the parsed object.
    """

    kind: ChangeRequestKind
    base_version: int
    version: int
    digest: bytes
    body: bytes
    document: dict[str, Any] = attrs.field(eq=False, repr=False)


@attrs.frozen
class Accepted:
    """The state after the change. `is_repeat`: the change was accepted before, and the state is unchanged."""

    state: ControlState
    is_repeat: bool


@attrs.frozen
class Rejected:
    """The change does not apply to this state; `error` is the reason."""

    error: EmberringError


def read_change_request(kind: ChangeRequestKind, if_match: str | None, body: bytes) -> ChangeRequest:
    """Parse a change; `if_match` is the value of the header with the base version.

    Raises `BadRequestError` or `InvalidConfigurationError` if no state could accept it.
    """
    base_version = _parse_if_match(if_match)
    parsed = parse_strictly(body)
    document = parsed.value
    if not is_integer(document.get("Version")):
        raise InvalidConfigurationError(("Version is not a whole number",))
    if kind is ChangeRequestKind.REPLACE:
        errors = find_configuration_errors(document)
        if errors:
            raise InvalidConfigurationError(errors)
    return ChangeRequest(
        kind, base_version, document["Version"], _digest(kind, base_version, parsed.canonical), body, document
    )


def _parse_if_match(if_match: str | None) -> int:
    text = (if_match or "").strip().strip('"')
    if not (text.isascii() and text.isdigit()) or len(text) > MAX_VERSION_DIGITS:
        raise BadRequestError("If-Match does not hold a version")
    return int(text)


def _digest(kind: ChangeRequestKind, base_version: int, canonical: bytes) -> bytes:
    prefix = f"{kind.value} {base_version}\n".encode()
    return hashlib.blake2b(prefix + canonical, digest_size=DIGEST_BYTES).digest()


def evaluate(state: ControlState, request: ChangeRequest) -> Accepted | Rejected:
    """Decide whether this state accepts this change, and compute the state after it."""
    if request.digest in state.accepted_digests:
        return Accepted(state, is_repeat=True)
    if request.base_version != state.version:
        return Rejected(VersionConflictError(f"version {state.version} is current"))
    if request.version <= state.version:
        detail = f"Version {request.version} is not above {state.version}"
        return Rejected(InvalidConfigurationError((detail,)))
    if request.kind is ChangeRequestKind.REPLACE:
        return Accepted(
            state.with_configuration(request.version, request.body, request.digest), is_repeat=False
        )
    return _evaluate_patch(state, request)


def _evaluate_patch(state: ControlState, request: ChangeRequest) -> Accepted | Rejected:
    try:
        document = apply_patch(state.read_document(), request.document)
    except InvalidConfigurationError as error:
        return Rejected(error)
    errors = find_configuration_errors(document)
    if errors:
        return Rejected(InvalidConfigurationError(errors))
    body = json.dumps(document, separators=(",", ":"), ensure_ascii=False).encode()
    return Accepted(state.with_configuration(request.version, body, request.digest), is_repeat=False)
