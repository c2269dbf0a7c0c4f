"""Golden files of the command lines: commands, options, exit codes, and keys of `--json`, without times and ids."""

from __future__ import annotations

import argparse
import asyncio
import json
import tomllib
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
import tier_store_cluster as stores
import typer
from beside import boxes, running
from free_ports import free_port
from golden_api import DATA, ROOT, check_golden, masked, run_module, shape
from test_tier_check_disk import write_journal
from tier_control_fixture import AFollower, Cluster, a_document, a_heartbeat, eventually, now, on_cluster

from emberring.cli.app import app as tier_app
from emberring.cli.app import main as tier_main
from emberring.cli.trial_command import document as trial_document
from emberring.configuration.state import ControlState
from emberring.distribution.records import NodeRole
from emberring.emulator.invariant_checker import Violation
from emberring.emulator.traffic import Tally
from emberring.emulator.trial import Fault, TrialReport
from emberring.journal.folder import DiskFile
from emberring.register.acceptor import Acceptor
from emberring.register.model import Member, Proposal, ProposalNumber, ReplicaSet, State
from loadbalancer.cli import main as node_main

GOOD = ROOT / "tests" / "sidecar" / "good"
CORES = "--cores"  # its default depends on the machine
Main = Callable[[list[str]], int]


@pytest.fixture(autouse=True)
def alone(monkeypatch: pytest.MonkeyPatch) -> None:
    """Unset the variables that name control nodes, and skip disk syncs."""
    for name in ("EMBERRING_CONTROL", "EMBERRING_NODE_FILE"):
        monkeypatch.delenv(name, raising=False)
    monkeypatch.setenv("COLUMNS", "200")
    monkeypatch.setattr(DiskFile, "sync", lambda self: None)


class Runner:
    """Runs commands in this process and records their exit codes and output."""

    def __init__(self, capsys: pytest.CaptureFixture[str], main: Main, masks: dict[str, str]) -> None:
        self._capsys, self._main = capsys, main
        self._masks = {
            r"control plane +": "control plane ",
            **masks,
            r"127\.0\.0\.1:\d+": "ADDRESS",
            r"ADDRESS {2,}": "ADDRESS ",
            r"\d+ tries in [0-9.]+ s": "N tries in T s",
        }
        self.found: dict[str, Any] = {}

    def __call__(self, *words: str, name: str = "") -> str:
        """Run a command and return its standard output; JSON output is recorded by its keys and types."""
        try:
            code = self._main(list(words))
        except SystemExit as end:  # raised by argparse for invalid arguments
            code = end.code if isinstance(end.code, int) else -1
        told = self._capsys.readouterr()
        ended: dict[str, Any] = {"exit": code, "stderr": self._lines(told.err)}
        if "--json" in words and told.out:
            ended["json"] = shape(json.loads(masked(told.out, self._masks)))
        else:
            ended["stdout"] = self._lines(told.out)
        self.found[name or masked(" ".join(words), self._masks)] = ended
        return told.out

    def _lines(self, text: str) -> list[str]:
        lines = masked(text, self._masks).splitlines()
        # The parser words its usage message; the golden file only records that there is one.
        return ["usage"] if any(line.lower().lstrip().startswith("usage:") for line in lines) else lines


# ------------------------------------------------------------------ commands and options


def _type_of(param: Any) -> str:
    annotation = param.type_descriptor.annotation
    return (
        getattr(annotation, "__name__", str(annotation)) if isinstance(annotation, type) else str(annotation)
    )


def tier_commands(command: Any, path: str) -> dict[str, Any]:
    """Each command's options and arguments by their outer names."""
    found: dict[str, Any] = {}
    rows = []
    for param in command.params:
        row: dict[str, Any] = {"type": _type_of(param), "required": param.required, "nargs": param.nargs}
        row |= {"min": param.min, "max": param.max}
        if param.param_type_name == "option":
            row |= {"names": sorted([*param.opts, *param.secondary_opts]), "flag": param.is_flag}
            row |= {"multiple": param.multiple, "default": str(param.default)}
        else:
            row |= {"argument": param.metavar or param.name.upper()}
        rows.append(row)
    found[path] = rows
    for name, sub in sorted(getattr(command, "commands", {}).items()):
        found |= tier_commands(sub, f"{path} {name}")
    return found


