"""The settings file: it is fully validated, all errors are reported at once, and unknown keys are ignored."""

from __future__ import annotations

import contextlib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from emberring.errors import SettingsError
from emberring.settings import (
    CONTROL_PORT_OFFSET,
    DEFAULT_SETTINGS_PATH,
    GATEWAY_PORT_OFFSET,
    STORE_PORT_OFFSET,
    Settings,
    load_settings,
    parse_settings,
    settings_path,
)

COMPLETE = """
NodeName = "core-erl-a-1"
Role = "control"
MachineClass = "core"
Serves = ["controller"]
Ip = "10.1.0.13"
Zone = "erl-a"
Region = "franken"
PortRange = [7720,7735]
SeedNodes = ["10.1.0.13:8166","10.2.0.43:8166"]
Bootstrap = true
CountsForQuorum = true
DataDir = "/data/control"
Discovery = "registration"
HeartbeatMs = 1200
Contracts = ["base","drain"]
[Zones]
erl-a = "franken"
[Listen]
ControlPlane = "10.1.0.13:8166"
[Limits]
CpuShare = 0.86
Cores = 3
MemoryMb = 296
MaxFds = 4096
LinkMbps = 1000.0
DiskMb = 128
[FaultTolerance]
Machines = 1
[Bounds]
ContactMs = 3000
CatchUpS = 4.9
pass_ms = 120
SomethingNew = [1, 2]
"""
MINIMAL = """
NodeName = "n"
Ip = "10.0.0.1"
Zone = "z"
PortRange = [7720, 7735]
SeedNodes = []
"""


def test_a_complete_file():
    found = parse_settings(COMPLETE)
    assert found.node_name == "core-erl-a-1"
    assert found.port_range == (7720, 7735)
    assert found.bootstrap
    assert found.counts_for_quorum
    assert found.listen.control_plane == "10.1.0.13:8166"
    assert found.limits.memory_mb == 296
    assert found.limits.cpu_share == pytest.approx(0.86)
    assert found.bounds.catch_up_s == pytest.approx(4.9)
    assert found.zones == {"erl-a": "franken"}
    assert found.fault_tolerance.machines == 1


def test_internal_addresses_follow_from_the_port_range():
    found = parse_settings(COMPLETE)
    offsets = (GATEWAY_PORT_OFFSET, CONTROL_PORT_OFFSET, STORE_PORT_OFFSET)
    addresses = [found.internal_address(offset) for offset in offsets]
    assert len(set(addresses)) == 3
    assert all(address.startswith("10.1.0.13:77") for address in addresses)
    port = addresses[1].rpartition(":")[2]
    assert found.internal_seeds() == (f"10.1.0.13:{port}", f"10.2.0.43:{port}")


def test_missing_keys_have_defaults():
    found = parse_settings(MINIMAL)
    assert found == Settings("n", "10.0.0.1", "z", (7720, 7735), ())
    assert not found.bootstrap
    assert found.listen.frontend == ""


