"""Golden files of the on-disk formats: records, values and complete journals of an earlier version are decoded to the
recorded values and encoded to the same bytes.

The expected values are stored with the bytes as lists of fields in order, without field names. Values are compressed
by zlib, so the comparison of bytes depends on the version of zlib; decoding does not.
"""

from __future__ import annotations

import asyncio
import base64
import copy
import json
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import pytest
import record_disk as recorder
from record_disk import lay_out_journal, lay_out_store, open_store, plain, read_json, restored, run_steps

from emberring.configuration import change_requests, reading
from emberring.configuration.state import ControlState as ControlValue
from emberring.control import peer_cache
from emberring.errors import CorruptRecordError as Corrupt
from emberring.jobs import definition, packing, records, replica_log, results
from emberring.journal.journal import Journal
from emberring.journal.scan import scan_journal
from emberring.placement import model as placement
from emberring.register import acceptor as register_records
from emberring.register import service as register_service
from emberring.settings import Settings
from emberring.store import identity as store_identity
from emberring.transport.network import Network

ENTRY_CLASSES = (  # in the order of the numbers on disk
    replica_log.Written,
    replica_log.Promised,
    replica_log.Dropped,
    replica_log.Emptied,
    replica_log.Copied,
    replica_log.Started,
)

REGISTER = read_json("register.json")
CONTROL = read_json("control.json")
JOBS = read_json("lots.json")
SMALL = read_json("small_files.json")
FORMS_OF_RECORDS = [*(step["record"] for step in REGISTER["life"]), REGISTER["founder"]]


def unpacked(text: str) -> bytes:
    """Decode the bytes in a JSON file."""
    return base64.b64decode(text)


def is_empty(part: Any) -> bool:
    """Return whether a JSON value is the default of a field."""
    return part is None or part is False or part == []


def only_empty(wholes: Any) -> set[str]:
    """Return the keys whose value is empty in all objects."""
    empty, filled = set(), set()
    parts = [wholes]
    while parts:
        part = parts.pop()
        if isinstance(part, dict):
            empty |= {key for key, value in part.items() if is_empty(value)}
            filled |= {key for key, value in part.items() if not is_empty(value)}
        inner = part.values() if isinstance(part, dict) else part if isinstance(part, list) else ()
        parts += inner
    return empty - filled


def changed_objects(whole: Any) -> Iterator[tuple[str, Any]]:
    """Yield copies of a JSON value without one key, and with one key renamed, for each key of each object in it. Keys
    with an empty value are skipped, because removing them has no effect; `only_empty` checks that each key has a value
    in some other object."""

    def paths(value: Any, path: tuple[Any, ...]) -> Iterator[tuple[Any, ...]]:
        pairs = (
            value.items() if isinstance(value, dict) else enumerate(value) if isinstance(value, list) else ()
        )
        for key, part in pairs:
            if isinstance(value, dict) and not is_empty(part):
                yield (*path, key)
            yield from paths(part, (*path, key))

    for path in paths(whole, ()):
        for renamed in (False, True):
            fresh = copy.deepcopy(whole)
            part = fresh
            for step in path[:-1]:
                part = part[step]
            value = part.pop(path[-1])
            if renamed:
                part[f"{path[-1]}_x"] = value
            yield f"{'renamed' if renamed else 'dropped'} {path}", fresh


def unread_keys(whole: Any, read: Callable[[Any], Any]) -> list[str]:
    """Return the changes of keys that do not change the decoded value."""
    wanted = read(whole)
    found = []
    for title, changed in changed_objects(whole):
        try:
            same = read(changed) == wanted
        except Exception:
            same = False
        if same:
            found.append(title)
    return found


def test_the_check_finds_a_key_that_is_not_read() -> None:
    whole = {"a": 1, "b": [{"c": 2, "d": None}], "e": 3}
    assert unread_keys(whole, lambda value: (value["a"], value["b"][0]["c"])) == [
        "dropped ('e',)",
        "renamed ('e',)",
    ]
    assert unread_keys(whole, lambda value: value) == []
    assert only_empty([whole, {"e": None}]) == {"d"}


