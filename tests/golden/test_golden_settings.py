"""Golden files of the operators' input: settings of each role, the platform node's file, and the configuration.

Each key that the code reads is in the golden file, and each key in the file is read and has its recorded effect.
"""

from __future__ import annotations

import json
import tomllib

import orjson
import pytest
from golden_api import (
    DATA,
    Recorded,
    changed,
    check_golden,
    flat,
    key_paths,
    outcome,
    places,
    recorded,
    run_module,
    without,
)

from emberring import settings as tier
from emberring.configuration.change_requests import ChangeRequestKind, evaluate, read_change_request
from emberring.configuration.checks import find_configuration_errors
from emberring.configuration.reading import (
    build_configuration,
    pack,
    parse_strictly,
    parse_validated,
    unpack,
    unpack_configuration,
)
from emberring.configuration.state import ControlState
from emberring.errors import InvalidConfigurationError, SettingsError
from loadbalancer.node.config import parse_config
from loadbalancer.settings import parse_load_report

ROLES = ("gateway", "control", "store")
FOLDER = DATA / "settings"
REQUIRED = ("NodeName", "Ip", "Zone", "PortRange")
NAMES_OF_ZONES = "Zones."  # its keys are names, not wire keys


def toml_text(document: dict) -> str:
    """Encode a document of nested tables and plain values as TOML."""
    plain = [f"{key} = {json.dumps(value)}" for key, value in document.items() if not isinstance(value, dict)]
    tables = [
        f"[{key}]\n" + "\n".join(f"{name} = {json.dumps(item)}" for name, item in value.items())
        for key, value in document.items()
        if isinstance(value, dict)
    ]
    return "\n".join([*plain, *tables]) + "\n"


def tier_text(role: str) -> str:
    return (FOLDER / f"{role}.toml").read_text(encoding="utf-8")


def tier_values(text: str) -> dict:
    return flat(tier.parse_settings(text))


def effects(document: dict, read_values, error: type[Exception]) -> dict:
    """Return the effect of removing each key: the changed values by path, or the error."""
    whole = read_values(document)
    found = {}
    for place in places(document):
        name = ".".join(map(str, place))
        absent = outcome(lambda place=place: read_values(without(document, place)), error)
        if not isinstance(place[-1], str) or name.startswith(
            NAMES_OF_ZONES
        ):  # a renamed zone is a different zone, not an unknown key
            renamed = absent
        else:
            renamed = outcome(
                lambda place=place: read_values(without(document, place, place[-1] + "New")), error
            )
        assert renamed == absent, f"{name}: a renamed key is not an absent key"
        found[name] = absent if isinstance(absent, str) else changed(whole, absent)
        assert found[name], f"{name} has no effect"
    return found


@pytest.mark.parametrize("role", ROLES)
def test_settings_of_a_role_have_the_recorded_values(role):
    check_golden(f"settings/{role}.values.json", tier_values(tier_text(role)))


def test_settings_that_are_left_out_have_the_recorded_values():
    text = 'NodeName = "n"\nIp = "10.0.0.1"\nZone = "z"\nPortRange = [7720, 7735]\nSeedNodes = []\n'
    check_golden("settings/defaults.values.json", tier_values(text))


@pytest.mark.parametrize("role", ROLES)
def test_each_key_of_the_settings_is_read_and_no_other(role, monkeypatch):
    log: set[str] = set()
    loads = tomllib.loads
    monkeypatch.setattr(tomllib, "loads", lambda text: Recorded(loads(text), log))
    tier.parse_settings(tier_text(role))
    wanted = {path for path in key_paths(loads(tier_text(role))) if not path.startswith(NAMES_OF_ZONES)}
    assert log == wanted


@pytest.mark.parametrize("role", ROLES)
def test_each_key_of_the_settings_has_its_recorded_effect(role):
    document = tomllib.loads(tier_text(role))
    found = effects(document, lambda changed_one: tier_values(toml_text(changed_one)), SettingsError)
    assert {key for key, effect in found.items() if isinstance(effect, str)} == set(REQUIRED)
    check_golden(f"settings/{role}.effects.json", found)


def test_wrong_values_of_settings_are_named_as_recorded():
    document = tomllib.loads(tier_text("store"))
    found = {}
    for place in places(document):
        broken = without(document, place)
        holder = broken
        for step in place[:-1]:
            holder = holder[step]
        holder[place[-1]] = [1.5]
        found[".".join(place)] = outcome(
            lambda broken=broken: flat(tier.parse_settings(toml_text(broken))), SettingsError
        )
        assert isinstance(found[".".join(place)], str)
    check_golden("settings/mistakes.json", found)