def test_the_tiers_commands_and_options_are_the_recorded_ones() -> None:
    check_golden("commands/tier_options.json", tier_commands(typer.main.get_command(tier_app), "emberring"))


class _Parsed(Exception):  # noqa: N818 - not an error: passes the parser to the test
    pass


def node_parser(monkeypatch: pytest.MonkeyPatch, words: list[str]) -> argparse.ArgumentParser:
    """Return the parser that the program builds for these arguments."""

    def stop(parser: argparse.ArgumentParser, *_: Any) -> None:
        raise _Parsed(parser)

    with monkeypatch.context() as patch:
        patch.setattr(argparse.ArgumentParser, "parse_args", stop)
        try:
            node_main(words)
        except _Parsed as found:
            return found.args[0]
    raise AssertionError("no parser was asked")


def node_commands(parser: argparse.ArgumentParser, path: str) -> dict[str, Any]:
    """Each command's options and arguments by their outer names."""
    found: dict[str, Any] = {}
    rows = []
    for action in parser._actions:
        if isinstance(action, argparse._SubParsersAction):
            rows.append({"commands": sorted(action.choices)})
            for name, sub in action.choices.items():
                found |= node_commands(sub, f"{path} {name}")
            continue
        row: dict[str, Any] = {"names": sorted(action.option_strings), "nargs": action.nargs}
        row |= {"required": action.required, "flag": isinstance(action, argparse._StoreTrueAction)}
        row["default"] = "masked" if CORES in action.option_strings else str(action.default)
        row["choices"] = None if action.choices is None else [str(choice) for choice in action.choices]
        if not action.option_strings:
            row["argument"] = action.metavar or action.dest
        rows.append(row)
    return {path: rows, **found}


def test_the_nodes_commands_and_options_are_the_recorded_ones(monkeypatch: pytest.MonkeyPatch) -> None:
    top = node_commands(node_parser(monkeypatch, []), "loadbalancer")
    found = {"loadbalancer": top["loadbalancer"]}
    for name in top["loadbalancer"][-1]["commands"]:
        whole = node_commands(node_parser(monkeypatch, [name]), "loadbalancer")
        found |= {path: rows for path, rows in whole.items() if path.split()[1:2] == [name]}
    check_golden("commands/node_options.json", found)


def test_the_programs_have_the_recorded_names() -> None:
    scripts = tomllib.loads((ROOT / "pyproject.toml").read_text(encoding="utf-8"))["project"]["scripts"]
    assert set(scripts) == {"emberring", "loadbalancer", "orchidledge"}
    assert scripts["orchidledge"] == scripts["loadbalancer"]  # the command's former name
    found = {}
    for words in (["emberring", "nosuch"], ["emberring", "config", "nosuch"], ["loadbalancer.cli", "nosuch"]):
        found[" ".join(words)] = run_module(words, {}, {})["exit"]
    assert found == {"emberring nosuch": 2, "emberring config nosuch": 2, "loadbalancer.cli nosuch": 2}
    assert run_module(["emberring", "lots", "--help"], {}, {})["exit"] == 0
    assert run_module(["loadbalancer.cli", "config", "--help"], {}, {})["exit"] == 0


# ------------------------------------------------------------------ the tier's tools


