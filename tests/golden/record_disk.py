"""Writes the golden files of the on-disk formats: `python -m tests.golden.record_disk` from the root of the project.

An existing file is never rewritten: it contains data as it is on the disks of nodes in service. Expected values are
taken from the written objects as lists of fields in order, without names.
"""

from __future__ import annotations

import asyncio
import base64
import tempfile
import zlib
from enum import Enum
from pathlib import Path
from typing import Any

import attrs
import orjson

from emberring.configuration.change_requests import ChangeRequestKind, evaluate, read_change_request
from emberring.configuration.reading import build_configuration, pack
from emberring.configuration.state import ControlState
from emberring.jobs.calls import EventData, JobTerms
from emberring.jobs.definition import encode_definition, parse_items
from emberring.jobs.packing import compress, pack_events
from emberring.jobs.records import (
    JobState,
    Record,
    SlotState,
    Term,
    checksum,
    job_key,
    pack_inventory,
    pack_records,
    pack_term,
    slot_digest,
)
from emberring.jobs.replica_log import Copied, Dropped, Emptied, Promised, Started, Written, encode_entry
from emberring.jobs.results import ResultState, encode_result
from emberring.journal.folder import DiskFolder
from emberring.journal.ring import Ring
from emberring.placement.model import Group, Placement, StoreMember, score, shard_of
from emberring.register.acceptor import Acceptor
from emberring.register.messages import Accept, Prepare
from emberring.register.model import (
    Member,
    Proposal,
    ProposalNumber,
    ReplicaSet,
    State,
    initial_identity,
    initial_proposal,
)
from emberring.store.disk import open_disk

DISK = Path(__file__).parent / "data" / "disk"
SEGMENT_BYTES = 4096
RING_BYTES = 6 * SEGMENT_BYTES
NONCE = 0x01020304


def plain(value: Any) -> Any:
    """Convert a value to JSON; a record becomes the list of its fields in order."""
    if attrs.has(type(value)):
        return [plain(getattr(value, field.name)) for field in attrs.fields(type(value)) if field.init]
    if isinstance(value, dict):
        return {str(key): plain(part) for key, part in value.items()}
    if isinstance(value, tuple | list):
        return [plain(part) for part in value]
    if isinstance(value, bytes):
        return "hex:" + value.hex()
    return value.value if isinstance(value, Enum) else value


def text(data: bytes) -> str:
    """Encode bytes as text for a JSON file."""
    return base64.b64encode(data).decode()


def write_json(name: str, value: Any) -> None:
    """Write a file unless it exists."""
    path = DISK / name
    if not path.exists():
        path.write_bytes(orjson.dumps(value, option=orjson.OPT_INDENT_2) + b"\n")


# The register.

FOUNDERS = ("10.0.0.1:7100", "10.0.0.2:7100", "10.0.0.3:7100")
MEMBERS = (Member("replica:aa", "10.0.0.1:7100"), Member("founder:10.0.0.2:7100", "10.0.0.2:7100"))
JOINING = (*MEMBERS, Member("replica:cc", "10.0.0.3:7100"))
SET = ReplicaSet(7, MEMBERS, JOINING)


def register_records() -> list[bytes]:
    """Each kind of record that a replica writes, in a possible order."""
    acceptor = Acceptor("replica:aa")
    found = [acceptor.snapshot()]
    steps: list[Any] = [
        Prepare("replica:aa", ProposalNumber(3, "replica:bb/01")),
        Accept("replica:aa", ProposalNumber(3, "replica:bb/01"), State(SET)),
        Prepare("replica:aa", ProposalNumber(9, "replica:aa/02")),
        Accept("replica:aa", ProposalNumber(9, "replica:aa/02"), State(SET, b"")),
    ]
    for step in steps:
        verdict = acceptor.prepare(step) if isinstance(step, Prepare) else acceptor.accept(step)
        assert verdict.record is not None
        found.append(verdict.record)
    value = control_states()[-1].encode()
    installed = acceptor.install(Proposal(ProposalNumber(11, "replica:cc/03"), State(SET, value)))
    assert installed is not None
    found.append(installed)
    promised = acceptor.prepare(Prepare("replica:aa", ProposalNumber(12, "replica:bb/04"))).record
    assert promised is not None
    return [*found, promised, acceptor.snapshot()]


def restored(records: list[bytes]) -> list[Any]:
    """Return the state of a replica after these records."""
    acceptor = Acceptor("")
    for record in records:
        acceptor.restore(record)
    return plain([acceptor.identity, acceptor.promised, acceptor.accepted])


