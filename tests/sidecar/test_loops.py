"""Loops that files make together are found before anything runs."""

from __future__ import annotations

from pathlib import Path

import pytest

from loadbalancer.cli import main
from loadbalancer.cli.config import check_files
from loadbalancer.sidecar.toml import dumps

LIMIT = {"aim_ms": 1000, "give_up_ms": 2500}


def configuration(folder: Path, name: str, port: int, to: dict[str, int], **more) -> str:
    """A configuration with a pool for each name, whose one server is at that port."""
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


def found(paths: list[str]) -> list[tuple[str, str, str]]:
    documents, _ = check_files(paths, 65536)
    return [
        (Path(item.file).stem, item.path, item.wrong) for document in documents for item in document.mistakes
    ]


def test_two_sidecars_that_list_each_other_are_one_mistake_with_the_whole_way(tmp_path):
    one = configuration(tmp_path, "one", 7001, {"two": 7002})
    two = configuration(tmp_path, "two", 7002, {"one": 7001, "boxes": 7100})
    ((stem, path, wrong),) = found([one, two])
    assert (stem, path) == ("two", "pools[one].list.servers[s].address")
    assert wrong == f"requests come back to where they were: {one} -> {two} -> {one}"
    assert found([one]) == found([two]) == []


def test_a_way_round_through_what_applications_serve_is_found(tmp_path):
    one = configuration(tmp_path, "one", 7001, {"post": 7100}, serves=["front"])
    two = configuration(tmp_path, "two", 7002, {"archive": 7200}, serves=["post"])
    three = configuration(tmp_path, "three", 7003, {"front": 7300}, serves=["archive"])
    ((_, path, wrong),) = found([one, two, three])
    assert path.startswith("serves[0]")
    assert wrong.count(" -> ") == 3
    assert found([one, two]) == []


def test_an_application_whose_boxes_are_of_the_pool_that_it_calls_is_found(tmp_path):
    one = configuration(tmp_path, "one", 7001, {"post": 7100}, serves=["post"])
    ((_, path, _),) = found([one])
    assert path == "serves[0]"


def test_where_coming_back_is_meant_it_is_no_mistake(tmp_path):
    one = configuration(tmp_path, "one", 7001, {"post": 7100}, serves=["post"], budget={"revisits": 1})
    assert found([one]) == []


def test_a_description_is_held_against_the_others_by_its_catalogue(tmp_path):
    good = Path(__file__).parent / "good"
    mine = tmp_path / "mine.toml"
    text = (good / "application.toml").read_text()
    mine.write_text(text.replace('tenant = "hotels"\n', 'tenant = "hotels"\nserves = ["ledger-post"]\n'))
    rows = found([str(mine), str(good / "catalogue.toml")])
    assert [(stem, path) for stem, path, _ in rows] == [("mine", "serves[0]")]


@pytest.mark.parametrize("size", [2, 7, 40])
def test_chains_without_an_end_are_found_and_chains_with_one_are_not(tmp_path, size):
    names = [f"n{at}" for at in range(size)]
    ports = {name: 7001 + at for at, name in enumerate(names)}

    def chain(closed: bool) -> list[str]:
        paths = []
        for at, name in enumerate(names):
            last = at == size - 1
            to = {"boxes": 9000} if last and not closed else {"next": ports[names[(at + 1) % size]]}
            paths.append(configuration(tmp_path, name, ports[name], to))
        return paths

    assert len(found(chain(True))) == 1
    assert found(chain(False)) == []


def test_the_command_tells_it_and_ends_with_1(tmp_path, capsys):
    one = configuration(tmp_path, "one", 7001, {"two": 7002})
    two = configuration(tmp_path, "two", 7002, {"one": 7001})
    assert main(["config", "check", one, two]) == 1
    assert "requests come back to where they were" in capsys.readouterr().out
