"""Parsers of settings and load reports, shared by the simulator adapter and the node."""

from __future__ import annotations

import re
from typing import Any

from loadbalancer.interface import Effect, Scope, ServiceClass, Settings, Tenant

Row = dict[str, Any]

EFFECTS = {"free": Effect.SAFE, "guarded": Effect.KEYED, "single_shot": Effect.UNSAFE}
REPORT_FIELDS = {
    "concurrent": "inflight",
    "depth": "queue",
    "load_share": "util",
    "mean_ms": "latency_ms",
    "tps": "qps",
    "err_ps": "eps",
}
REPORTED_NUMBER = re.compile(r"[0-9]{1,6}(\.[0-9]{1,9})?")


def parse_settings(config: Row) -> Settings:
    """Parse the settings of a node from a configuration row; unknown keys are ignored."""
    bounds: Row = config.get("bounds") or {}
    rules: Row = config.get("invariants") or {}
    prices: Row = config.get("prices") or {}
    feedback: Row = config.get("feedback") or {}
    if not config.get("categories"):
        raise ValueError("categories: none, where at least one class is needed")
    values: Row = {
        "zone": config.get("locality"),
        "tier": config.get("tier"),
        "siblings": config.get("siblings"),
        "ask_discovery": config.get("registryMode") == "ask",
        "worth_by_work": config.get("valueBy") == "work",
        "over_share_worth": config.get("overShareWorth"),
        "report_fields": tuple(REPORT_FIELDS.get(name, name) for name in feedback.get("fields") or ()),
        "may_cancel": bounds.get("cancel"),
        "retry_after": bounds.get("retryAfter"),
        "max_retry_after_ms": bounds.get("maxRetryAfterMs"),
        "max_attempts": bounds.get("maxAttempts"),
        "cross_zone_price": prices.get("crossZone"),
        "cold_from": rules.get("coldFrom"),
        "cold_ms": rules.get("coldMs"),
        "overload_factor": rules.get("overloadFactor"),
    }
    return Settings(
        classes=tuple(_service_class(row) for row in config.get("categories") or ()),
        tenants=tuple(
            Tenant(row["name"], row["quotaPerS"])
            for row in config.get("accounts") or ()
            if row.get("quotaPerS") is not None
        ),
        **{key: value for key, value in values.items() if value is not None},
    )


def _service_class(row: Row) -> ServiceClass:
    for key in ("name", "aimMs", "giveUpMs"):
        if row.get(key) is None:
            raise ValueError(f"categories.{key}: missing")
        if key != "name" and not (isinstance(row[key], int | float) and row[key] > 0):
            raise ValueError(f"categories.{key}: {row[key]!r} is not a number above 0")
    effect = row.get("effect")
    if effect not in EFFECTS:
        raise ValueError(f"categories.effect: {effect!r} is not one of {', '.join(EFFECTS)}")
    return ServiceClass(
        name=row["name"],
        aim_ms=row["aimMs"],
        give_up_ms=row["giveUpMs"],
        worth=row.get("credit", 1.0),
        late_worth=row.get("lateWorth") or 0.0,
        effect=EFFECTS[effect],
        scope=Scope(row.get("keyScope") or "all"),
        memory_ms=row.get("memorySpanMs") or 0.0,
        stream=bool(row.get("stream")),
    )


def parse_load_report(text: str, fields: tuple[str, ...]) -> dict[str, float] | None:
    """Parse a load report in text form, `TEXT name=value, name=value`, and return the configured fields.

    A report with any malformed or out-of-range number is ignored as a whole.
    """
    form, _, pairs = text.partition(" ")
    report: dict[str, float] = {}
    for pair in pairs.split(","):
        name, _, number = pair.strip().partition("=")
        # float() accepts signs, words and underscores, and a huge queue length would exclude the server.
        if form != "TEXT" or not REPORTED_NUMBER.fullmatch(number):
            return None
        name = REPORT_FIELDS.get(name, name)
        if name in fields:
            report[name] = float(number)
    return report or None
