"""Deriving a configuration from a catalogue and a description; properties that hold for any valid pair."""

from __future__ import annotations

import json
import tomllib
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from loadbalancer.cli import main
from loadbalancer.sidecar.checks import check
from loadbalancer.sidecar.derive import derive, text_of
from loadbalancer.sidecar.load import Document, parse
from loadbalancer.sidecar.models import digest
from loadbalancer.sidecar.toml import dumps

EXAMPLES = Path(__file__).parent.parent.parent / "loadbalancer" / "examples"
GOOD = Path(__file__).parent / "good"
EFFECTS = ("safe", "keyed", "unsafe")


def document(data: dict[str, Any] | str, name: str) -> Document:
    parsed = parse(data if isinstance(data, str) else dumps(data, {}), name)
    check(parsed, 65536)
    return parsed


def written(catalogue: Document, application: Document) -> str:
    derived = derive(catalogue, application)
    assert derived is not None, "\n".join(map(str, application.mistakes))
    return text_of(derived, catalogue, application)


NAMES = st.from_regex(r"[a-z][a-z0-9.-]{0,11}", fullmatch=True)


@st.composite
def catalogues(draw) -> dict[str, Any]:
    zones = draw(st.lists(NAMES, unique=True, max_size=3))
    pools = []
    for at, name in enumerate(draw(st.lists(NAMES, unique=True, min_size=1, max_size=3))):
        servers = [
            {"id": f"s{number}", "address": f"127.0.0.1:{7000 + 100 * at + number}"}
            | ({"zone": draw(st.sampled_from(zones))} if zones else {})
            for number in range(draw(st.integers(1, 3)))
        ]
        static = {"source": "static", "servers": servers}
        asked = {
            "source": "discovery",
            "address": "[::1]:8500",
            "mode": draw(st.sampled_from(["ask", "push"])),
        }
        pool = {"name": name, "list": draw(st.sampled_from([static, asked]))}
        if zones:
            pool["zones"] = zones
        if draw(st.booleans()):
            pool |= {"siblings": draw(st.integers(1, 50)), "round_trip_ms": draw(st.floats(0, 40))}
        pools.append(pool)
    most = draw(st.integers(1, 10))
    classes = []
    for at, name in enumerate(draw(st.lists(NAMES, unique=True, min_size=len(pools), max_size=6))):
        effect = draw(st.sampled_from(EFFECTS))
        give_up = draw(st.floats(50, 10_000))
        kind: dict[str, Any] = {"name": name, "pool": pools[at % len(pools)]["name"], "effect": effect}
        kind |= {"aim_ms": draw(st.floats(1, give_up)), "give_up_ms": give_up}
        kind["worth"] = draw(st.floats(0, 100))
        if effect == "keyed":
            kind["memory_ms"] = draw(st.floats(1, 100_000))
        if draw(st.booleans()):
            kind["attempts"] = draw(st.integers(1, most))
        methods = draw(st.lists(st.sampled_from(["GET", "POST", "PUT"]), unique=True))
        kind["routes"] = [{"path": f"/c{at}/{{x}}/**", "methods": methods}, {"path": f"/d{at}"}]
        classes.append(kind)
    head = {"kind": "catalogue", "version": 1, "name": draw(NAMES)}
    return head | {"rules": {"max_attempts": most}, "pools": pools, "classes": classes}


@st.composite
def pairs(draw) -> tuple[dict[str, Any], dict[str, Any]]:
    """A valid catalogue and a valid description for it, which is stricter in some values."""
    catalogue = draw(catalogues())
    zones = catalogue["pools"][0].get("zones")
    calls = []
    some = draw(
        st.lists(st.sampled_from(catalogue["classes"]), unique_by=lambda kind: kind["name"], min_size=1)
    )
    for at, kind in enumerate(some):
        call: dict[str, Any] = {"class": kind["name"], "rate": draw(st.floats(0.1, 1000))}
        effect = draw(st.sampled_from(EFFECTS[EFFECTS.index(kind["effect"]) :]))
        if effect != "keyed" and draw(st.booleans()):
            call["effect"] = effect
        elif draw(st.booleans()):
            call[draw(st.sampled_from(["retryable", "idempotent"]))] = False
        if draw(st.booleans()):
            call["worth"] = draw(st.floats(0, kind["worth"]))
        if draw(st.booleans()):
            call["attempts"] = draw(st.integers(1, kind.get("attempts", catalogue["rules"]["max_attempts"])))
        if draw(st.booleans()):
            call["deadline_ms"] = draw(st.floats(45, kind["give_up_ms"]))
        if draw(st.booleans()):
            header = {"name": "X-Book", "value": draw(st.sampled_from(["a", "b"]))}
            call["routes"] = [{"path": f"/own{at}/**", "headers": [header]}]
        calls.append(call)
    application = {"kind": "application", "version": 1, "name": draw(NAMES), "listen": "127.0.0.1:7600"}
    if zones:
        application["zone"] = draw(st.sampled_from(zones))
    return catalogue, application | {"calls": calls}


