"""Stored results, their comparison and report, and the `lab` command."""

from __future__ import annotations

import re
from pathlib import Path
from typing import Any

import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st
from laboratory import plan

from loadbalancer.cli import main
from loadbalancer.experiments import engine, policies, results
from loadbalancer.experiments.compare import CompareError, compare, interval
from loadbalancer.experiments.recorder import FLUSH_COUNT, Latencies
from loadbalancer.experiments.report import PLOTS

TEXT = """kind = "experiment"
version = 1
name = "tiny"
seconds = 0.5
warm_s = 0.1
seeds = [1, 2, 3]
[fleet]
servers = 3
nodes = 1
[load]
of_capacity = 0.5
[[policies]]
name = "ours"
[[policies]]
name = "random"
pick = "random"
[[sweep]]
set = "load.of_capacity"
values = [0.4, 0.6]
"""


@pytest.fixture
def file(tmp_path: Path) -> Path:
    path = tmp_path / "tiny.toml"
    path.write_text(TEXT)
    return path


def test_a_stopped_sweep_is_resumed_and_stored_results_are_never_overwritten(file, tmp_path, capsys):
    kept = tmp_path / "kept"
    assert main(["lab", "run", str(file), "--results", str(kept), "--cores", "1"]) == 0
    names = sorted(path.name for path in kept.iterdir())
    assert len(names) == 12  # two values, two policies, three seeds
    stamps = {name: (kept / name / "figures.json").stat().st_mtime_ns for name in names}
    gone, half = names[0], names[1]
    for path in (kept / gone).iterdir():
        path.unlink()
    (kept / gone).rmdir()
    (kept / f".{half}.1").mkdir()  # a partial folder of a run that was killed while writing
    before = (kept / half / "figures.json").read_bytes()
    assert main(["lab", "run", str(file), "--results", str(kept), "--cores", "2"]) == 0
    assert sorted(path.name for path in kept.iterdir() if path.name[0] != ".") == names
    assert (kept / half / "figures.json").read_bytes() == before
    again = {name: (kept / name / "figures.json").stat().st_mtime_ns for name in names if name != gone}
    assert again == {name: stamp for name, stamp in stamps.items() if name != gone}
    with pytest.raises(results.ResultError, match="never overwritten"):
        results.write_run(kept / half, {}, {})
    capsys.readouterr()
    # Two policies of one folder are paired by seed and swept value; a side compared with itself shows no difference.
    assert main(["lab", "compare", str(kept), str(kept), "--policies", "ours", "random"]) == 0
    assert "0.4" in capsys.readouterr().out
    assert main(["lab", "compare", str(kept), str(kept), "--policies", "ours", "ours"]) == 0
    assert "no difference beyond chance" in capsys.readouterr().out
    page = tmp_path / "page.html"
    assert main(["lab", "report", str(kept), "--to", str(page)]) == 0
    text = page.read_text()
    assert text.count("<svg") == 2 * len(PLOTS)  # for each swept value
    assert not [link for link in re.findall(r"(?:href|src)=\"([^\"]*)", text) if not link.startswith("#")]
    assert all(word in text for word in ("tiny", "random", "load.of_capacity"))
    assert main(["lab", "report", str(tmp_path / "nowhere"), "--to", str(page)]) == 2
    capsys.readouterr()
    assert main(["lab", "compare", str(kept), str(kept)]) == 2  # two policies a side
    assert "name one policy a side" in capsys.readouterr().err


@pytest.mark.parametrize(
    ("old_text", "new_text", "message"),
    [
        ("of_capacity = 0.5", "of_capacity = -1.0", "tiny.toml:11"),
        ("of_capacity = 0.5", "", "an open loop needs either"),
        ('pick = "random"', 'pick = "best"', "tiny.toml:16"),
        ("warm_s = 0.1", "warm_s = 3", "warm_s must be less than seconds"),
        ("seeds = [1, 2, 3]", "seeds = [1, 1]", "seeds: duplicate seed"),
        ('set = "load.of_capacity"', 'set = "load.speed"', "'load.speed' is not a key"),
        ("[fleet]", '[[troubles]]\nkind = "partition"\nat_s = 1\n[fleet]', "needs a zone"),
        ("seconds = 0.5", "seconds = 0.5\nspeed = 1", "tiny.toml:5: speed"),
        ('kind = "experiment"', 'kind = "catalogue"', "tiny.toml:1"),
        ('name = "tiny"', "name = ", "is not TOML"),
    ],
)
def test_a_mistake_is_reported_with_its_place_and_nothing_is_run(
    old_text, new_text, message, file, tmp_path, capsys
):
    assert old_text in TEXT
    file.write_text(TEXT.replace(old_text, new_text, 1))
    assert main(["lab", "check", str(file)]) == 2
    assert message in capsys.readouterr().err
    assert main(["lab", "run", str(file), "--results", str(tmp_path / "kept")]) == 2
    assert not (tmp_path / "kept").exists()


