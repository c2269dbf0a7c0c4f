"""The command line tools without any node: output, exit codes and errors."""

from __future__ import annotations

import copy
import json

import pytest

from emberring.cli import status_commands
from emberring.cli.app import main
from emberring.cli.config_diff import find_differences
from emberring.emulator.configurations import trial_configuration
from emberring.errors import PeerUnavailableError

NODE = """
NodeName = "core-1"
Ip = "127.0.0.1"
Zone = "a"
PortRange = [7720, 7735]
SeedNodes = ["127.0.0.1:9"]
"""


@pytest.fixture(autouse=True)
def no_known_control(monkeypatch):
    monkeypatch.delenv("EMBERRING_CONTROL", raising=False)
    monkeypatch.delenv("EMBERRING_NODE_FILE", raising=False)


@pytest.fixture
def write_file(tmp_path):
    def write(name: str, content: object) -> str:
        path = tmp_path / name
        path.write_text(content if isinstance(content, str) else json.dumps(content))
        return str(path)

    return write


@pytest.mark.parametrize(
    "arguments",
    [
        [],
        ["config"],
        ["config", "check"],
        ["config", "diff"],
        ["config", "get"],
        ["config", "put"],
        ["config", "patch"],
        ["check"],
        ["check", "settings"],
        ["check", "register"],
        ["check", "store"],
        ["check", "lots"],
        ["retire"],
        ["status"],
        ["nodes"],
        ["servers"],
        ["lots"],
        ["lots", "shards"],
        ["lots", "list"],
        ["try"],
        ["lab"],
        ["lab", "admission"],
        ["lab", "ablation"],
        ["gateway"],
        ["control"],
        ["store"],
    ],
    ids=" ".join,
)
def test_every_command_has_a_help(arguments, capsys):
    assert main([*arguments, "--help"]) == 0
    assert "Usage: emberring" in capsys.readouterr().out


@pytest.mark.parametrize("arguments", [["nosuch"], ["config", "nosuch"], ["retire"], ["config", "put"]])
def test_invalid_arguments_end_with_exit_code_2(arguments, capsys):
    assert main(arguments) == 2
    assert "Usage: emberring" in capsys.readouterr().err


def test_a_valid_configuration(write_file, capsys):
    path = write_file("c.json", trial_configuration())
    assert main(["config", "check", path]) == 0
    assert capsys.readouterr().out == f"{path}: valid\n"
    assert main(["config", "check", path, "--json"]) == 0
    assert json.loads(capsys.readouterr().out) == {"File": path, "Valid": True, "Mistakes": []}


def test_every_error_of_a_configuration_is_reported(write_file, capsys):
    invalid = trial_configuration()
    invalid["Routes"][0]["TimeoutMs"] = 0
    invalid["Routes"][1]["Service"] = "nobody"
    path = write_file("c.json", invalid)
    assert main(["config", "check", path]) == 1
    output = capsys.readouterr()
    assert output.out == ""
    assert len(output.err.splitlines()) == 2
    assert main(["config", "check", path, "--json"]) == 1
    assert len(json.loads(capsys.readouterr().out)["Mistakes"]) == 2


@pytest.mark.parametrize(
    ("text", "code", "message"),
    [
        (None, 2, "No such file"),
        ('{"Version": 1', 1, "not readable"),
        ('{"Version": 1, "Version": 2}', 1, "twice"),
        ("[]", 1, "not a JSON object"),
    ],
)
def test_a_file_that_cannot_be_read(text, code, message, write_file, tmp_path, capsys):
    path = write_file("c.json", text) if text is not None else str(tmp_path / "none")
    assert main(["config", "check", path]) == code
    assert message in capsys.readouterr().err


def changed(**changes: object) -> dict[str, object]:
    document = copy.deepcopy(trial_configuration())
    document["Routes"][0].update(changes)
    return document