@settings(max_examples=200)
@given(pairs())
def test_what_is_written_from_any_valid_pair_passes_the_check_and_is_the_same_bytes_twice(pair):
    catalogue, application = (
        document(data, name) for data, name in zip(pair, ("c.toml", "a.toml"), strict=True)
    )
    assert catalogue.mistakes == application.mistakes == []
    text = written(catalogue, application)
    again = document(text, "configuration.toml")
    assert again.mistakes == []
    assert (
        written(*(document(data, name) for data, name in zip(pair, ("c.toml", "a.toml"), strict=True)))
        == text
    )
    # It is never looser than the catalogue.
    kinds = {kind["name"]: kind for kind in pair[0]["classes"]}
    for kind in again.model.classes:
        limit = kinds[kind.name]
        assert EFFECTS.index(kind.effect) >= EFFECTS.index(limit["effect"])
        assert kind.worth <= limit["worth"]
        assert kind.give_up_ms <= limit["give_up_ms"]
        most = limit.get("attempts", pair[0]["rules"]["max_attempts"])
        assert (kind.attempts or pair[0]["rules"]["max_attempts"]) <= most
    assert all(route.deadline_ms is None or route.deadline_ms <= kinds[route.service]["give_up_ms"]
               for route in again.model.routes)  # fmt: skip


@pytest.mark.parametrize("name", ["clerk-desk", "month-close", "bank-matching"])
def test_the_shipped_examples_are_valid_and_each_value_has_its_origin(name):
    sources = [EXAMPLES / "ledger.toml", EXAMPLES / f"{name}.toml"]
    catalogue, application = (document(path.read_text(), str(path)) for path in sources)
    text = written(catalogue, application)
    source_lines = {path.name: path.read_text().split("\n") for path in sources}
    checked = 0
    for line in text.split("\n")[3:]:
        value, separator, origin = line.rpartition("  # ")
        if not separator or origin == "default" or origin.startswith(("from the rates", "next to")):
            continue
        file, _, number = origin.split(", ")[0].partition(":")
        source_line = source_lines[file][int(number) - 1]
        # An effect of "unsafe" may originate from `idempotent = false`.
        assert value.partition(" = ")[2].strip('"') in source_line or source_line.startswith(
            "idempotent = false"
        ), line
        checked += 1
    assert checked > 20
    assert str(EXAMPLES) not in text  # the output does not depend on the machine's paths


def test_the_shortest_description_has_ten_lines_or_fewer():
    lines = [line for line in (EXAMPLES / "clerk-desk.toml").read_text().splitlines() if line.strip()]
    assert len(lines) <= 10


def test_stricter_values_of_the_description_are_in_the_configuration():
    catalogue = document((GOOD / "catalogue.toml").read_text(), "c.toml")
    application = document((GOOD / "application-stricter.toml").read_text(), "a.toml")
    model = document(written(catalogue, application), "x").model
    kinds = {kind.name: kind for kind in model.classes}
    assert (kinds["balance-read"].worth, kinds["balance-read"].effect) == (0, "unsafe")
    assert (kinds["invoice-record"].attempts, kinds["invoice-record"].effect) == (1, "unsafe")
    assert kinds["invoice-record"].memory_ms is None
    deadlines = {route.service: route.deadline_ms for route in model.routes}
    assert deadlines["journal-post"] == 1500


def test_the_output_file_is_replaced_atomically_and_equals_standard_output(tmp_path, capsys):
    pair = [str(GOOD / "catalogue.toml"), str(GOOD / "application.toml")]
    assert main(["config", "write", *pair]) == 0
    text = capsys.readouterr().out
    out = tmp_path / "out.toml"
    out.write_text("old")
    assert main(["config", "write", *pair, "-o", str(out)]) == 0
    assert out.read_text() == text
    assert [path.name for path in tmp_path.iterdir()] == ["out.toml"]
    assert main(["config", "write", *pair, "-o", str(tmp_path / "none" / "out.toml")]) == 2


def test_a_pair_with_mistakes_writes_nothing(tmp_path, capsys):
    seeded = Path(__file__).parent / "seeded" / "application-payment-match-retryable.toml"
    out = tmp_path / "out.toml"
    assert main(["config", "write", str(GOOD / "catalogue.toml"), str(seeded), "-o", str(out)]) == 1
    assert not out.exists()
    assert "payment-match" in capsys.readouterr().out


def test_explain_shows_the_limit_of_a_stricter_value(capsys):
    pair = [str(GOOD / "catalogue.toml"), str(GOOD / "application.toml")]
    assert main(["config", "explain", *pair, "classes[balance-read].worth"]) == 0
    assert capsys.readouterr().out == (
        "classes[balance-read].worth = 6  <- application.toml:16, within catalogue.toml:55\n"
    )


def test_the_digest_depends_on_values_and_not_on_layout():
    text = (GOOD / "configuration.toml").read_text()
    one, same = document(text, "a").model, document("# else\n\n" + text, "b").model
    other = document(text.replace("max_open = 620", "max_open = 621"), "c").model
    assert digest(one) == digest(same) != digest(other)


@pytest.mark.parametrize("kind", ["catalogue", "application", "configuration"])
def test_the_schema_is_json_schema_with_each_key(kind, capsys):
    assert main(["config", "schema", kind]) == 0
    schema = json.loads(capsys.readouterr().out)
    data = tomllib.loads((GOOD / f"{kind}.toml").read_text())
    assert set(data) <= set(schema["properties"])
    assert schema["additionalProperties"] is False
