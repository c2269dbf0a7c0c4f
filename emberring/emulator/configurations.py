"""Configurations for trials: one service, two streaming routes (one of them resumable) and a batch route."""

from __future__ import annotations

from typing import Any

import attrs

HOST = "desk.example"
SERVICE = "ledger-llm"
EXPLAIN_PREFIX = "/explain/"  # streams that are executed at most once
REVIEW_PREFIX = "/review/"  # streams that may be resumed
JOB_PREFIX = "/lots-in/"
ADDED_PREFIX = "/added/"  # for the route that a later configuration version adds


@attrs.frozen
class TrialLimits:
    """Limits and targets of a trial's routes and model servers."""

    capacity: int = 16
    kv_tokens: int = 120_000
    stride: int = 8
    max_connections: int = 200
    timeout_ms: int = 5000
    max_queued_tokens: int = 400_000
    completion_target_ms: int = 10_000
    retention_s: int = 60


def _route(name: str, prefix: str, kind: str, limits: TrialLimits, **extra: object) -> dict[str, Any]:
    common: dict[str, Any] = {"Name": name, "Host": HOST, "PathPrefix": prefix, "Type": kind}
    common["Service"] = SERVICE
    common |= {"TimeoutMs": limits.timeout_ms, "Priority": 0, "Sticky": True}
    return common | extra


def trial_configuration(version: int = 1, limits: TrialLimits | None = None) -> dict[str, Any]:
    """Build a complete configuration as the operator sends it."""
    limits = limits or TrialLimits()
    stream = {"TargetLatencyMs": 300, "gap_aim_ms": 250}
    batch = {
        "TargetLatencyMs": 400,
        "Priority": 1,
        "CompletionTargetMs": limits.completion_target_ms,
        "RetentionS": limits.retention_s,
        "MaxQueuedTokens": limits.max_queued_tokens,
    }
    routes = [
        _route("explain", EXPLAIN_PREFIX, "streaming", limits, MaxAttempts=2, Resumable=False, **stream),
        _route("review", REVIEW_PREFIX, "streaming", limits, MaxAttempts=3, Resumable=True, **stream),
        _route("lots", JOB_PREFIX, "batch", limits, MaxAttempts=3, **batch),
    ]
    runtime = {"Capacity": limits.capacity, "KvCacheTokens": limits.kv_tokens, "stride": limits.stride}
    service = {
        "Name": SERVICE,
        "HealthPath": "/healthz",
        "MaxConnections": limits.max_connections,
        "Protocol": "h1",
        "Tls": False,
        "Runtime": {**runtime, "Models": [{"Name": "m"}]},
    }
    connection_limits = {
        "MaxHeaderBytes": 16384,
        "MaxBodyBytes": 4194304,
        "HeaderTimeoutMs": 3000,
        "IdleTimeoutMs": 15000,
    }
    return {"Version": version, "Routes": routes, "Services": [service], "Limits": connection_limits}


def added_route(version: int, limits: TrialLimits | None = None) -> dict[str, Any]:
    """Build a patch that adds one streaming route."""
    route = _route(
        f"added-{version}",
        ADDED_PREFIX,
        "streaming",
        limits or TrialLimits(),
        MaxAttempts=2,
        TargetLatencyMs=300,
        gap_aim_ms=250,
        Resumable=False,
    )
    return {"Version": version, "Upsert": {"Routes": [route]}}