def test_where_settings_are_looked_for_and_which_ports_are_used():
    settings = tier.parse_settings(tier_text("store"))
    offsets = (tier.GATEWAY_PORT_OFFSET, tier.CONTROL_PORT_OFFSET, tier.STORE_PORT_OFFSET)
    assert [settings.internal_address(offset) for offset in offsets] == [
        "10.1.0.13:7720",
        "10.1.0.13:7721",
        "10.1.0.13:7722",
    ]
    assert settings.internal_seeds() == ("10.1.0.13:7721", "10.2.0.43:7721")
    assert str(tier.settings_path({"EMBERRING_NODE_FILE": "/x/y.toml"})) == "/x/y.toml"
    assert str(tier.settings_path({})) == "/etc/emberring/local.toml"


@pytest.mark.parametrize("role", ROLES)
def test_a_role_that_cannot_use_its_settings_ends_as_recorded(role, tmp_path):
    document = tomllib.loads(tier_text(role))
    texts = {"not_toml": "NodeName = ", **{key: toml_text(without(document, (key,))) for key in REQUIRED}}
    found = {}
    for name, text in texts.items() if role == "gateway" else [*texts.items()][:2]:
        path = tmp_path / "settings.toml"
        path.write_text(text, encoding="utf-8")
        found[name] = run_module(["emberring", role], {"EMBERRING_NODE_FILE": str(path)}, {str(path): "FILE"})
    absent = str(tmp_path / "absent")
    found["absent"] = run_module(["emberring", role], {"EMBERRING_NODE_FILE": absent}, {absent: "FILE"})
    assert {ended["exit"] for ended in found.values()} == {2}
    check_golden(f"settings/{role}.exits.json", found)


# ------------------------------------------------------------------ the platform's node


def node_document() -> dict:
    return json.loads((FOLDER / "node.json").read_text(encoding="utf-8"))


def node_values(document: dict) -> dict:
    return flat(parse_config(orjson.dumps(document)))


def test_the_nodes_configuration_has_the_recorded_values():
    check_golden("settings/node.values.json", node_values(node_document()))


def test_each_key_of_the_nodes_configuration_is_read_and_no_other(monkeypatch):
    log: set[str] = set()
    loads = orjson.loads
    monkeypatch.setattr(orjson, "loads", lambda text: recorded(loads(text), log))
    parse_config(orjson.dumps(node_document()))
    assert log == key_paths(node_document())


def test_each_key_of_the_nodes_configuration_has_its_recorded_effect():
    check_golden("settings/node.effects.json", effects(node_document(), node_values, ValueError))


def test_wrong_values_of_the_nodes_configuration_are_named_as_recorded():
    found = {}
    for place in places(node_document()):
        broken = node_document()
        holder = broken
        for step in place[:-1]:
            holder = holder[step]
        holder[place[-1]] = "wrong"
        found[".".join(map(str, place))] = outcome(
            lambda broken=broken: changed(node_values(node_document()), node_values(broken)), ValueError
        )
    check_golden("settings/node.mistakes.json", found)


def test_load_reports_are_read_as_recorded():
    wire = tuple(node_document()["settings"]["feedback"]["fields"])
    names = parse_config(orjson.dumps(node_document())).settings.report_fields
    texts = [f"TEXT {name}={number}.5" for number, name in enumerate(wire)]
    texts += [
        "TEXT concurrent=7, depth=3, load_share=0.61",
        "TEXT depth=-1",
        "JSON depth=1",
        "TEXT unknown=1",
    ]
    check_golden("settings/node.reports.json", {text: parse_load_report(text, names) for text in texts})


def test_a_node_that_cannot_use_its_configuration_ends_as_recorded(tmp_path):
    path = tmp_path / "node.json"
    masks = {str(tmp_path): "FOLDER"}
    found = {"no_variable": run_module(["loadbalancer"], {}, masks)}
    found["absent"] = run_module(["loadbalancer"], {"PROXY_CONFIG": str(path)}, masks)
    for key in ("name", "settings"):
        path.write_bytes(orjson.dumps(without(node_document(), (key,))))
        found[key] = run_module(["loadbalancer"], {"PROXY_CONFIG": str(path)}, masks)
    path.write_bytes(b"{")
    found["not_json"] = run_module(["loadbalancer"], {"PROXY_CONFIG": str(path)}, masks)
    assert {ended["exit"] for ended in found.values()} == {2}
    check_golden("settings/node.exits.json", found)


# ------------------------------------------------------------------ the configuration document


def configuration_bytes() -> bytes:
    return (FOLDER / "configuration.json").read_bytes()


