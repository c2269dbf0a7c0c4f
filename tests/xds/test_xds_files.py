"""Resources in files: a file is accepted completely or rejected, also while it is being written."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import subprocess
import sys
import tempfile
from pathlib import Path

import pytest
import yaml
from beside import application, boxes, configuration, configuration_data
from loopback import until

from loadbalancer.cli import main
from loadbalancer.emulator.xds import ControlPlane, cluster, endpoints
from loadbalancer.runtime.sidecar import Sidecar
from loadbalancer.xds.files import FileClient, FileError, parse
from loadbalancer.xds.resources import CLUSTER, ENDPOINTS

ROOT = Path(__file__).parent.parent.parent


def lb_groups(*ports: int, **more) -> list[dict]:
    rows = [
        {"endpoint": {"address": {"socket_address": {"address": "127.0.0.1", "port_value": port}}}} | more
        for port in ports
    ]
    return [{"lb_endpoints": rows}]


def static(*ports: int, **more) -> dict:
    item = {
        "name": "ledger",
        "type": "STATIC",
        "load_assignment": {"cluster_name": "ledger", "endpoints": lb_groups(*ports)},
    }
    return {"static_resources": {"clusters": [item | more]}}


def eds(path: str) -> dict:
    config = {"eds_config": {"path_config_source": {"path": path}}}
    item = {"name": "ledger", "type": "EDS", "eds_cluster_config": config}
    return {"static_resources": {"clusters": [item]}}


def assignment(*ports: int, version: str = "1", **more) -> dict:
    resource = {"@type": ENDPOINTS, "cluster_name": "ledger", "endpoints": lb_groups(*ports, **more)}
    return {"version_info": version, "resources": [resource]}


def replace_file(path: Path, data: dict) -> None:
    new = path.with_suffix(".new")
    new.write_text(json.dumps(data) if path.suffix == ".json" else yaml.safe_dump(data))
    os.replace(new, path)


def client_of(path: Path) -> FileClient:
    return FileClient(str(path), "ledger", lambda: 0.0, lambda: None)


def ports(client: FileClient) -> list[int] | None:
    served = client.served("ledger")
    return None if served is None else [entry.endpoint[1] for entry in served.entries]


@pytest.mark.parametrize("suffix", [".json", ".yaml"])
def test_changes_of_a_static_cluster_in_a_bootstrap_are_applied(tmp_path, suffix):
    path = tmp_path / f"bootstrap{suffix}"
    replace_file(path, static(7001, 7002))
    client = client_of(path)
    assert client.poll()
    assert ports(client) == [7001, 7002]
    assert not client.poll()
    replace_file(path, static(7003))
    assert client.poll()
    assert ports(client) == [7003]
    replace_file(path, {"static_resources": {"clusters": []}})
    assert client.poll()
    assert ports(client) == []


def test_endpoints_of_a_path_config_source_are_read_from_their_own_file(tmp_path):
    replace_file(tmp_path / "boot.yaml", eds("eds.json"))
    client = client_of(tmp_path / "boot.yaml")
    assert not client.poll()
    assert ports(client) is None  # inactive until the endpoints are available
    replace_file(tmp_path / "eds.json", assignment(7001))
    assert client.poll()
    assert ports(client) == [7001]
    replace_file(tmp_path / "eds.json", assignment(7002, version="2"))
    assert client.poll()
    assert ports(client) == [7002]
    assert {row["version"] for row in client.rows(0.0)} == {"", "2"}


def test_the_last_valid_file_stays_active_while_the_file_is_missing_invalid_or_truncated(tmp_path):
    path = tmp_path / "boot.json"
    replace_file(path, static(7001))
    client = client_of(path)
    client.poll()
    complete = json.dumps(static(7002))
    for text in (
        complete[:40],
        "",
        "[]",
        "{}}",
        json.dumps(static(7002, lb_policy="MAGLEV")),
        '{"static_resources": 3}',
    ):
        path.write_text(text)
        assert not client.poll(), text
        assert ports(client) == [7001]
        assert client.rows(0.0)[0]["rejected"]
    path.unlink()
    assert not client.poll()
    assert ports(client) == [7001]
    replace_file(path, static(7002))
    assert client.poll()
    assert (ports(client), client.rows(0.0)[0]["rejected"]) == ([7002], None)


@pytest.mark.parametrize("suffix", [".json", ".yaml"])
def test_corrupted_files_are_rejected_or_contain_only_valid_endpoints(tmp_path, suffix):
    path = tmp_path / f"boot{suffix}"
    good = json.dumps(static(7001)) if suffix == ".json" else yaml.safe_dump(static(7001))
    rng = random.Random(5)
    accepted = 0
    for _ in range(2000):
        raw = bytearray(good.encode())
        for _ in range(rng.randint(1, 4)):
            at = rng.randrange(len(raw))
            if rng.random() < 0.5:
                raw[at] = rng.randrange(256)
            else:
                del raw[at : at + rng.randint(1, 60)]
                raw = raw or bytearray(b"x")
        with contextlib.suppress(FileError):
            resources = parse(raw.decode("utf-8", "replace"), str(path))
            accepted += 1
            assert all(
                entry.endpoint[0] for item in resources.clusters.values() for entry in item.assignment.entries
            )
    assert accepted < 1000


def test_a_pool_takes_its_servers_and_drains_from_a_file():
    async def main(folder: Path):
        one, two = boxes(2)
        path = folder / "boot.yaml"
        for box in (one, two):
            await box.start()
        box_ports = [int(box.endpoint.rpartition(":")[2]) for box in (one, two)]
        replace_file(path, static(*box_ports))
        source = {"source": "xds", "path": str(path), "cluster": "ledger"}
        sidecar = Sidecar(configuration(configuration_data(pools=[{"name": "boxes", "list": source}])))
        await sidecar.start()
        try:
            await until(lambda: sidecar.ready)
            app = application(sidecar)
            assert {(await app.ask("GET", "/x")).status for _ in range(10)} == {200}
            replace_file(path, static(box_ports[1]))
            await until(lambda: sidecar.pools["boxes"].up == {two.endpoint})
            taken_before = one.taken
            for _ in range(10):
                assert (await app.ask("GET", "/x")).headers[b"x-box"] == b"box-1"
            assert one.taken == taken_before
            path.write_text("static_resources: [")
            feed = sidecar.managed_pools["boxes"].watcher
            await until(lambda: feed.client.rejected)
            assert (await app.ask("GET", "/x")).status == 200
        finally:
            sidecar.close()
            one.stop()
            two.stop()

    with tempfile.TemporaryDirectory() as folder:
        asyncio.run(main(Path(folder)))


def test_config_check_reads_resource_files_like_the_sidecar(tmp_path, capsys):
    good, bad = tmp_path / "good.yaml", tmp_path / "bad.json"
    replace_file(good, static(7001))
    bad.write_text(json.dumps(static(7001, lb_policy="RING_HASH"), indent=1))
    assert main(["config", "check", str(good)]) == 0
    assert main(["config", "check", str(good), str(bad)]) == 1
    printed = capsys.readouterr().out
    assert printed.startswith(f"{bad}:5: ledger.lb_policy: RING_HASH binds requests to servers")
    cut = tmp_path / "cut.yaml"
    cut.write_text("a: 1\nstatic_resources: [\n")
    assert main(["config", "check", str(cut)]) == 1
    assert f"{cut}:3: the file: is not YAML" in capsys.readouterr().out


def test_watch_prints_the_updates_of_a_control_plane():
    async def main():
        plane = await ControlPlane().start()
        plane.put(
            cluster("ledger"), endpoints("ledger", {"address": "127.0.0.1:7001", "health_status": "DRAINING"})
        )
        command = [
            sys.executable,
            "-m",
            "loadbalancer.cli",
            "xds",
            "watch",
            plane.endpoint,
            "ledger",
            "--seconds",
            "3",
        ]
        process = await asyncio.create_subprocess_exec(*command, cwd=ROOT, stdout=subprocess.PIPE)
        out, _ = await process.communicate()
        assert process.returncode == 0
        assert b"ledger: 1 endpoints" in out
        assert b"127.0.0.1:7001  draining  weight 1  priority 0" in out
        assert {asked.request.type_url for asked in plane.asked} == {CLUSTER, ENDPOINTS}
        await plane.stop()

    asyncio.run(main())
