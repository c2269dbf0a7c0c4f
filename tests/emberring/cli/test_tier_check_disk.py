"""The offline disk checks: valid records are counted, damage is reported, and nothing is written."""

from __future__ import annotations

import asyncio
import json
import struct
from collections.abc import Callable
from pathlib import Path

import attrs
import pytest
import typer

from emberring.cli.app import main
from emberring.cli.disk_reports import report_register, report_store
from emberring.cli.simulator_checks import run_check
from emberring.configuration.state import ControlState
from emberring.jobs.records import Record, Term
from emberring.jobs.replica_log import Promised, Written, encode_entry
from emberring.journal.journal import Journal
from emberring.journal.layout import SEGMENT_HEADER_BYTES
from emberring.journal.scan import scan_journal
from emberring.register.acceptor import Acceptor
from emberring.register.model import Member, Proposal, ProposalNumber, ReplicaSet, State
from emberring.store.disk import JOURNAL_FOLDER
from emberring.store.identity import create_identity

SEGMENT_BYTES = 4096


def write_journal(folder: Path, payloads: list[bytes]) -> None:
    folder.mkdir(parents=True, exist_ok=True)

    async def write() -> None:
        journal, _ = Journal.open(folder, SEGMENT_BYTES, 40 * SEGMENT_BYTES)
        for payload in payloads:
            await journal.append(payload)
        await journal.close()

    asyncio.run(write())


def segment_files(folder: Path) -> list[Path]:
    """Return the files of the segments in use, oldest first."""
    return [folder / segment.file for segment in scan_journal(folder).segments]


def flip_byte(path: Path, offset: int) -> None:
    data = bytearray(path.read_bytes())
    data[offset] ^= 0xFF
    path.write_bytes(data)


PAYLOADS = [bytes([number]) * 700 for number in range(20)]


@pytest.fixture
def journal(tmp_path):
    folder = tmp_path / "journal"
    write_journal(folder, PAYLOADS)
    return folder


def test_an_undamaged_journal_has_no_damages(journal):
    scan = scan_journal(journal)
    assert [record.payload for record in scan.records] == PAYLOADS
    assert len(scan.segments) > 2
    assert [segment.number for segment in scan.segments] == list(range(len(scan.segments)))
    assert scan.damages == ()


def test_a_torn_last_record_is_not_reported_as_damage(journal):
    newest_file = segment_files(journal)[-1]
    end = scan_journal(journal).segments[-1].end
    flip_byte(newest_file, end - 1)
    scan = scan_journal(journal)
    assert scan.damages == ()
    assert [record.payload for record in scan.records] == PAYLOADS[:-1]


def damage_record(folder: Path) -> None:
    flip_byte(segment_files(folder)[1], SEGMENT_HEADER_BYTES + 20)


def remove_segment(folder: Path) -> None:
    segment_files(folder)[1].unlink()


def damage_header(folder: Path) -> None:
    flip_byte(segment_files(folder)[1], 20)


def change_format_version(folder: Path) -> None:
    path = segment_files(folder)[1]
    data = bytearray(path.read_bytes())
    data[8:12] = struct.pack("<I", 77)
    path.write_bytes(data)


@pytest.mark.parametrize(
    ("damage", "message"),
    [
        (damage_record, "are damaged"),
        (remove_segment, "segments 1 to 1 are missing"),
        (damage_header, "header is damaged"),
        (change_format_version, "format version 77"),
    ],
)
def test_damage_is_reported_and_the_rest_is_read(damage: Callable[[Path], None], message, journal):
    damage(journal)
    before = {path.name: path.read_bytes() for path in journal.iterdir()}
    scan = scan_journal(journal)
    assert any(message in line for line in scan.damages)
    assert PAYLOADS[-1] in [record.payload for record in scan.records]
    assert len(scan.records) < len(PAYLOADS)
    assert {path.name: path.read_bytes() for path in journal.iterdir()} == before


TERM = Term(1, 1, "me")


def entry(key: str, slot: int, value: bytes = b"v") -> bytes:
    return encode_entry(3, 1.0, Written(TERM, (Record(key, slot, 0, value),)))


@pytest.fixture
def store(tmp_path):
    directory = tmp_path / "store"
    directory.mkdir()
    create_identity(directory)
    entries = [encode_entry(3, 1.0, Promised(TERM)), entry("h/a", -1), entry("h/a", 0), entry("h/a", 1)]
    write_journal(directory / JOURNAL_FOLDER, [*entries, entry("h/b", -1), entry("h/a", -2)])
    return directory