def test_the_recorder_writes_the_same_files_today(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Checks all encoders: the recorder's objects are encoded to the golden bytes."""
    golden = {path.name: path.read_bytes() for path in recorder.DISK.iterdir()}
    monkeypatch.setattr(recorder, "DISK", tmp_path)
    recorder.record_all()
    written = {path.name: path.read_bytes() for path in tmp_path.iterdir()}
    assert sorted(written) == sorted(golden)
    assert [name for name in golden if written[name] != golden[name]] == []


# The register.


def test_a_life_of_register_records_is_restored_step_by_step() -> None:
    life = [unpacked(step["record"]) for step in REGISTER["life"]]
    for number, step in enumerate(REGISTER["life"], 1):
        assert restored(life[:number]) == step["held_after"]
    assert (
        restored([life[-1]]) == REGISTER["life"][-1]["held_after"]
    )  # the snapshot alone contains the complete state
    assert restored([unpacked(REGISTER["founder"])]) == REGISTER["founder_held"]


@pytest.mark.parametrize("record", FORMS_OF_RECORDS)
def test_register_records_are_written_again(record: str) -> None:
    data = unpacked(record)
    head, value = register_records._decode(data)
    assert register_records._encode(head, value) == data
    assert data.endswith(b"\n" + value)
    assert positions(json.loads(data.partition(b"\n")[0])) == plain(head)


def positions(part: Any) -> Any:
    """Convert JSON to the form of `plain`: objects become lists of their values."""
    if isinstance(part, dict):
        return [positions(value) for value in part.values()]
    return [positions(value) for value in part] if isinstance(part, list) else part


@pytest.mark.parametrize("record", FORMS_OF_RECORDS)
def test_each_key_of_a_register_record_is_read(record: str) -> None:
    line, _, value = unpacked(record).partition(b"\n")

    def read(changed: Any) -> Any:
        return restored([json.dumps(changed).encode() + b"\n" + value])

    assert unread_keys(json.loads(line), read) == []


def test_each_key_of_register_records_has_a_value_in_one() -> None:
    """The last field of the state is exempt: its bytes follow the JSON line."""
    heads = [json.loads(unpacked(record).partition(b"\n")[0]) for record in FORMS_OF_RECORDS]
    assert only_empty(heads) == {"payload"}


@pytest.mark.parametrize("number", [len(REGISTER["life"]), 1, 0])
def test_snapshots_are_written_again(number: int) -> None:
    data = unpacked(REGISTER["life"][number - 1]["record"] if number else REGISTER["founder"])
    found = register_records.Acceptor("")
    found.restore(data)
    assert found.snapshot() == data


# The state of the control nodes.


@pytest.mark.parametrize("stated", CONTROL["states"])
def test_the_registers_value(stated: dict[str, Any]) -> None:
    data = unpacked(stated["value"])
    found = ControlValue.decode(data)
    assert plain(found) == stated["state"]
    assert found.encode() == data
    form, head, rest = data.split(b"\n", 2)

    def read(changed: Any) -> Any:
        return plain(ControlValue.decode(b"\n".join((form, json.dumps(changed).encode(), rest))))

    assert form == b"emberring-control-1"
    assert unread_keys(json.loads(head), read) == []


def test_each_key_of_the_registers_value_has_a_value_in_one() -> None:
    values = [unpacked(stated["value"]) for stated in CONTROL["states"]]
    assert only_empty([json.loads(value.split(b"\n", 2)[1]) for value in values]) == set()


def test_the_configuration_means_what_it_did() -> None:
    packed = bytes.fromhex(CONTROL["states"][-1]["state"][1].removeprefix("hex:"))
    document = reading.unpack(packed)
    assert json.loads(document) == CONTROL["document"]
    assert reading.pack(document) == packed
    assert plain(reading.unpack_configuration(packed)) == CONTROL["configuration"]
    assert unread_keys(CONTROL["document"], lambda changed: plain(reading.build_configuration(changed))) == []


@pytest.mark.parametrize("method", ["whole", "patch"])
def test_an_order_has_the_digest_that_is_remembered(method: str) -> None:
    stated = CONTROL["orders"][method]
    kind = change_requests.ChangeRequestKind({"whole": "PUT", "patch": "PATCH"}[method])
    order = change_requests.read_change_request(kind, stated["base"], stated["body"].encode())
    assert order.digest.hex() == stated["digest"]
    assert bytes.fromhex(stated["digest"]) not in ControlValue.decode(None).accepted_digests
    after = ControlValue.decode(unpacked(CONTROL["state_after_whole"]))
    if method == "whole":
        assert after.accepted_digests[-1] == order.digest
        assert json.loads(after.document) == json.loads(stated["body"])


# Batch jobs (lots) on stores.


def test_each_entry_of_a_replicas_log() -> None:
    numbers = set()
    for stated in JOBS["entries"]:
        data = unpacked(stated["entry"])
        logged = replica_log.decode_entry(data)
        assert plain(logged) == stated["logged"]
        shard, clock_s, entry = (getattr(logged, field.name) for field in logged.__attrs_attrs__)
        assert type(entry) is ENTRY_CLASSES[data[0] - 1]
        assert replica_log.encode_entry(shard, clock_s, entry) == data
        numbers.add(data[0])
    assert numbers == set(range(1, 1 + len(ENTRY_CLASSES)))


def test_terms_records_and_inventories() -> None:
    for stated in JOBS["terms"]:
        data = unpacked(stated["packed"])
        term, end = records.unpack_term(b"before" + data + b"behind", 6)
        assert (plain(term), end) == (stated["term"], 6 + len(data))
        assert records.pack_term(term) == data
    for key, unpack, pack in (
        ("records", records.unpack_records, records.pack_records),
        ("inventory", records.unpack_inventory, records.pack_inventory),
    ):
        data = unpacked(JOBS[key]["packed"])
        (wanted,) = [value for name, value in JOBS[key].items() if name != "packed"]
        found = unpack(data)
        assert plain(found) == wanted
        assert pack(found) == data


def test_the_slots_of_a_job_have_their_numbers() -> None:
    stored = JOBS["records"]["records"]
    assert [stored[number][1] for number in (0, 3, 4)] == [
        records.DEFINITION,
        records.END,
        records.TOMBSTONE,
    ]
    assert (
        {entry[0] for entry in stored}
        == {records.job_key("Batch.Example", "lot-é")}
        == {"batch.example/lot-é"}
    )
    assert records.checksum(b"value") == 0x1D775834


def test_a_jobs_definition() -> None:
    stated = JOBS["definition"]
    value, squeezed = unpacked(stated["value"]), unpacked(stated["squeezed"])
    terms = definition.decode_terms(value)
    assert plain(terms) == stated["terms"]
    assert plain(definition.decode_items(value)) == stated["items"]
    assert definition.encode_definition(terms, squeezed) == value
    body = packing.decompress(squeezed)
    assert json.loads(body) == stated["submitted"]
    assert packing.compress(body) == squeezed
    head = json.loads(value.partition(b"\n")[0])
    assert positions(head) == stated["terms"]
    assert (
        unread_keys(head, lambda part: plain(definition.decode_terms(json.dumps(part).encode() + b"\n")))
        == []
    )

    def read_items(changed: Any) -> Any:
        return plain(definition.parse_items(packing.compress(json.dumps(changed).encode())))

    assert unread_keys(stated["submitted"], read_items) == []


def test_results() -> None:
    values = [unpacked(stated["value"]) for stated in JOBS["results"]]
    for value, stated in zip(values, JOBS["results"], strict=True):
        index, item, state, message = stated["result"]
        assert results.item_index(value) == index
        assert results.encode_result(index, item, results.ResultState(state), message) == value
    assert {stated["result"][2] for stated in JOBS["results"]} == {
        state.value for state in results.ResultState
    }
    page = json.loads(results.page_json(results.build_page(9, 4, values)))
    listed = [
        dict(zip(("Id", "State", "Message"), stated["result"][1:], strict=True)) for stated in JOBS["results"]
    ]
    assert page == {"Total": 9, "NextPageToken": 6, "Results": listed}


def test_events() -> None:
    packed = unpacked(JOBS["events"]["packed"])
    found = packing.unpack_events(packed)
    assert plain(found) == JOBS["events"]["events"]
    assert packing.pack_events(found) == packed


def test_figures_that_nodes_must_agree_on() -> None:
    assert {host: placement.shard_of(host) for host in JOBS["shards"]} == JOBS["shards"]
    for shard, name, wanted in JOBS["scores"]:
        assert placement.score(shard, name) == wanted
    for key, slot, check, wanted in JOBS["slot_digests"]:
        assert records.slot_digest(key, slot, check) == wanted


# Small files.


def test_a_stores_identity(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    path, content = tmp_path / SMALL["store_identity"]["path"], SMALL["store_identity"]["text"]
    assert store_identity.read_identity(tmp_path) is None
    path.write_text(content)
    assert store_identity.read_identity(tmp_path) == content.split()[0]
    path.unlink()
    monkeypatch.setattr("secrets.token_hex", lambda length: content.split()[0][: 2 * length])
    store_identity.create_identity(tmp_path)
    assert path.read_bytes() == content.encode()


def test_the_control_nodes_that_one_has_met(tmp_path: Path) -> None:
    content = SMALL["known_nodes"]["text"]
    (tmp_path / "known").write_text(content)
    assert peer_cache.PeerCache(tmp_path / "known").load() == content.split()
    asyncio.run(peer_cache.PeerCache(tmp_path / "fresh").save(content.split()))
    assert (tmp_path / "fresh").read_bytes() == content.encode()


# Journals.


@pytest.mark.parametrize("name", ["register", "store", "torn", "mended"])
def test_a_journal_is_read_and_written(name: str, tmp_path: Path) -> None:
    stated = read_json(f"journal-{name}.json")
    wanted = [unpacked(record) for record in stated["records"]]
    lay_out_journal(name, tmp_path / "golden")
    survey = scan_journal(tmp_path / "golden")
    assert [record.payload for record in survey.records] == wanted
    assert survey.damages == ()
    journal, found = Journal.open(tmp_path / "golden", recorder.SEGMENT_BYTES, recorder.RING_BYTES)
    assert [record.payload for record in found] == wanted
    asyncio.run(journal.close())
    run_steps(tmp_path / "again", stated["steps"])
    assert recorder.files_in(tmp_path / "again") == stated["files"]
    assert {path.name: path.read_bytes() for path in (tmp_path / "again").iterdir()} == {
        path.name: path.read_bytes() for path in (tmp_path / "golden").iterdir()
    }


@pytest.mark.parametrize("offset", [0, 8, 12, 16, 24, 32, 64, 68, 72, 76, 80, 100])
def test_each_part_of_a_segment_counts(offset: int, tmp_path: Path) -> None:
    """A changed byte in a segment header or a synced record is detected: magic, version, nonce, numbers, checksums."""
    lay_out_journal("store", tmp_path / "golden")
    path = max((tmp_path / "golden").iterdir(), key=lambda file: file.stat().st_size)
    data = bytearray(path.read_bytes())
    data[offset] ^= 1
    path.write_bytes(bytes(data))
    with pytest.raises(Corrupt):
        Journal.open(tmp_path / "golden", recorder.SEGMENT_BYTES, recorder.RING_BYTES)


def test_the_store_role_finds_its_folder(tmp_path: Path) -> None:
    lay_out_store(tmp_path)
    assert open_store(tmp_path) == read_json("store_state.json")


def test_the_register_finds_its_folder(tmp_path: Path) -> None:
    folder = tmp_path / SMALL["register_journal"]
    lay_out_journal("register", folder)
    settings = Settings("node", "127.0.0.1", "zone", (17720, 17735), ())

    async def run() -> bytes:
        service = register_service.RegisterService(settings, Network(), folder)
        journal, found = await service._open()
        await journal.close()
        return found.snapshot()

    identity, _, accepted = REGISTER["life"][-1]["held_after"]
    newest_promise = [59, "p" * 40]  # the newest promise in the records before the snapshot
    assert restored([asyncio.run(run())]) == [identity, newest_promise, accepted]


def test_the_files_stay_small() -> None:
    own = [
        *recorder.DISK.rglob("*"),
        *recorder.DISK.parent.glob("*.json*"),
    ]  # other golden tests have their own folders in the same place
    assert sum(path.stat().st_size for path in own if path.is_file()) < 300_000