def test_a_policy_that_raises_fails_its_run_with_its_name_and_stores_nothing(tmp_path, monkeypatch):
    def pick(self, new_text, out, among):
        raise ZeroDivisionError("of its own")

    monkeypatch.setattr(policies.RoundRobin, "pick", pick)
    (job,) = results.jobs(plan(seeds=[1], policies=[{"name": "turns", "pick": "round_robin"}]))
    with pytest.raises(engine.RunError, match=r"t-turns-seed1.*ZeroDivisionError: of its own"):
        engine.run_and_store(job, tmp_path)
    assert not list(tmp_path.iterdir())


def run_of(goodput: float, seed: int, policy: str = "ours", **more: Any) -> results.Run:
    (job,) = results.jobs(plan(seeds=[seed], policies=[{"name": policy}], **more))
    return results.Run(
        Path(f"{seed}"), results.manifest(job, "none", 0.0), {"goodput": goodput, "classes": {}}
    )


def test_runs_of_other_experiments_and_seeds_are_not_compared_and_few_seeds_are_inconclusive():
    mine = [run_of(0.9, seed) for seed in (1, 2, 3)]
    with pytest.raises(CompareError, match="no runs of the two sides"):
        compare(mine, [run_of(0.9, seed, seconds=8.0) for seed in (1, 2, 3)])
    with pytest.raises(CompareError, match="no runs of the two sides"):
        compare(mine, [run_of(0.9, seed) for seed in (4, 5)])
    (rows,) = compare(mine, [run_of(0.8, seed) for seed in (1, 2)]).values()
    assert rows[0].words == "too few seeds to say (2)"
    (rows,) = compare(mine, [run_of(0.8, seed) for seed in (1, 2, 3)]).values()
    assert rows[0].beyond_chance
    (rows,) = compare(mine, [run_of(value, seed) for seed, value in enumerate((0.8, 0.9, 1.0), 1)]).values()
    assert rows[0].words == "no difference beyond chance"


@given(st.lists(st.floats(-10, 10), min_size=3, max_size=20))
def test_an_interval_holds_the_mean_and_is_the_same_each_time(values):
    low, high = interval(values)
    assert low - 1e-9 <= sum(values) / len(values) <= high + 1e-9
    assert interval(values) == (low, high)


def test_latencies_use_bounded_memory_and_percentiles_have_three_significant_digits():
    found = Latencies()
    for at in range(FLUSH_COUNT * 3 + 7):
        found.add((at % 1000) + 1.0)
        assert len(found._buffer) <= FLUSH_COUNT
    row = found.row()
    assert row["count"] == FLUSH_COUNT * 3 + 7
    assert row["p99"] == pytest.approx(990.0, rel=2e-3)
    assert orjson.dumps(row)


def test_an_unreadable_result_is_reported_with_its_folder(tmp_path):
    for content in (b"{}", b"not json"):
        (tmp_path / "manifest.json").write_bytes(content)
        (tmp_path / "figures.json").write_bytes(b"{}")
        with pytest.raises(results.ResultError, match=tmp_path.name):
            list(results.runs(tmp_path))
    with pytest.raises(results.ResultError, match="holds no runs"):
        list(results.runs(tmp_path / "nowhere"))


def test_recovery_after_a_trouble_is_reported_by_load(file, capsys):
    command = ["lab", "returns", str(file), "--repeats", "0", "--cores", "1", "--policy", "random"]
    assert main([*command, "--loads", "0.1", "--trouble", "a third silent"]) == 0
    assert "a third silent" in capsys.readouterr().out
    assert main([*command, "--trouble", "a flood"]) == 2
    assert "has no trouble 'a flood'" in capsys.readouterr().err
    with pytest.raises(SystemExit):
        main([*command, "--loads", "0"])
    assert "over 0 and at most 100" in capsys.readouterr().err