@pytest.mark.parametrize(
    ("line", "replacement", "key"),
    [
        ('NodeName = "n"', "", "NodeName"),
        ('NodeName = "n"', "NodeName = 3", "NodeName"),
        ('Ip = "10.0.0.1"', "", "Ip"),
        ('Zone = "z"', "Zone = []", "Zone"),
        ("PortRange = [7720, 7735]", "", "PortRange"),
        ("PortRange = [7720, 7735]", "PortRange = [7735, 7720]", "PortRange"),
        ("PortRange = [7720, 7735]", "PortRange = [7720]", "PortRange"),
        ("PortRange = [7720, 7735]", 'PortRange = [7720, "7735"]', "PortRange"),
        ("PortRange = [7720, 7735]", "PortRange = [0, 7735]", "PortRange"),
        ("PortRange = [7720, 7735]", "PortRange = [7720, 70000]", "PortRange"),
        ("PortRange = [7720, 7735]", "PortRange = [true, 7735]", "PortRange"),
        ("SeedNodes = []", 'SeedNodes = "10.0.0.1:1"', "SeedNodes"),
        ("SeedNodes = []", 'SeedNodes = ["10.0.0.1"]', "SeedNodes"),
        ("SeedNodes = []", 'SeedNodes = ["10.0.0.1:x"]', "SeedNodes"),
        ("SeedNodes = []", "SeedNodes = [1]", "SeedNodes"),
        ("SeedNodes = []", 'SeedNodes = []\nBootstrap = "yes"', "Bootstrap"),
        ("SeedNodes = []", 'SeedNodes = []\nHeartbeatMs = "1"', "HeartbeatMs"),
        ("SeedNodes = []", "SeedNodes = []\nHeartbeatMs = true", "HeartbeatMs"),
        ("SeedNodes = []", "SeedNodes = []\nServes = [1]", "Serves"),
        ("SeedNodes = []", "SeedNodes = []\nLimits = 3", "Limits"),
        ("SeedNodes = []", "SeedNodes = []\n[Limits]\nMaxFds = 1.5", "Limits.MaxFds"),
        ("SeedNodes = []", 'SeedNodes = []\n[Bounds]\nDrainMs = "x"', "Bounds.DrainMs"),
        ("SeedNodes = []", "SeedNodes = []\n[Zones]\na = 1", "Zones"),
        ("SeedNodes = []", 'SeedNodes = []\n[Listen]\nFrontend = "x"', "Listen.Frontend"),
        ("SeedNodes = []", 'SeedNodes = []\n[FaultTolerance]\nMachines = "1"', "FaultTolerance.Machines"),
    ],
)
def test_an_error_is_reported_with_file_and_key(line, replacement, key):
    assert line in MINIMAL
    with pytest.raises(SettingsError) as caught:
        parse_settings(MINIMAL.replace(line, replacement), "/etc/x.toml")
    assert caught.value.detail.startswith("/etc/x.toml: ")
    assert f"{key}:" in caught.value.detail
    assert "\n" not in caught.value.detail


def test_all_errors_are_reported_at_once():
    invalid = MINIMAL.replace('Zone = "z"', "Zone = 1").replace('Ip = "10.0.0.1"', "") + "Bootstrap = 0\n"
    with pytest.raises(SettingsError) as caught:
        parse_settings(invalid)
    for key in ("Zone", "Ip", "Bootstrap"):
        assert f"{key}:" in caught.value.detail


@pytest.mark.parametrize("content", [None, b"NodeName = ", b"\xff\xfe", b"= 3"])
def test_a_file_that_cannot_be_read(content, tmp_path):
    settings_file = tmp_path / "local.toml"
    if content is not None:
        settings_file.write_bytes(content)
    with pytest.raises(SettingsError) as caught:
        load_settings(settings_file)
    assert str(settings_file) in caught.value.detail


@pytest.mark.parametrize(
    ("variables", "path"),
    [
        ({}, DEFAULT_SETTINGS_PATH),
        ({"EMBERRING_NODE_FILE": ""}, DEFAULT_SETTINGS_PATH),
        ({"EMBERRING_NODE_FILE": "/x/y.toml"}, "/x/y.toml"),
    ],
)
def test_the_path_of_the_file(variables, path):
    assert str(settings_path(variables)) == path


@given(st.text(max_size=200))
def test_any_text_is_settings_or_a_settings_error(text):
    with contextlib.suppress(SettingsError):
        assert isinstance(parse_settings(text), Settings)


TOML_VALUES = ["1", "-1", "1.5", "true", '"a"', '"a:1"', "[]", "[1]", "[1, 2]", '["a"]', "{a = 1}", "nan"]
KEYS = [
    "NodeName",
    "Ip",
    "PortRange",
    "SeedNodes",
    "Bootstrap",
    "Zones",
    "Limits",
    "Bounds",
    "Listen",
    "Serves",
]


@given(st.dictionaries(st.sampled_from(KEYS), st.sampled_from(TOML_VALUES)))
def test_any_values_are_settings_or_a_settings_error(table):
    text = "\n".join(f"{key} = {value}" for key, value in table.items())
    with contextlib.suppress(SettingsError):
        assert isinstance(parse_settings(text), Settings)