def test_a_store_is_reported_by_shard(store, capsys):
    report = report_store(store)
    assert report.damages == ()
    assert report.records == 6
    (shard,) = report.facts["Shards"]
    assert shard == {
        "Shard": 3,
        "Promised": "1.1",
        "Lots": 2,
        "WithDefinition": 2,
        "Results": 2,
        "Ended": 1,
        "Forgotten": 0,
    }
    assert main(["check", "store", str(store)]) == 0
    assert "Lots 2" in capsys.readouterr().out
    assert main(["check", "store", str(store), "--json"]) == 0
    assert json.loads(capsys.readouterr().out)["records"] == 6


def test_a_damaged_identity_and_an_unknown_entry_are_reported(store, capsys):
    write_journal(store / JOURNAL_FOLDER, [b"\x09nonsense"])
    (store / "identity").write_text("abc 00000000\n")
    assert main(["check", "store", str(store)]) == 1
    output = capsys.readouterr()
    assert "identity is damaged" in output.err
    assert "segment 0, offset" in output.err
    assert "Lots 2" in output.out
    (store / "identity").unlink()
    assert any("missing" in line for line in report_store(store).damages)


def test_a_register_is_reported(tmp_path, capsys):
    directory = tmp_path / "core"
    acceptor = Acceptor("me")
    member = Member("me", "10.0.0.1:7721")
    state = State(ReplicaSet(0, (member,)), ControlState(version=4).encode())
    records = [acceptor.snapshot()]
    acceptor.install(Proposal(ProposalNumber(3, "p"), state))
    records.append(acceptor.snapshot())
    write_journal(directory / "register", records)
    for path in (directory, directory / "register"):
        report = report_register(path)
        assert report.damages == ()
        assert report.identity == "me"
        assert report.facts["ConfigurationVersion"] == 4
        assert report.facts["Accepted"] == "3 by p"
        assert report.facts["Replicas"] == ["me at 10.0.0.1:7721"]
    assert main(["check", "register", str(directory)]) == 0
    assert "ConfigurationVersion: 4" in capsys.readouterr().out
    write_journal(directory / "register", [b"nonsense"])
    assert main(["check", "register", str(directory)]) == 1


@pytest.mark.parametrize("kind", ["store", "register"])
def test_a_missing_folder_is_unusable_input(kind, tmp_path, capsys):
    assert main(["check", kind, str(tmp_path / "none")]) == 2
    assert "No such file" in capsys.readouterr().err


@attrs.frozen
class FakeSchedule:
    """A schedule with a seed and its steps."""

    seed: int
    steps: tuple[int, ...]


@attrs.frozen
class FakeVerdict:
    """A verdict that counts as failed if it has violations."""

    schedule: FakeSchedule
    violations: tuple[str, ...] = ()
    events: int = 10


def verdicts(*failing_seeds: int) -> list[FakeVerdict]:
    return [
        FakeVerdict(FakeSchedule(seed, tuple(range(seed))), ("oops",) if seed in failing_seeds else ())
        for seed in (5, 4, 3)
    ]


def test_a_simulated_check_ends_with_1_and_shows_the_shortest_schedule_first(capsys):
    def describe(verdict: FakeVerdict) -> str:
        return f"schedule of {verdict.schedule.seed}"

    run_check("x", verdicts(), lambda verdict: verdict, describe, 3, as_json=False)
    assert "x: 3 schedules, 30 events, 0 wrong" in capsys.readouterr().out
    with pytest.raises(typer.Exit) as caught:
        run_check("x", verdicts(5, 3), lambda verdict: verdict, describe, 3, as_json=True)
    assert caught.value.exit_code == 1
    found = json.loads(capsys.readouterr().out)
    assert found["WrongSeeds"] == [5, 3]
    assert found["Shortest"] == ["schedule of 3", "schedule of 5"]


@pytest.mark.parametrize("jobs", ["1", "2"])
@pytest.mark.parametrize("what", ["register", "lots", "control"])
def test_a_simulator_runs_from_the_command_line(what, jobs, capsys):
    assert main(["check", what, "--seeds", "2", "--first", "7", "--jobs", jobs, "--json"]) == 0
    assert json.loads(capsys.readouterr().out)["Schedules"] == 2


def test_the_model_is_searched_from_the_command_line(capsys):
    arguments = ["check", "model", "--losses", "0", "--restarts", "0", "--depth", "4"]
    assert main([*arguments, "--json"]) == 0
    result = json.loads(capsys.readouterr().out)
    assert (result["depth"], result["whole"], result["wrong"]) == (4, False, "")
    assert main([*arguments, "--ballots", "many"]) == 2
    assert "--ballots wants two whole numbers" in capsys.readouterr().err
