"""Compares the configurations of several sidecars and classifies each difference.

A difference is intended (`meant`) where each sidecar may have its own value, and drift where the sidecars of a pool
have to share one. Some drift endangers one of the four rules of the load balancer.
"""

from __future__ import annotations

import re
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any


class Rule(Enum):
    """The four rules of the load balancer, with their names in the output.

    COLD: no newly started server gets more load than it can serve yet.
    """

    LOST = "no request lost"
    TWICE = "no effect twice"
    DRAINS = "drains kept"
    COLD = "no cold server pushed over"


@dataclass(slots=True, frozen=True)
class Setting:
    """A group of settings, and what a difference in them means."""

    pattern: re.Pattern[str]  # matches whole paths as `flatten` returns them
    shared: bool  # whether all sidecars of a pool must have the same value; if so, a difference is drift
    rule: Rule | None = None  # the rule that drift endangers
    why: str = ""  # the consequence of drift, shown to operators


def _make_setting(pattern: str, shared: bool, rule: Rule | None = None, why: str = "") -> Setting:
    return Setting(re.compile(pattern), shared, rule, why)


# The first matching pattern applies. A test checks that each setting of the models matches a pattern.
SETTINGS = (
    _make_setting(r"kind|version", False),
    _make_setting(r"name|zone|serves", False),
    _make_setting(r"listeners\[.*|admin\..*", False),
    _make_setting(r"limits\..*", False),
    _make_setting(r"catalogue", True, None, "they were derived from different catalogues"),
    _make_setting(r"rules\.told_within_ms", True, Rule.DRAINS, "one learns of a drain later than the other"),
    _make_setting(
        r"rules\.(cold_from|cold_ms|overload_factor)",
        True,
        Rule.COLD,
        "together they send a cold server more than it can serve",
    ),
    _make_setting(r"rules\..*", True, None, "one retries, waits or prices otherwise than the other"),
    _make_setting(r"budget\..*", True, None, "one amplifies the load on a failing pool more than the other"),
    _make_setting(r"tenants\[.*", True, None, "a tenant's quota is more at one than at the other"),
    _make_setting(
        r"pools\[[^]]*\]\.list\..*", True, Rule.DRAINS, "they don't hear of the same boxes and drains"
    ),
    _make_setting(r"pools\[[^]]*\]\.siblings", True, Rule.COLD, "they assume different shares of the pool"),
    _make_setting(r"pools\[.*", True, None, "they treat the pool's boxes differently"),
    _make_setting(
        r"classes\[[^]]*\]\.(effect|pool|key_scope|key_header|key_field|memory_ms)",
        True,
        Rule.TWICE,
        "what one never repeats may run twice through the other",
    ),
    _make_setting(
        r"classes\[[^]]*\]\.give_up_ms", True, Rule.LOST, "one answers after callers have given up"
    ),
    # An application may set a stricter value for these.
    _make_setting(r"classes\[[^]]*\]\.(worth|attempts|hedge)", False),
    _make_setting(r"classes\[.*", True, None, "they aim at different times"),
    _make_setting(r"routes\[[^]]*\]\.class", True, Rule.TWICE, "one path maps to two classes"),
    _make_setting(r"routes\[.*", False),
)


def setting_of(path: str) -> Setting:
    """The setting that a path belongs to; an unknown path counts as shared, because a difference there may matter."""
    for item in SETTINGS:
        if item.pattern.fullmatch(path):
            return item
    return Setting(re.compile(re.escape(path)), True, None, "the setting is unknown to this program")


@dataclass(slots=True, frozen=True)
class Difference:
    path: str
    values: tuple[Any, ...]  # one for each configuration; None where the path is absent
    drift: bool  # False: the difference is intended
    rule: Rule | None
    why: str

    def row(self, names: list[str]) -> dict[str, Any]:
        return {
            "path": self.path,
            "values": dict(zip(names, self.values, strict=True)),
            "verdict": "drift" if self.drift else "meant",
            "endangers": self.rule.value if self.rule and self.drift else None,
            "why": self.why if self.drift else None,
        }


def flatten(data: Mapping[str, Any]) -> dict[str, Any]:
    """The leaf values by path. Elements of a list are identified by their names, not by their indexes."""
    return dict(_flatten(data, ""))


def _flatten(value: Any, path: str) -> Iterator[tuple[str, Any]]:
    if isinstance(value, Mapping):
        for key, item in value.items():
            yield from _flatten(item, f"{path}.{key}" if path else key)
    elif isinstance(value, list) and value and isinstance(value[0], Mapping):
        for item in value:
            yield from _flatten(item, f"{path}[{_element_label(path, item)}]")
    else:
        yield path, value


def _element_label(path: str, item: Mapping[str, Any]) -> str:
    """The text that identifies a list element: its id or name; for a route, what it matches."""
    if path == "routes" and "call" in item:
        text = f"call {item['call']}"
    elif path == "routes":
        headers = "".join(f" {row['name']}:{row.get('value', '*')}" for row in item.get("headers") or ())
        text = f"{'|'.join(sorted(item.get('methods') or ['*']))} {item['path']}{headers}"
    else:
        text = str(item.get("id") or item.get("name"))
    return text.replace("[", "(").replace("]", ")")


def _element_of(path: str) -> str:
    """The pool, class or route that a path belongs to, such as `classes[x]`; empty for any other path."""
    match = re.match(r"(pools|classes|routes)\[[^]]*\]", path)
    return match[0] if match else ""


def compare(configurations: list[Mapping[str, Any]]) -> list[Difference]:
    """All differences between configurations (as plain data), sorted by path."""
    flattened = [flatten(item) for item in configurations]
    elements_present = [{_element_of(path) for path in row} for row in flattened]
    differences = []
    for path in sorted({path for row in flattened for path in row}):
        # Only configurations that contain the path's pool, class or route are compared. Its absence from the others is
        # intended: their applications do not call it.
        containing = [
            index
            for index in range(len(flattened))
            if not _element_of(path) or _element_of(path) in elements_present[index]
        ]
        values = [flattened[index].get(path) for index in containing]
        intended = len(containing) < len(flattened) and all(value == values[0] for value in values)
        if not intended and all(value == values[0] for value in values):
            continue
        setting = setting_of(path)
        drift = setting.shared and not intended
        all_values = tuple(row.get(path) for row in flattened)
        differences.append(Difference(path, all_values, drift, setting.rule, setting.why))
    return differences
