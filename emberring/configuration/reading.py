"""Parses the operator's JSON strictly, builds typed values from it, and compresses documents for storage."""

from __future__ import annotations

import json
import math
import zlib
from collections.abc import Mapping
from typing import Any, NoReturn

import attrs
import orjson

from emberring.configuration.model import ClientLimits, Configuration, Route, RouteType, Service, Share
from emberring.errors import CorruptRecordError, InvalidConfigurationError

COMPRESSION_LEVEL = 1


class DuplicateKeyError(ValueError):
    """An object has a duplicate key."""


def _reject_duplicate_keys(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    found = dict(pairs)
    if len(found) != len(pairs):
        seen: set[str] = set()
        for key, _ in pairs:
            if key in seen:
                raise DuplicateKeyError(f"the key {key!r} stands twice in one object")
            seen.add(key)
    return found


def _reject_constant(name: str) -> NoReturn:
    raise ValueError(f"{name} is no JSON value")


def _parse_finite_float(text: str) -> float:
    value = float(text)
    if math.isinf(value):
        raise ValueError(f"{text} is too large a number")
    return value


@attrs.frozen
class ParsedDocument:
    """A parsed object, and its canonical JSON, which does not depend on the formatting of the source."""

    value: dict[str, Any]
    canonical: bytes


def parse_object_strictly(body: bytes) -> dict[str, Any]:
    """Parse a JSON object; raises `InvalidConfigurationError` as `parse_strictly` does."""
    return parse_strictly(body).value


def parse_strictly(body: bytes) -> ParsedDocument:
    """Parse a JSON object, and compute its canonical JSON.

    Raises `InvalidConfigurationError` if the text is truncated, has duplicate keys in an object, or is no JSON object.
    """
    try:
        value = json.loads(
            body.decode("utf-8"),
            object_pairs_hook=_reject_duplicate_keys,
            parse_constant=_reject_constant,
            parse_float=_parse_finite_float,
        )
        canonical = _canonical(value)
    except (ValueError, RecursionError) as error:
        raise InvalidConfigurationError((f"not readable as JSON: {error}",)) from error
    if not isinstance(value, dict):
        raise InvalidConfigurationError(("not a JSON object",))
    return ParsedDocument(value, canonical)


def _canonical(value: object) -> bytes:
    try:
        return orjson.dumps(value, option=orjson.OPT_SORT_KEYS)
    except orjson.JSONEncodeError:
        # Integers over 64 bits, deep nesting, or a lone surrogate; the latter fails here as well.
        return json.dumps(value, sort_keys=True, separators=(",", ":"), ensure_ascii=False).encode("utf-8")


def build_configuration(document: Mapping[str, Any]) -> Configuration:
    """Build the typed form of a valid document; an invalid one may raise `KeyError`, `TypeError` or `ValueError`."""
    return Configuration(
        version=int(document["Version"]),
        routes=tuple(_route(item) for item in document.get("Routes") or ()),
        services=tuple(_service(item) for item in document.get("Services") or ()),
        limits=_limits(document.get("Limits") or {}),
    )


def _route(item: Mapping[str, Any]) -> Route:
    split = tuple(Share(part["Service"], part.get("Weight") or 0) for part in item.get("TrafficSplit") or ())
    if not split and item.get("Service"):
        split = (Share(item["Service"], 1),)
    return Route(
        name=item["Name"],
        host=item["Host"],
        path_prefix=item["PathPrefix"],
        type=RouteType(item["Type"]),
        timeout_ms=item["TimeoutMs"],
        split=split,
        target_latency_ms=item.get("TargetLatencyMs") or 1000.0,
        priority=int(item.get("Priority") or 0),
        max_attempts=max(1, int(item.get("MaxAttempts") or 1)),
        sticky=bool(item.get("Sticky")),
        resumable=bool(item.get("Resumable")),
        gap_target_ms=item.get("gap_aim_ms") or 0.0,
        completion_target_ms=item.get("CompletionTargetMs") or 0.0,
        retention_s=item.get("RetentionS") or 0.0,
        max_queued_tokens=int(item.get("MaxQueuedTokens") or 0),
    )


def _service(item: Mapping[str, Any]) -> Service:
    runtime = item.get("Runtime") or {}
    return Service(
        name=item["Name"],
        health_path=item.get("HealthPath") or "",
        max_connections=int(item.get("MaxConnections") or 0),
        capacity=int(runtime.get("Capacity") or item.get("Capacity") or 0),
        kv_cache_tokens=int(runtime.get("KvCacheTokens") or 0),
        stride=int(runtime.get("stride") or 1),
    )


def _limits(item: Mapping[str, Any]) -> ClientLimits:
    default = ClientLimits()
    return ClientLimits(
        max_header_bytes=int(item.get("MaxHeaderBytes") or default.max_header_bytes),
        max_body_bytes=int(item.get("MaxBodyBytes") or default.max_body_bytes),
        header_timeout_ms=item.get("HeaderTimeoutMs") or default.header_timeout_ms,
        idle_timeout_ms=item.get("IdleTimeoutMs") or default.idle_timeout_ms,
    )


def pack(document: bytes) -> bytes:
    """Compress a document, for storage and for messages between nodes."""
    return zlib.compress(document, COMPRESSION_LEVEL)


def unpack(packed: bytes) -> bytes:
    """Decompress a document."""
    return zlib.decompress(packed)


def unpack_configuration(packed: bytes) -> Configuration:
    """Build the typed configuration from a compressed document that was validated before."""
    return build_configuration(parse_validated(unpack(packed)))


def parse_validated(document: bytes) -> dict[str, Any]:
    """Parse a document that was parsed strictly before; raises `CorruptRecordError` if it is no JSON object."""
    try:
        value = orjson.loads(document)
    except orjson.JSONDecodeError:
        value = json.loads(document)  # integers over 64 bits
    if not isinstance(value, dict):
        raise CorruptRecordError("the stored configuration is no JSON object")
    return value
