"""Routing loops across several files are found by the check of the files."""

from __future__ import annotations

from pathlib import Path

import pytest

from loadbalancer.cli import main
from loadbalancer.cli.config import check_files
from loadbalancer.sidecar.toml import dumps

LIMIT = {"aim_ms": 1000, "give_up_ms": 2500}


def configuration(folder: Path, name: str, port: int, to: dict[str, int], **more) -> str:
    """Write a configuration with one pool for each name; its only server listens on that port."""
    data = {
        "kind": "configuration",
        "version": 1,
        "name": name,
        "listeners": [{"name": "application", "address": f"127.0.0.1:{port}"}],
        "pools": [
            {
                "name": pool,
                "list": {"source": "static", "servers": [{"id": "s", "address": f"127.0.0.1:{at}"}]},
            }
            for pool, at in to.items()
        ],
        "classes": [{"name": f"ask-{pool}", "pool": pool, "effect": "safe"} | LIMIT for pool in to],
        "routes": [{"class": f"ask-{pool}", "path": f"/{pool}/**"} for pool in to],
    }
    path = folder / f"{name}.toml"
    path.write_text(dumps(data | more, {}))
    return str(path)


def mistakes_in(paths: list[str]) -> list[tuple[str, str, str]]:
    documents, _ = check_files(paths, 65536)
    return [
        (Path(item.file).stem, item.path, item.wrong) for document in documents for item in document.mistakes
    ]


def test_two_sidecars_that_list_each_other_give_one_mistake_with_the_full_loop(tmp_path):
    one = configuration(tmp_path, "one", 7001, {"two": 7002})
    two = configuration(tmp_path, "two", 7002, {"one": 7001, "boxes": 7100})
    ((stem, path, wrong),) = mistakes_in([one, two])
    assert (stem, path) == ("two", "pools[one].list.servers[s].address")
    assert wrong == f"requests loop: {one} -> {two} -> {one}"
    assert mistakes_in([one]) == mistakes_in([two]) == []


def test_a_loop_through_served_pools_is_found(tmp_path):
    one = configuration(tmp_path, "one", 7001, {"post": 7100}, serves=["front"])
    two = configuration(tmp_path, "two", 7002, {"archive": 7200}, serves=["post"])
    three = configuration(tmp_path, "three", 7003, {"front": 7300}, serves=["archive"])
    ((_, path, wrong),) = mistakes_in([one, two, three])
    assert path.startswith("serves[0]")
    assert wrong.count(" -> ") == 3
    assert mistakes_in([one, two]) == []


def test_an_application_that_calls_the_pool_it_serves_is_a_loop(tmp_path):
    one = configuration(tmp_path, "one", 7001, {"post": 7100}, serves=["post"])
    ((_, path, _),) = mistakes_in([one])
    assert path == "serves[0]"


def test_revisits_in_the_budget_allow_a_loop(tmp_path):
    one = configuration(tmp_path, "one", 7001, {"post": 7100}, serves=["post"], budget={"revisits": 1})
    assert mistakes_in([one]) == []


def test_a_description_is_resolved_through_its_catalogue(tmp_path):
    good = Path(__file__).parent / "good"
    mine = tmp_path / "mine.toml"
    text = (good / "application.toml").read_text()
    mine.write_text(text.replace('tenant = "hotels"\n', 'tenant = "hotels"\nserves = ["ledger-post"]\n'))
    rows = mistakes_in([str(mine), str(good / "catalogue.toml")])
    assert [(stem, path) for stem, path, _ in rows] == [("mine", "serves[0]")]


@pytest.mark.parametrize("size", [2, 7, 40])
def test_closed_chains_are_loops_and_open_chains_are_not(tmp_path, size):
    names = [f"n{at}" for at in range(size)]
    ports = {name: 7001 + at for at, name in enumerate(names)}

    def chain(closed: bool) -> list[str]:
        paths = []
        for at, name in enumerate(names):
            last = at == size - 1
            to = {"boxes": 9000} if last and not closed else {"next": ports[names[(at + 1) % size]]}
            paths.append(configuration(tmp_path, name, ports[name], to))
        return paths

    assert len(mistakes_in(chain(True))) == 1
    assert mistakes_in(chain(False)) == []


def test_the_command_reports_a_loop_and_exits_with_1(tmp_path, capsys):
    one = configuration(tmp_path, "one", 7001, {"two": 7002})
    two = configuration(tmp_path, "two", 7002, {"one": 7001})
    assert main(["config", "check", one, two]) == 1
    assert "requests loop: " in capsys.readouterr().out