@pytest.mark.parametrize(
    ("after", "texts"),
    [
        (trial_configuration(), []),
        (trial_configuration(2), ["changed configuration Version: 1 -> 2"]),
        (changed(TimeoutMs=9), ["changed route explain TimeoutMs: 5000 -> 9"]),
        (changed(Name="other"), ["removed route explain", "added route other"]),
        ({**trial_configuration(), "Services": []}, ["removed service ledger-llm"]),
        (
            {**trial_configuration(), "Limits": {**trial_configuration()["Limits"], "IdleTimeoutMs": 1}},
            ["changed limits IdleTimeoutMs: 15000 -> 1"],
        ),
    ],
)
def test_differences_between_configurations(after, texts):
    assert [item.text() for item in find_differences(trial_configuration(), after)] == texts


def test_diff_ends_with_1_where_something_differs(write_file, capsys):
    one, two = write_file("1.json", trial_configuration()), write_file("2.json", trial_configuration(5))
    assert main(["config", "diff", one, one]) == 0
    assert main(["config", "diff", one, two]) == 1
    assert capsys.readouterr().out == "changed configuration Version: 1 -> 5\n"
    assert main(["config", "diff", one, two, "--json"]) == 1
    assert json.loads(capsys.readouterr().out)[0]["after"] == 5
    assert main(["config", "diff", one, write_file("3.json", "{")]) == 2


@pytest.mark.parametrize(
    "arguments",
    [["config", "get"], ["retire", "store-1"], ["status"], ["nodes"], ["servers"], ["lots", "list"]],
)
def test_without_a_control_node_the_call_cannot_be_carried_out(arguments, capsys):
    assert main(arguments) == 2
    assert "no control node is known" in capsys.readouterr().err


@pytest.mark.parametrize(
    ("arguments", "message"),
    [
        (["config", "get"], "no clear answer"),
        (["retire", "store-1"], "may or may not"),
    ],
)
def test_no_response_ends_with_exit_code_3(arguments, message, capsys):
    assert main([*arguments, "--control", "127.0.0.1:9", "--timeout", "0.1"]) == 3
    assert message in capsys.readouterr().err


def test_the_settings_file_and_the_variable_name_control_nodes(write_file, monkeypatch, capsys):
    monkeypatch.setenv("EMBERRING_NODE_FILE", write_file("node.toml", NODE))
    assert main(["config", "get", "--timeout", "0.1"]) == 3
    assert "127.0.0.1:9" in capsys.readouterr().err
    monkeypatch.setenv("EMBERRING_CONTROL", "127.0.0.1:10, 127.0.0.1:11")
    assert main(["config", "get", "--timeout", "0.1"]) == 3
    assert "127.0.0.1:10, 127.0.0.1:11" in capsys.readouterr().err
    assert main(["config", "get", "--control", "nonsense"]) == 2


def test_a_configuration_with_errors_is_not_sent(write_file, capsys):
    invalid = {**trial_configuration(), "Services": []}
    assert main(["config", "put", write_file("c.json", invalid), "--control", "127.0.0.1:9"]) == 1
    assert "unknown" in capsys.readouterr().err


def test_all_errors_of_settings_are_reported(write_file, capsys):
    path = write_file("node.toml", NODE)
    assert main(["check", "settings", path]) == 0
    assert main(["check", "settings", path, "--json"]) == 0
    capsys.readouterr()
    invalid = write_file("wrong.toml", NODE.replace('Zone = "a"', "Zone = 3").replace("7720, ", ""))
    assert main(["check", "settings", invalid]) == 2
    error = capsys.readouterr().err
    assert "Zone" in error
    assert "PortRange" in error


STATUS_PAGE = {
    "Node": "core-1",
    "MajorityAgeS": 0.1,
    "ConfigurationVersion": 3,
    "Gateways": 1,
    "Nodes": [
        {"Name": "edge-1", "Role": "gateway", "Address": "10.0.0.1:7720", "Zone": "a", "Leaving": False},
        {"Name": "store-1", "Role": "store", "Address": "10.0.0.2:7722", "Zone": "a", "Leaving": True},
    ],
    "Servers": [
        {
            "Id": "i-1",
            "Service": "s",
            "Address": "10.0.0.9:80",
            "Zone": "a",
            "State": "ready",
            "Capacity": 4,
            "InFlight": 2,
            "Version": "v1",
            "Troubles": {"silent": 3, "failing": 1},
            "FailingForS": 12.4,
        }
    ],
    "Placement": None,
}