def record_register() -> None:
    """Write the records, each with the state of the replica after it."""
    records = register_records()
    founder = Acceptor(initial_identity(FOUNDERS[0]), initial_proposal(FOUNDERS)).snapshot()
    lives = [(records[:end], records[end - 1]) for end in range(1, len(records) + 1)]
    listed = [{"record": text(record), "held_after": restored(before)} for before, record in lives]
    write_json(
        "register.json", {"life": listed, "founder": text(founder), "founder_held": restored([founder])}
    )


# Configuration, placement and the state of the control nodes.

DOCUMENT = {
    "Version": 42,
    "Routes": [
        {
            "Name": "chat",
            "Host": "Chat.Example",
            "PathPrefix": "/v1/é/",
            "Type": "streaming",
            "TimeoutMs": 12000.5,
            "TrafficSplit": [{"Service": "large", "Weight": 3}, {"Service": "small", "Weight": 0.5}],
            "TargetLatencyMs": 250,
            "Priority": 2,
            "MaxAttempts": 3,
            "Sticky": True,
            "Resumable": True,
            "gap_aim_ms": 40.5,
        },
        {
            "Name": "batch",
            "Host": "batch.example",
            "PathPrefix": "/lots/",
            "Type": "batch",
            "TimeoutMs": 5000,
            "Service": "small",
            "CompletionTargetMs": 60000,
            "RetentionS": 3600,
            "MaxQueuedTokens": 100000,
        },
        {
            "Name": "i",
            "Host": "i",
            "PathPrefix": "/",
            "Type": "idempotent",
            "TimeoutMs": 1,
            "Service": "large",
        },
        {
            "Name": "n",
            "Host": "n",
            "PathPrefix": "/",
            "Type": "non_idempotent",
            "TimeoutMs": 1,
            "Service": "large",
        },
    ],
    "Services": [
        {
            "Name": "large",
            "HealthPath": "/health",
            "MaxConnections": 8,
            "Runtime": {"Capacity": 16, "KvCacheTokens": 4096, "stride": 4},
        },
        {"Name": "small", "Capacity": 5},
    ],
    "Limits": {
        "MaxHeaderBytes": 1000,
        "MaxBodyBytes": 2000,
        "HeaderTimeoutMs": 300.5,
        "IdleTimeoutMs": 400.5,
    },
}
PLACEMENT = Placement(
    31,
    {
        "0011223344556677": StoreMember("0011223344556677", "st1", "10.0.1.1:7200", "z1"),
        "8899aabbccddeeff": StoreMember("8899aabbccddeeff", "st2", "10.0.1.2:7200", "z2"),
    },
    (
        Group(0, 4, ("0011223344556677", "8899aabbccddeeff"), ("8899aabbccddeeff", "0123456789abcdef")),
        Group(1, 5, ("8899aabbccddeeff",)),
    ),
    ("st3", "st4"),
    ("st5", "st6"),
)


def control_states() -> list[ControlState]:
    """Three states: the initial one, one with a configuration, and one with a configuration and a placement."""
    packed = pack(orjson.dumps(DOCUMENT))
    digests = (bytes(range(16)), bytes(range(16, 32)))
    return [ControlState(), ControlState(42, packed, digests), ControlState(42, packed, digests, PLACEMENT)]


def record_control() -> None:
    """Write the values in the register, the configuration document with its parsed values, and a request's digest."""
    states = [{"value": text(state.encode()), "state": plain(state)} for state in control_states()]
    body = orjson.dumps({**DOCUMENT, "Version": 43}, option=orjson.OPT_INDENT_2)
    order = read_change_request(ChangeRequestKind.REPLACE, '"42"', body)
    taken = evaluate(control_states()[-1], order)
    orders = {
        "whole": {"base": '"42"', "body": body.decode(), "digest": order.digest.hex()},
        "patch": {
            "base": "42",
            "body": '{"Version": 43}',
            "digest": read_change_request(ChangeRequestKind.PATCH, "42", b'{"Version": 43}').digest.hex(),
        },
    }
    write_json(
        "control.json",
        {
            "states": states,
            "document": DOCUMENT,
            "configuration": plain(build_configuration(DOCUMENT)),
            "orders": orders,
            "state_after_whole": text(taken.state.encode()),  # type: ignore[union-attr]
        },
    )


# Batch jobs (lots) on stores.

TERMS = [Term(4, 17, "0011223344556677"), Term(5, 2**63, "8899aabbccddeeff")]
JOB_TERMS = JobTerms("batch", "/lots", 42, 60000.5, 3600.25, 3, 100000)
SUBMITTED = {
    "Requests": [
        {
            "Id": "a",
            "Path": "/run",
            "Headers": {"X-One": "1", "X-Two": "é"},
            "Body": "aGVsbG8=",
            "Tokens": 12,
        },
        {"Id": "b", "Path": "/run/b"},
    ]
}
EVENTS = (EventData(3, "first é\nsecond line"), EventData(8, "last"))


