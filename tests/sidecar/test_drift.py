"""Drift detection: each setting, shared or not, is changed in one of two configurations."""

from __future__ import annotations

import copy
import re
from pathlib import Path
from typing import Any

import pytest
from pydantic import BaseModel

from loadbalancer.cli import main
from loadbalancer.sidecar.drift import SETTINGS, Rule, compare, flatten, setting_of
from loadbalancer.sidecar.load import _model_inside, parse
from loadbalancer.sidecar.models import Configuration, plain

GOOD = Path(__file__).parent / "good"
BASE = plain(parse((GOOD / "configuration.toml").read_text(), "c").model)
POOL, KIND, LISTENER = "pools[ledger-post]", "classes[invoice-record]", "listeners[application]"
ROUTE = "routes[POST /journal/{book}/entries]"

# path, changed value, whether the difference is drift, the rule that it endangers
MATRIX: list[tuple[str, Any, bool, Rule | None]] = [
    ("name", "other", False, None),
    ("zone", "dodoma", False, None),
    ("catalogue", "ledger-2", True, None),
    (f"{LISTENER}.address", "127.0.0.1:9000", False, None),
    (f"{LISTENER}.deadline_header", "X-Deadline", False, None),
    (f"{LISTENER}.tenant", "imports", False, None),
    (f"{LISTENER}.protocol", "thrift", False, None),
    (f"{LISTENER}.tenant_field", "1.2", False, None),
    (f"{LISTENER}.trust", "inside", False, None),
    (f"{LISTENER}.budget_field", 99, False, None),
    ("serves", ["ledger-front"], False, None),
    ("budget.share", 0.5, True, None),
    ("budget.floor_per_s", 0.5, True, None),
    ("budget.window_ms", 500.0, True, None),
    ("budget.backoff_ms", 0.5, True, None),
    ("budget.extra", 5, True, None),
    ("budget.reserve_ms", 0.5, True, None),
    ("budget.learn_patience", False, True, None),
    ("budget.revisits", 5, True, None),
    ("budget.carry", False, True, None),
    ("budget.keep_ms", 0.5, True, None),
    ("budget.keep_bytes", 5, True, None),
    ("admin.address", "127.0.0.1:9001", False, None),
    ("limits.descriptors", 300, False, None),
    ("limits.max_open", 10, False, None),
    ("limits.max_body_bytes", 10, False, None),
    ("limits.request_ms", 10.0, False, None),
    ("limits.caller_idle_ms", 10.0, False, None),
    ("rules.max_attempts", 2, True, None),
    ("rules.may_cancel", False, True, None),
    ("rules.retry_after", False, True, None),
    ("rules.max_retry_after_ms", 1.0, True, None),
    ("rules.told_within_ms", 1.0, True, Rule.DRAINS),
    ("rules.cold_from", 0.5, True, Rule.COLD),
    ("rules.cold_ms", 1.0, True, Rule.COLD),
    ("rules.overload_factor", 9.0, True, Rule.COLD),
    ("rules.cross_zone_price", 1.0, True, None),
    ("rules.over_share_worth", 0.5, True, None),
    ("tenants[hotels].quota_per_s", 1.0, True, None),
    (f"{POOL}.protocol", "other", True, None),
    (f"{POOL}.thrift.form", "compact", True, None),
    (f"{POOL}.thrift.transport", "unframed", True, None),
    (f"{POOL}.thrift.full_types", [9], True, None),
    (f"{POOL}.thrift.port_offset", 9, True, None),
    (f"{POOL}.thrift.budget_field", 9, True, None),
    (f"{POOL}.siblings", 9, True, Rule.COLD),
    (f"{POOL}.start_calls", 9.0, True, None),
    (f"{POOL}.round_trip_ms", 1.0, True, None),
    (f"{POOL}.connect_timeout_ms", 1.0, True, None),
    (f"{POOL}.server_idle_ms", 1.0, True, None),
    (f"{POOL}.report_fields", ["util"], True, None),
    (f"{POOL}.zones", ["arusha"], True, None),
    (f"{POOL}.list.source", "discovery", True, Rule.DRAINS),
    (f"{POOL}.list.address", "127.0.0.1:8501", True, Rule.DRAINS),
    (f"{POOL}.list.mode", "push", True, Rule.DRAINS),
    (f"{POOL}.list.path", "/etc/xds.yaml", True, Rule.DRAINS),
    (f"{POOL}.list.cluster", "ledger", True, Rule.DRAINS),
    (f"{POOL}.list.transport", "rest", True, Rule.DRAINS),
    (f"{POOL}.list.updates", "state", True, Rule.DRAINS),
    (f"{POOL}.list.servers[b2].address", "127.0.0.1:7079", True, Rule.DRAINS),
    (f"{POOL}.list.servers[b2].zone", "arusha", True, Rule.DRAINS),
    (f"{POOL}.list.servers[b2].cell", 7, True, Rule.DRAINS),
    (f"{KIND}.pool", "other", True, Rule.TWICE),
    (f"{KIND}.effect", "safe", True, Rule.TWICE),
    (f"{KIND}.key_header", "X-Key", True, Rule.TWICE),
    (f"{KIND}.key_scope", "cell", True, Rule.TWICE),
    (f"{KIND}.memory_ms", 1.0, True, Rule.TWICE),
    (f"{KIND}.key_field", "1.9", True, Rule.TWICE),
    (f"{KIND}.oneway_ms", 9.0, True, None),
    (f"{KIND}.give_up_ms", 9000.0, True, Rule.LOST),
    (f"{KIND}.aim_ms", 1.0, True, None),
    (f"{KIND}.late_worth", 0.5, True, None),
    (f"{KIND}.worth", 0.5, False, None),
    (f"{KIND}.attempts", 1, False, None),
    (f"{KIND}.hedge", True, False, None),
    (f"{ROUTE}.class", "invoice-record", True, Rule.TWICE),
    (f"{ROUTE}.deadline_ms", 10.0, False, None),
    (f"{ROUTE}.effect", "keyed", False, None),
]
# Keys that identify an element or the type of the file: changing one gives a different element or an invalid file.
IDENTITY = {"kind", "version", "id", "name", "path", "call", "methods", "headers", "value"}