@pytest.fixture
def pages(monkeypatch):
    """Status pages by address; an address without a page does not respond."""
    responses: dict[str, dict[str, object]] = {}

    def fetch(control: str, timeout_s: float) -> dict[str, object]:
        if control not in responses:
            raise PeerUnavailableError(f"{control} does not respond")
        return responses[control]

    monkeypatch.setattr(status_commands, "fetch_status", fetch)
    return responses


TWO_CONTROLS = ["--control", "10.0.0.3:1", "--control", "10.0.0.4:1"]


@pytest.mark.parametrize(
    ("second", "code"),
    [
        (STATUS_PAGE, 0),
        (None, 1),
        ({**STATUS_PAGE, "MajorityAgeS": 5.0}, 1),
        ({**STATUS_PAGE, "MajorityAgeS": None}, 1),
        ({**STATUS_PAGE, "ConfigurationVersion": 2}, 1),
    ],
)
def test_status_reports_whether_the_control_nodes_agree(second, code, pages, capsys):
    pages["10.0.0.3:1"] = STATUS_PAGE
    if second is not None:
        pages["10.0.0.4:1"] = second
    assert main(["status", *TWO_CONTROLS]) == code
    out = capsys.readouterr().out
    assert "model servers: 1 ready; 2 calls in flight" in out
    assert "not placed yet" in out
    assert main(["status", *TWO_CONTROLS, "--json"]) == code
    assert json.loads(capsys.readouterr().out)["Healthy"] is (code == 0)


def test_status_without_any_response_ends_with_exit_code_3(pages, capsys):
    assert main(["status", *TWO_CONTROLS]) == 3
    assert main(["nodes", *TWO_CONTROLS]) == 3


def test_nodes_and_servers_come_from_a_control_node_with_a_majority(pages, capsys):
    pages["10.0.0.3:1"] = {**STATUS_PAGE, "MajorityAgeS": 9.0, "Nodes": [], "Servers": []}
    pages["10.0.0.4:1"] = STATUS_PAGE
    assert main(["nodes", *TWO_CONTROLS, "--role", "store", "--json"]) == 0
    assert [node["Name"] for node in json.loads(capsys.readouterr().out)] == ["store-1"]
    assert main(["servers", *TWO_CONTROLS, "--service", "other", "--json"]) == 0
    assert json.loads(capsys.readouterr().out) == []
    assert main(["servers", *TWO_CONTROLS]) == 0
    shown = capsys.readouterr().out
    assert "i-1" in shown
    assert "failing (1), silent (3) for 12 s" in shown
    del pages["10.0.0.4:1"]
    assert main(["nodes", *TWO_CONTROLS]) == 0
    assert "may be old" in capsys.readouterr().err


LAB_ADMISSION = ["lab", "admission", "--seconds", "1", "--trials", "1", "--factor", "0.2"]


def test_the_lab_runs_each_policy_with_the_same_requests(capsys):
    assert main([*LAB_ADMISSION, "--policy", "admission", "--policy", "two-choices", "--json"]) == 0
    found = json.loads(capsys.readouterr().out)
    assert list(found) == ["admission", "two-choices"]
    assert found["admission"][0]["live"] == found["two-choices"][0]["live"] > 0
    assert main([*LAB_ADMISSION, "--policy", "two-choices"]) == 0
    assert "two-choices" in capsys.readouterr().out


@pytest.mark.parametrize("extra", [["--site", "nowhere"], ["--policy", "nobody"], ["--seconds", "0"]])
def test_the_lab_rejects_unknown_names(extra, capsys):
    assert main([*LAB_ADMISSION, *extra]) == 2
    assert capsys.readouterr().err