def job_records() -> list[Record]:
    """The slots of a batch job: the definition, two results, the end and the tombstone."""
    key = job_key("Batch.Example", "lot-é")
    definition = encode_definition(JOB_TERMS, compress(orjson.dumps(SUBMITTED)))
    return [
        Record(key, -1, 0, definition),
        Record(key, 0, 1200, encode_result(1, "b", ResultState.COMPLETED, "done é")),
        Record(key, 1, 2**32 - 1, encode_result(0, "a", ResultState.DEAD_LETTER, "failed")),
        Record(key, -2, 3000, b""),
        Record(key, -3, 4000, b""),
    ]


def entries() -> list[tuple[int, float, Any]]:
    """Each kind of entry, in the order of its number on disk."""
    records = tuple(job_records())
    other = Record(job_key("other", "x"), 0, 5, b"copied value")
    return [
        (3, 100.5, Written(TERMS[0], records[:3])),
        (3, 101.25, Promised(TERMS[1])),
        (3, 102.0, Dropped(TERMS[1], (Record(records[1].key, 0, 0, b""), Record(records[2].key, 1, 0, b"")))),
        (15, 103.0, Emptied()),
        (7, 104.0, Copied(TERMS[0], (other, Record(other.key, -1, 5, b"\xff\x00")))),
        (0, 5.5, Started()),
    ]


def record_jobs() -> None:
    """Write entries, values and inventories with their decoded form, and the values that nodes must agree on."""
    state = {
        record.key: JobState(
            99,
            {
                found.slot: SlotState(TERMS[found.slot % 2], checksum(found.value), len(found.value))
                for found in job_records()
            },
        )
        for record in job_records()[:1]
    }
    state["other/x"] = JobState(2**32 - 1, {0: SlotState(TERMS[1], 7, 8)})
    squeezed = compress(orjson.dumps(SUBMITTED))
    results = [[1, "b", "completed", "done é"], [0, "a", "dead_letter", "failed"]]
    write_json(
        "lots.json",
        {
            "entries": [
                {"entry": text(encode_entry(*entry)), "logged": plain(list(entry))} for entry in entries()
            ],
            "terms": [{"packed": text(pack_term(term)), "term": plain(term)} for term in TERMS],
            "records": {"packed": text(pack_records(job_records())), "records": plain(job_records())},
            "inventory": {"packed": text(pack_inventory(state)), "state": plain(state)},
            "definition": {
                "value": text(encode_definition(JOB_TERMS, squeezed)),
                "terms": plain(JOB_TERMS),
                "squeezed": text(squeezed),
                "submitted": SUBMITTED,
                "items": plain(parse_items(squeezed)),
            },
            "results": [
                {"value": text(encode_result(r[0], r[1], ResultState(r[2]), r[3])), "result": r}
                for r in results
            ],
            "events": {"packed": text(pack_events(EVENTS)), "events": plain(EVENTS)},
            "shards": {host: shard_of(host) for host in ("Batch.Example", "batch.example", "other", "é")},
            "scores": [
                [shard, name, score(shard, name)] for shard in (0, 9) for name in ("st1", "0011223344556677")
            ],
            "slot_digests": [
                ["batch.example/lot", slot, 12345, slot_digest("batch.example/lot", slot, 12345)]
                for slot in (-1, 4)
            ],
        },
    )


# Journals.


def run_steps(folder: Path, steps: list[list[Any]]) -> None:
    """Execute steps on a journal: open it (with a nonce), commit records, release the oldest segment, preallocate
    the next file, or overwrite the end of a file with zeros, which tears its last record."""
    ring: Ring | None = None
    for name, argument in steps:
        if name == "open":
            if ring is not None:
                ring.close()
            ring, _ = Ring.open(DiskFolder(folder), SEGMENT_BYTES, RING_BYTES, argument)
            continue
        assert ring is not None
        if name == "commit":
            payloads = [base64.b64decode(payload) for payload in argument]
            assert len(ring.commit(payloads)) == len(payloads)
        elif name == "release":
            ring.release(argument)
        elif name == "prepare":
            ring.prepare_ahead()
        elif name == "tear":  # [file, offset]: data that was not synced before a power failure
            path = folder / argument[0]
            data = path.read_bytes()
            path.write_bytes(data[: argument[1]] + bytes(len(data) - argument[1]))
    if ring is not None:
        ring.close()


def files_in(folder: Path) -> dict[str, str]:
    """Return the files of a folder by name, compressed."""
    return {path.name: text(zlib.compress(path.read_bytes(), 9)) for path in sorted(folder.iterdir())}