def configuration_document() -> dict:
    return json.loads(configuration_bytes())


def configuration_values(document: dict) -> dict:
    """Return the typed values of a document. Raises `ValueError` with all errors as a control node reports them."""
    mistakes = find_configuration_errors(document)
    if mistakes:
        raise ValueError("; ".join(mistakes))
    try:
        return flat(build_configuration(document))
    except KeyError as error:  # known fault: a share without Weight passes the check and cannot be built
        raise ValueError(f"not built: {error}") from error


def test_the_configuration_has_the_recorded_values():
    assert not find_configuration_errors(configuration_document())
    check_golden("settings/configuration.values.json", configuration_values(configuration_document()))


def test_each_key_of_the_configuration_is_read_and_no_other():
    log: set[str] = set()
    document = Recorded(configuration_document(), log)
    assert not find_configuration_errors(document)
    build_configuration(document)
    # Read in both objects, although only one needs it: a service's capacity may be given in either place.
    assert log == key_paths(configuration_document())


def test_each_key_of_the_configuration_has_its_recorded_effect():
    found = effects(configuration_document(), configuration_values, ValueError)
    check_golden("settings/configuration.effects.json", found)


def test_wrong_values_of_the_configuration_are_named_as_recorded():
    found = {}
    for place in places(configuration_document()):
        broken = configuration_document()
        holder = broken
        for step in place[:-1]:
            holder = holder[step]
        holder[place[-1]] = -1
        found[".".join(map(str, place))] = list(find_configuration_errors(broken))
    check_golden("settings/configuration.mistakes.json", found)


def test_the_configuration_is_kept_byte_by_byte():
    body = configuration_bytes()
    assert unpack(pack(body)) == body
    assert flat(unpack_configuration(pack(body))) == configuration_values(configuration_document())
    assert parse_validated(body) == configuration_document()
    taken = evaluate(ControlState(), read_change_request(ChangeRequestKind.REPLACE, '"0"', body)).state
    assert ControlState.decode(taken.encode()).document == body
    check_golden(
        "settings/configuration.canonical.json",
        {
            "canonical": parse_strictly(body).canonical.decode(),
            "digest": read_change_request(ChangeRequestKind.REPLACE, "0", body).digest.hex(),
        },
    )


def patch_of(kind: str) -> dict:
    """Return a patch of named items with every key that a patch may have."""
    document = configuration_document()
    route, service = document["Routes"][1], document["Services"][1]
    limits = {"MaxBodyBytes": 5000}
    return {
        "upsert": {
            "Version": 8,
            "Upsert": {
                "Routes": [{**route, "TimeoutMs": 4444}, {**route, "Name": "r-new", "PathPrefix": "/new/"}],
                "Services": [{**service, "HealthPath": "/größe"}],
                "Limits": limits,
            },
        },
        "remove": {"Version": 8, "Remove": {"Routes": ["r-once", "r-absent"], "Services": []}},
        "limits": {"Version": 8, "Limits": limits},
        "mistakes": {
            "Version": 8,
            "Upsert": {"Routes": 1, "Services": [{}]},
            "Remove": {"Routes": [1], "Services": 2},
        },
        "not_objects": {"Version": 8, "Upsert": [], "Remove": []},
        "old_version": {"Version": 7},
        "no_version": {},
    }[kind]


@pytest.mark.parametrize(
    "kind", ["upsert", "remove", "limits", "mistakes", "not_objects", "old_version", "no_version"]
)
def test_a_change_of_named_items_writes_the_recorded_document(kind):
    before = evaluate(
        ControlState(), read_change_request(ChangeRequestKind.REPLACE, "0", configuration_bytes())
    ).state

    def change() -> str:
        fate = evaluate(
            before, read_change_request(ChangeRequestKind.PATCH, "7", json.dumps(patch_of(kind)).encode())
        )
        if hasattr(fate, "error"):
            raise fate.error
        return fate.state.document.decode()

    check_golden(f"settings/change.{kind}.json", outcome(change, InvalidConfigurationError))


def test_each_key_of_a_change_has_an_effect():
    before = evaluate(
        ControlState(), read_change_request(ChangeRequestKind.REPLACE, "0", configuration_bytes())
    ).state
    for kind in ("upsert", "remove", "limits"):
        change = patch_of(kind)
        documents = []
        for place in [None, *((key,) for key in change if key != "Version")]:
            sent = change if place is None else without(change, place, f"{place[0]}New")
            fate = evaluate(
                before, read_change_request(ChangeRequestKind.PATCH, "7", json.dumps(sent).encode())
            )
            documents.append(fate.state.document)
        assert len(set(documents)) == len(documents), kind
