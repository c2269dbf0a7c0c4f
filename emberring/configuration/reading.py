"""From the operator's JSON to typed values: strict reading, building, and the packed form between nodes."""

from __future__ import annotations

import json
import math
import zlib
from collections.abc import Mapping
from typing import Any

import attrs
import orjson

from emberring.configuration.model import ClientLimits, Configuration, Route, RouteType, Service, Share
from emberring.errors import InvalidConfigurationError

PACK_LEVEL = 1


class DuplicateKeyError(ValueError):
    """A key stands twice in one object."""


def _unique(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    found = dict(pairs)
    if len(found) != len(pairs):
        seen: set[str] = set()
        for key, _ in pairs:
            if key in seen:
                raise DuplicateKeyError(f"the key {key!r} stands twice in one object")
            seen.add(key)
    return found


def _no_constant(name: str) -> Any:
    raise ValueError(f"{name} is no JSON value")


def _finite(text: str) -> float:
    value = float(text)
    if math.isinf(value):
        raise ValueError(f"{text} is too large a number")
    return value


@attrs.frozen
class JobQueries:
    """An object that was read, and the one spelling that all its spellings share."""

    value: dict[str, Any]
    canonical: bytes


def read_strictly(body: bytes) -> dict[str, Any]:
    """The object in this text; `InvalidConfigurationError` as of `read`."""
    return read(body).value


def read(body: bytes) -> JobQueries:
    """The object in this text, with its canonical spelling; `InvalidConfigurationError` where it is cut short, has
    a key twice in one object, or is no JSON object at all."""
    try:
        value = json.loads(
            body.decode("utf-8"), object_pairs_hook=_unique, parse_constant=_no_constant, parse_float=_finite
        )
        canonical = _canonical(value)
    except (ValueError, RecursionError) as error:
        raise InvalidConfigurationError((f"not readable as JSON: {error}",)) from error
    if not isinstance(value, dict):
        raise InvalidConfigurationError(("not a JSON object",))
    return JobQueries(value, canonical)


def _canonical(value: Any) -> bytes:
    try:
        return orjson.dumps(value, option=orjson.OPT_SORT_KEYS)
    except (
        orjson.JSONEncodeError
    ):  # numbers of over 64 bits, deep nesting, or half a character, which fails again
        return json.dumps(value, sort_keys=True, separators=(",", ":"), ensure_ascii=False).encode("utf-8")


def build(document: Mapping[str, Any]) -> Configuration:
    """The typed form of a checked document."""
    return Configuration(
        version=int(document["Version"]),
        routes=tuple(_route(item) for item in document.get("Routes") or ()),
        services=tuple(_service(item) for item in document.get("Services") or ()),
        limits=_limits(document.get("Limits") or {}),
    )


def _route(item: Mapping[str, Any]) -> Route:
    split = tuple(Share(part["Service"], part["Weight"]) for part in item.get("TrafficSplit") or ())
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
        gap_aim_ms=item.get("gap_aim_ms") or 0.0,
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
    """The compressed form in which a document travels between nodes."""
    return zlib.compress(document, PACK_LEVEL)


def unpack(packed: bytes) -> bytes:
    """The document in its packed form."""
    return zlib.decompress(packed)


def unpack_configuration(packed: bytes) -> Configuration:
    """The typed configuration in the packed form of a document that was checked before it was taken."""
    return build(read_checked(unpack(packed)))


def read_checked(document: bytes) -> dict[str, Any]:
    """The object in a document that was read strictly before."""
    try:
        value = orjson.loads(document)
    except orjson.JSONDecodeError:
        value = json.loads(document)  # numbers of over 64 bits
    assert isinstance(value, dict)
    return value
