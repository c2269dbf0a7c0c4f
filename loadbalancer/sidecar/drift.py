"""Which differences between configurations are meant, which are drift, and which of these endangers a rule."""

from __future__ import annotations

import re
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any


class Rule(Enum):
    """The four rules, as they are told to people."""

    LOST = "no request lost"
    TWICE = "no effect twice"
    DRAINS = "drains kept"
    COLD = "no cold server pushed over"


@dataclass(slots=True, frozen=True)
class Setting:
    """A kind of setting: whether sidecars of one pool have to share it, and what breaks if they don't."""

    pattern: re.Pattern[str]
    shared: bool
    rule: Rule | None = None
    why: str = ""


def _setting(pattern: str, shared: bool, rule: Rule | None = None, why: str = "") -> Setting:
    return Setting(re.compile(pattern), shared, rule, why)


# The first pattern that matches a path decides. Each setting of the models is matched by one; a test holds that.
SETTINGS = (
    _setting(r"kind|version", False),
    _setting(r"name|zone|serves", False),
    _setting(r"listeners\[.*|admin\..*", False),
    _setting(r"limits\..*", False),
    _setting(r"catalogue", True, None, "they were written from different catalogues"),
    _setting(r"rules\.told_within_ms", True, Rule.DRAINS, "one hears of a drain later than the other"),
    _setting(
        r"rules\.(cold_from|cold_ms|overload_factor)",
        True,
        Rule.COLD,
        "their shares of a cold box's work don't add up",
    ),
    _setting(r"rules\..*", True, None, "one retries, waits or prices otherwise than the other"),
    _setting(r"budget\..*", True, None, "one multiplies a sick pool more than the other"),
    _setting(r"tenants\[.*", True, None, "a tenant's quota is more at one than at the other"),
    _setting(r"pools\[[^]]*\]\.list\..*", True, Rule.DRAINS, "they don't hear of the same boxes and drains"),
    _setting(
        r"pools\[[^]]*\]\.siblings", True, Rule.COLD, "each takes another share of the pool for its own"
    ),
    _setting(r"pools\[.*", True, None, "they treat the pool's boxes differently"),
    _setting(
        r"classes\[[^]]*\]\.(effect|pool|key_scope|key_header|key_field|memory_ms)",
        True,
        Rule.TWICE,
        "what one never repeats may run twice through the other",
    ),
    _setting(r"classes\[[^]]*\]\.give_up_ms", True, Rule.LOST, "one answers after callers have gone"),
    _setting(r"classes\[[^]]*\]\.(worth|attempts|hedge)", False),  # an application may ask for less
    _setting(r"classes\[.*", True, None, "they aim at different times"),
    _setting(r"routes\[[^]]*\]\.class", True, Rule.TWICE, "one path is two classes"),
    _setting(r"routes\[.*", False),
)


def setting_of(path: str) -> Setting:
    """How a path is to be taken; one that nothing matches is shared, as what is not known may matter."""
    for item in SETTINGS:
        if item.pattern.fullmatch(path):
            return item
    return Setting(re.compile(re.escape(path)), True, None, "not known to this program")


@dataclass(slots=True, frozen=True)
class Difference:
    path: str
    values: tuple[Any, ...]  # one for each configuration; None where it has none
    drift: bool
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


def flat(data: Mapping[str, Any]) -> dict[str, Any]:
    """Values by path, elements of lists by what names them."""
    return dict(_flat(data, ""))


def _flat(value: Any, path: str) -> Iterator[tuple[str, Any]]:
    if isinstance(value, Mapping):
        for key, item in value.items():
            yield from _flat(item, f"{path}.{key}" if path else key)
    elif isinstance(value, list) and value and isinstance(value[0], Mapping):
        for item in value:
            yield from _flat(item, f"{path}[{_label(path, item)}]")
    else:
        yield path, value


def _label(path: str, item: Mapping[str, Any]) -> str:
    if path == "routes" and "call" in item:
        text = f"call {item['call']}"
    elif path == "routes":
        headers = "".join(f" {row['name']}:{row.get('value', '*')}" for row in item.get("headers") or ())
        text = f"{'|'.join(sorted(item.get('methods') or ['*']))} {item['path']}{headers}"
    else:
        text = str(item.get("id") or item.get("name"))
    return text.replace("[", "(").replace("]", ")")


def _whole(path: str) -> str:
    """The element of a list that a path lies in: `classes[x]`; empty for what lies in none."""
    found = re.match(r"(pools|classes|routes)\[[^]]*\]", path)
    return found[0] if found else ""


def compare(configurations: list[Mapping[str, Any]]) -> list[Difference]:
    """All differences, by path, among plain configurations."""
    rows = [flat(item) for item in configurations]
    there = [{_whole(path) for path in row} for row in rows]
    differences = []
    for path in sorted({path for row in rows for path in row}):
        # A class, pool or route that one does not use at all is no drift: its application does not call it.
        have = [at for at in range(len(rows)) if not _whole(path) or _whole(path) in there[at]]
        values = [rows[at].get(path) for at in have]
        meant = len(have) < len(rows) and all(value == values[0] for value in values)
        if not meant and all(value == values[0] for value in values):
            continue
        setting = setting_of(path)
        drift = setting.shared and not meant
        every = tuple(row.get(path) for row in rows)
        differences.append(Difference(path, every, drift, setting.rule, setting.why))
    return differences