def with_value(path: str, value: Any) -> dict[str, Any]:
    """A copy of the base configuration with another value at a flattened path."""
    data: Any = copy.deepcopy(BASE)
    here, rest = data, path
    while True:
        word, _, after = rest.partition(".") if "[" not in rest.partition(".")[0] else _split_element(rest)
        if "[" in word:
            key, label = word.split("[", 1)
            items = here[key]
            here = next(item for item in items if _has_label(item, label[:-1]))
        elif not after:
            here[word] = value
            return data
        else:
            here = here.setdefault(word, {})
        rest = after


def _split_element(rest: str) -> tuple[str, str, str]:
    end = rest.index("]") + 1
    return rest[:end], ".", rest[end + 1 :]


def _has_label(item: dict[str, Any], label: str) -> bool:
    return label in (item.get("id"), item.get("name")) or (
        "path" in item and label.endswith(str(item["path"]))
    )


@pytest.mark.parametrize(("path", "value", "drift", "rule"), MATRIX, ids=[row[0] for row in MATRIX])
def test_each_difference_is_classified_with_the_rule_it_endangers(path, value, drift, rule):
    found = compare([BASE, with_value(path, value)])
    assert [(item.path, item.drift) for item in found] == [(path, drift)]
    assert found[0].values[1] == value
    assert not drift or found[0].rule is rule


def keys(model: type[BaseModel], path: str) -> list[str]:
    """The path of each setting of a model, without list labels."""
    found = []
    for name, info in model.model_fields.items():
        inner = _model_inside(info.annotation)
        here = f"{path}.{info.alias or name}".strip(".")
        if isinstance(inner, type) and issubclass(inner, BaseModel):
            found += keys(inner, here)
        else:
            found.append(here)
    return found


def test_the_matrix_covers_every_setting_of_the_configuration():
    covered = {re.sub(r"\[[^]]*\]", "", path) for path, *_ in MATRIX}
    missing = [
        path
        for path in keys(Configuration, "")
        if path.split(".")[-1] not in IDENTITY and path not in covered
    ]
    assert missing == []


def test_every_setting_matches_a_pattern():
    for path in flatten(BASE):
        assert any(item.pattern.fullmatch(path) for item in SETTINGS), path


def test_an_unknown_setting_counts_as_shared():
    assert setting_of("brand.new").shared


def test_equal_configurations_have_no_differences():
    assert compare([BASE, copy.deepcopy(BASE), copy.deepcopy(BASE)]) == []


def test_a_missing_class_is_no_drift_but_a_missing_server_is():
    reduced = copy.deepcopy(BASE)
    reduced["classes"] = [kind for kind in reduced["classes"] if kind["name"] != "invoice-record"]
    reduced["routes"] = [route for route in reduced["routes"] if route["class"] != "invoice-record"]
    assert not any(item.drift for item in compare([BASE, reduced]))
    reduced["pools"][0]["list"]["servers"].pop()
    drifted = [item for item in compare([BASE, reduced]) if item.drift]
    assert drifted
    assert {item.rule for item in drifted} == {Rule.DRAINS}


def test_the_drifted_one_of_three_configurations_is_visible(tmp_path, capsys):
    text = (GOOD / "configuration.toml").read_text()
    paths = [tmp_path / f"{at}.toml" for at in range(3)]
    for at, path in enumerate(paths):
        path.write_text(text.replace("siblings = 4", "siblings = 5") if at == 2 else text)
    assert main(["config", "drift", *map(str, paths)]) == 1
    lines = capsys.readouterr().out.splitlines()
    assert lines[0].startswith("pools[ledger-post].siblings: DRIFT, endangers «no cold server pushed over»")
    assert [line.strip().rpartition(": ")[2] for line in lines[1:]] == ["4", "4", "5"]
    assert main(["config", "drift", *map(str, paths[:2])]) == 0