def test_the_tiers_tools_without_nodes_end_as_recorded(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    run = Runner(capsys, tier_main, {str(tmp_path): "FOLDER", str(DATA): "DATA"})
    valid = str(DATA / "settings" / "configuration.json")
    settings = str(DATA / "settings" / "store.toml")
    absent = str(tmp_path / "absent")
    wrong, other, no_json = (str(tmp_path / name) for name in ("wrong.json", "other.json", "no.json"))
    Path(wrong).write_text('{"Version": 1, "Routes": [{"Name": "r"}]}')
    changed = json.loads(Path(valid).read_text(encoding="utf-8"))
    changed["Version"] = 9
    changed["Routes"][0]["Name"] = "r-other"
    changed["Limits"]["IdleTimeoutMs"] = 1
    Path(other).write_text(json.dumps(changed))
    Path(no_json).write_text("{")
    for file in (valid, wrong, no_json, absent):
        run("config", "check", file)
        run("config", "check", file, "--json")
        run("check", "settings", file)
    run("config", "diff", valid, valid)
    run("config", "diff", valid, other)
    run("config", "diff", valid, other, "--json")
    run("config", "diff", valid, no_json)
    run("check", "settings", settings)
    told = json.loads(run("check", "settings", settings, "--json"))
    # The keys of this output are attribute names of the settings classes, so renaming an attribute would change it.
    run.found["settings as shown"] = told["Settings"]
    run("check", "settings", no_json, "--json")
    for words in (
        ["config", "put", valid],
        ["config", "patch", valid],
        ["config", "get"],
        ["status"],
        ["nodes"],
    ):
        run(*words)
        run(*words, "--control", "nonsense")
        run(*words, "--control", "127.0.0.1:9", "--timeout", "0.1")
    for words in (["servers"], ["lots", "list"], ["lots", "shards"], ["retire", "store-1"]):
        run(*words)
        run(*words, "--control", "127.0.0.1:9", "--timeout", "0.1")
    run("config", "put", wrong, "--control", "127.0.0.1:9")
    run("config", "put", absent, "--control", "127.0.0.1:9")
    run("config", "patch", no_json, "--control", "127.0.0.1:9")
    for role in ("gateway", "control", "store"):
        run(role, "--settings", absent)
        run("check", role, absent)
    for words in (
        [],
        ["nosuch"],
        ["retire"],
        ["config", "put"],
        ["status", "--nosuch"],
        ["try", "--rate", "0"],
    ):
        run(*words)
    check_golden("commands/tier_alone.json", run.found)


def test_the_tiers_checks_and_lab_end_as_recorded(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    run = Runner(capsys, tier_main, {str(tmp_path): "FOLDER"})
    for what in ("register", "lots", "control"):
        run("check", what, "--seeds", "1", "--json")
    run("check", "model", "--depth", "3", "--states", "50", "--json")
    run("check", "model", "--ballots", "x")
    short = ["--seconds", "1", "--trials", "1", "--factor", "0.2"]
    run("lab", "admission", *short, "--policy", "admission", "--json")
    for more in (["--site", "nowhere"], ["--policy", "nobody"]):
        run("lab", "admission", *short, *more)
    run("lab", "ablation", "--site", "nowhere")
    run("lab", "ablation", "--mechanism", "nobody")
    run("lab", "scale", "--gateways", "0")
    run("lab", "cut", "--gateways", "1")
    check_golden("commands/tier_lab.json", run.found)


def test_the_tiers_checks_of_disks_end_as_recorded(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    run = Runner(capsys, tier_main, {str(tmp_path): "FOLDER", r"identity [0-9a-f-]{8,}": "identity ID"})

    async def fill() -> None:
        cluster = await stores.Cluster.begin(tmp_path)
        gateway = cluster.gateway()
        await gateway.client.submit(stores.HOST, stores.ROUTE, "lot1", stores.job_body("lot1", 2))
        await gateway.runner.start()
        await stores.read_all(gateway.client, "lot1")
        await gateway.end()
        await cluster.end()

    stores.run(fill())
    pages = [
        json.loads(run("check", "store", str(tmp_path / f"s{n}"), "--json", name="store")) for n in (1, 2, 3)
    ]
    assert run.found["store"]["exit"] == 0
    run.found["store"] = max((shape(page) for page in pages), key=lambda page: len(str(page)))
    acceptor = Acceptor("me")
    state = State(ReplicaSet(0, (Member("me", "10.0.0.1:7721"),)), ControlState(version=4).encode())
    acceptor.install(Proposal(ProposalNumber(3, "p"), state))
    write_journal(tmp_path / "core" / "register", [acceptor.snapshot()])
    run("check", "register", str(tmp_path / "core"))
    told = json.loads(run("check", "register", str(tmp_path / "core"), "--json"))
    run.found["register's values"] = {key: told[key] for key in ("identity", "segments", "records", "facts")}
    (tmp_path / "empty").mkdir()
    run("check", "register", str(tmp_path / "empty"), "--json")
    run("check", "store", str(tmp_path / "empty"), "--json")
    check_golden("commands/tier_disks.json", run.found)


def test_the_tiers_tools_with_control_nodes_end_as_recorded(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    run = Runner(capsys, tier_main, {str(tmp_path): "FOLDER"})
    paths = {}
    for name, document in {
        "two": a_document(2),
        "patch": {"Version": 3, "Remove": {"Routes": ["r-two"]}},
        "bad_patch": {"Version": 4, "Upsert": 1},
    }.items():
        paths[name] = str(tmp_path / f"{name}.json")
        Path(paths[name]).write_text(json.dumps(document))

    def tools(control: str) -> None:
        at = ["--control", control]
        run("config", "get", *at)
        run("config", "put", paths["two"], *at, "--if-match", "0", "--json")
        run("config", "put", paths["two"], *at, "--if-match", "1")
        run("config", "patch", paths["patch"], *at, "--json")
        run("config", "patch", paths["bad_patch"], *at)
        run("config", "get", *at, "--json")
        run("config", "get", *at, "--output", str(tmp_path / "out.json"))
        run("config", "get", *at, "--output", str(tmp_path / "out.json"), "--json")
        run("config", "diff", "live", paths["two"], *at)
        run("status", *at, "--json")
        run("status", *at)
        run("status", *at, "--control", "127.0.0.1:9", "--timeout", "0.3")
        run("nodes", *at, "--json")
        run("nodes", *at, "--role", "gateway")
        run("servers", *at, "--json")
        run("servers", *at)
        run("servers", *at, "--service", "nobody", "--json")
        run("retire", "store-9", *at, "--look")

    async def scenario(cluster: Cluster) -> None:
        async with AFollower(cluster.seeds, "edge-1", NodeRole.GATEWAY) as gateway:
            cluster_state = cluster.node(0).cluster_state
            beat = await cluster.http(0, "PUT", "/v1/instances/i-1", a_heartbeat(1))
            assert beat.status == 200
            await eventually(lambda: "i-1" in gateway.servers and len(cluster_state.live_nodes(now())) == 4)
            await asyncio.to_thread(tools, f"127.0.0.1:{cluster.outer[0]}")

    on_cluster(scenario)
    check_golden("commands/tier_control.json", run.found)


def test_the_tiers_tools_with_stores_end_as_recorded(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    run = Runner(capsys, tier_main, {str(tmp_path): "FOLDER"})

    async def scenario() -> None:
        cluster = await stores.Cluster.begin(tmp_path)
        gateway = cluster.gateway()
        await gateway.client.submit(stores.HOST, stores.ROUTE, "lot1", stores.job_body("lot1", 2))
        nodes = [
            {"Name": fact.name, "Role": "store", "Address": fact.address, "Zone": fact.zone, "Leaving": False}
            for fact in cluster.world.facts.values()
        ]
        page = json.dumps({"Node": "core-1", "MajorityAgeS": 0.1, "ConfigurationVersion": 3, "Nodes": nodes})

        async def control(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(page)}\r\nConnection: close\r\n\r\n"
            writer.write(head.encode() + page.encode())
            await writer.drain()
            writer.close()

        port = free_port()
        server = await asyncio.start_server(control, "127.0.0.1", port)
        try:
            for words in (["lots", "list"], ["lots", "shards"]):
                await asyncio.to_thread(run, *words, "--control", f"127.0.0.1:{port}", "--json")
        finally:
            server.close()
            await gateway.end()
            await cluster.end()

    stores.run(scenario())
    check_golden("commands/tier_stores.json", run.found)


def test_the_report_of_a_trial_has_the_recorded_form() -> None:
    trial = TrialReport(
        started_s=1.234,
        faults=(Fault("killed", "core-1", 2.5), Fault("killed", "store-1", None)),
        tallies={
            "explain": Tally(
                sent=3,
                served=2,
                attempts=4,
                failures=Counter({"refused": 1}),
                first_event_delays_s=[0.25, 0.5],
            )
        },
        jobs=(),
        violations=(Violation("rule", "id-1", "what was seen"),),
        exit_codes={"core-1": 0, "store-1": None},
        logs={},
    )
    check_golden("commands/tier_trial.json", trial_document(trial))


# ------------------------------------------------------------------ the node's tools


def inlined(schema: dict[str, Any]) -> Any:
    """Return a JSON Schema without class names and descriptions: each reference is replaced by its definition."""
    definitions = schema.get("$defs", {})

    def follow(value: Any, within: tuple[str, ...], names: bool) -> Any:
        """Inline references recursively; with `names`, the keys of this object are property names."""
        if isinstance(value, list):
            return [follow(item, within, False) for item in value]
        if not isinstance(value, dict):
            return value
        reference = None if names else value.get("$ref")
        if reference is not None:
            name = reference.rpartition("/")[2]
            assert name not in within, "a schema that contains itself"
            return follow(definitions[name], (*within, name), False)
        dropped = () if names else ("title", "description", "$defs")
        return {
            key: follow(item, within, not names and key == "properties")
            for key, item in value.items()
            if key not in dropped
        }

    return follow(schema, (), False)


def test_the_nodes_tools_end_as_recorded(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    run = Runner(capsys, node_main, {str(tmp_path): "FOLDER", str(GOOD): "GOOD"})
    catalogue, application, whole = (
        str(GOOD / f"{n}.toml") for n in ("catalogue", "application", "configuration")
    )
    absent, wrong, written = (str(tmp_path / name) for name in ("absent.toml", "wrong.toml", "written.toml"))
    Path(wrong).write_text('kind = "catalogue"\nversion = 1\nname = 3\nnosuch = 1\n')
    run("config", "write", catalogue, application)
    run("config", "write", catalogue, application, "--output", written)
    run("config", "write", catalogue, absent)
    run("config", "write", application, catalogue)
    limit = ["--descriptors", "4096"]
    for file in (catalogue, wrong, absent):
        run("config", "check", file, *limit)
        run("config", "check", file, *limit, "--json")
    run("config", "check", catalogue, application, *limit, "--json")
    run("config", "explain", catalogue, application)
    run("config", "explain", catalogue, application, "--json")
    run("config", "explain", catalogue, application, "nosuch")
    run("config", "drift", whole)
    run("config", "drift", whole, whole)
    run("config", "drift", whole, written, "--all")
    run("config", "drift", whole, written, "--json")
    run("config", "drift", whole, "127.0.0.1:9")
    for kind in ("application", "catalogue", "configuration"):
        run.found[f"schema of {kind}"] = inlined(json.loads(run("config", "schema", kind)))
        del run.found[f"config schema {kind}"]["stdout"]
    run("sidecar", absent)
    run("sidecar", wrong)
    run("budgets", "127.0.0.1:9")
    run("budgets", "nowhere")
    run("xds", "watch", "127.0.0.1:9", "cluster-1", "--seconds", "0.2")
    run("lab", "check", absent)
    run("lab", "check", "bursts")
    run("lab", "run", absent)
    run("lab", "compare", absent, absent)
    run("lab", "report", absent)
    run("try", "--seconds", "1")
    for words in ([], ["nosuch"], ["config"], ["config", "schema", "nosuch"], ["budgets"], ["sidecar"]):
        run(*words)
    check_golden("commands/node_alone.json", run.found)


def test_the_nodes_tools_beside_a_sidecar_end_as_recorded(capsys: pytest.CaptureFixture[str]) -> None:
    run = Runner(capsys, node_main, {})

    async def scenario() -> None:
        (box,) = boxes(1)
        async with running(box, budget={}) as sidecar:
            assert sidecar.admin is not None
            admin = "{}:{}".format(*sidecar.admin.server.address)

            def tools() -> None:
                page = json.loads(run("budgets", "--json", admin, name="budgets"))
                run.found["budgets"]["json"] = shape(page[admin])
                run("budgets", admin)
                run("config", "drift", admin, admin, "--json")

            await asyncio.to_thread(tools)

    asyncio.run(scenario())
    check_golden("commands/node_sidecar.json", run.found)