def record_journal(name: str, steps: list[list[Any]], expected: list[bytes]) -> None:
    """Write a journal, its steps and the records that are recovered from it."""
    with tempfile.TemporaryDirectory() as place:
        folder = Path(place) / "journal"
        run_steps(folder, steps)
        found = files_in(folder)
    write_json(
        f"journal-{name}.json",
        {"steps": steps, "records": [text(record) for record in expected], "files": found},
    )


def commit(*payloads: bytes) -> list[Any]:
    """Return a step that commits these records together."""
    return ["commit", [text(payload) for payload in payloads]]


def record_journals() -> None:
    """Write a control node's journal with a snapshot in its newest segment, a store's journal over several segments
    with a reused file of a released segment, and a journal with a torn last record, before and after the next start."""
    register = register_records()
    filler = [
        Acceptor("replica:aa").prepare(Prepare("replica:aa", ProposalNumber(n, "p" * 40))).record
        for n in range(1, 60)
    ]
    early = [record for record in filler if record is not None]
    steps = [["open", NONCE], commit(*register[:3]), ["prepare", None], commit(*early), commit(register[-1])]
    record_journal(
        "register", [*steps, ["prepare", None], ["release", 0]], [*register[:3], *early, register[-1]]
    )

    logged = [encode_entry(*entry) for entry in entries()]
    large = encode_entry(
        2, 99.0, Written(TERMS[0], (Record("batch.example/large", 0, 1, bytes(range(256)) * 24),))
    )
    first = encode_entry(1, 98.0, Written(TERMS[0], (Record("batch.example/first", 0, 1, b"\x80" * 3000),)))
    second = encode_entry(1, 98.5, Written(TERMS[0], (Record("batch.example/second", 0, 1, b"\x81" * 3000),)))
    steps = [
        ["open", NONCE],
        commit(first, second),
        commit(large),
        ["release", 0],
        ["open", NONCE + 1],
        commit(logged[-1], *logged[:-1]),
        ["prepare", None],
    ]
    record_journal("store", steps, [first, second, large, logged[-1], *logged[:-1]])

    whole = 64 + 16 + len(logged[0]) + 16 + len(logged[1])
    torn = [["open", NONCE], commit(*logged[:3]), ["tear", ["ring-000000", whole + 20]]]
    record_journal("torn", torn, logged[:2])
    mended = [*torn, ["open", NONCE + 1], commit(logged[-1])]
    record_journal("mended", mended, [*logged[:2], logged[-1]])


def open_store(folder: Path) -> Any:
    """Open a store's folder; return its identity, and the promise and content of the replica of each shard."""
    disk = open_disk(folder, 0.0, 1000.0)
    asyncio.run(disk.journal.close())
    held = {
        shard: [replica.promised, replica.jobs, replica.digest, replica.value_bytes, replica.owner]
        for shard, replica in disk.replicas.items()
    }
    return plain([disk.identity, held])


def lay_out_store(folder: Path) -> None:
    """Create a store's folder with the golden identity and journal."""
    small = read_json("small_files.json")
    (folder / small["store_identity"]["path"]).write_text(small["store_identity"]["text"])
    lay_out_journal("store", folder / small["store_journal"])


def lay_out_journal(name: str, folder: Path) -> None:
    """Write the files of a golden journal to a folder."""
    folder.mkdir()
    for file, packed in read_json(f"journal-{name}.json")["files"].items():
        (folder / file).write_bytes(zlib.decompress(base64.b64decode(packed)))


def read_json(name: str) -> Any:
    """Return the content of a golden file."""
    return orjson.loads((DISK / name).read_bytes())


def record_store_state() -> None:
    """Write the state that a store restores from the golden folder."""
    with tempfile.TemporaryDirectory() as place:
        lay_out_store(Path(place))
        write_json("store_state.json", open_store(Path(place)))


def record_small_files() -> None:
    """Write the text files by their paths in a node's data folder, and the folders of the journals."""
    identity = "0123456789abcdef"
    write_json(
        "small_files.json",
        {
            "store_identity": {
                "path": "identity",
                "text": f"{identity} {zlib.crc32(identity.encode()):08x}\n",
            },
            "known_nodes": {"path": "control-nodes", "text": "10.0.0.2:7100\ncontrol-3.example:7100\n"},
            "store_journal": "journal",
            "register_journal": "register",
        },
    )


def record_all() -> None:
    """Write all missing files."""
    record_register()
    record_control()
    record_jobs()
    record_journals()
    record_small_files()
    record_store_state()


if __name__ == "__main__":
    record_all()
