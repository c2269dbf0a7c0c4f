"""The journal on real files, and on a simulated disk that stalls, rejects writes or is full."""

from __future__ import annotations

import asyncio
import threading
from pathlib import Path

import pytest

from emberring.errors import CorruptRecordError, DiskFailedError, NotReadyError
from emberring.journal import Journal, Position
from emberring.journal import journal as module
from emberring.journal.ring import Ring
from emberring.simulation.register.disk import SimulatedFolder

SEGMENT = 4096
LIMIT = 8 * SEGMENT


class StallingFolder(SimulatedFolder):
    """Simulated disk that stalls until `go` is set, while `stall` is true."""

    def __init__(self) -> None:
        super().__init__()
        self.go = threading.Event()
        self.stall = False

    def check(self) -> None:
        if self.stall:
            self.go.wait(10)
        super().check()


def simulated(folder: SimulatedFolder) -> Journal:
    return Journal(Ring.open(folder, SEGMENT, LIMIT, 1)[0])


def test_records_are_read_in_order_after_a_restart(tmp_path: Path) -> None:
    payloads = [f"record {number}".encode() * 20 for number in range(100)]

    async def write() -> list[Position]:
        journal, records = Journal.open(tmp_path / "new" / "journal", SEGMENT, LIMIT)
        assert records == []
        positions = await asyncio.gather(*(journal.append(payload) for payload in payloads))
        assert [await journal.read(position) for position in positions] == payloads
        await journal.close()
        return list(positions)

    positions = asyncio.run(write())
    _, records = Journal.open(tmp_path / "new" / "journal", SEGMENT, LIMIT)
    assert [record.payload for record in records] == payloads
    assert [record.position for record in records] == positions


def test_appends_after_a_restart_follow_the_existing_records(tmp_path: Path) -> None:
    async def add(payload: bytes) -> list[bytes]:
        journal, records = Journal.open(tmp_path, SEGMENT, LIMIT)
        await journal.append(payload)
        await journal.close()
        return [record.payload for record in records]

    assert asyncio.run(add(b"1")) == []
    assert asyncio.run(add(b"2")) == [b"1"]
    assert asyncio.run(add(b"3")) == [b"1", b"2"]


def test_appends_that_wait_together_are_synced_together() -> None:
    folder = SimulatedFolder()

    async def write() -> None:
        journal = simulated(folder)
        await journal.append(b"the first makes the segment")
        folder.settle()
        before = len(folder.steps)
        with journal._condition:  # the writer thread reads the queue only after all appends are in it
            appends = [journal.append(b"x") for _ in range(50)]
        await asyncio.gather(*appends)
        assert sum(1 for step in folder.steps[before:] if step.sync) == 1
        await journal.close()

    asyncio.run(write())


def test_a_rewriter_keeps_the_ring_bounded_and_no_live_record_is_lost(tmp_path: Path) -> None:
    keys = 20
    live: dict[int, Position] = {}
    newest: dict[int, bytes] = {}

    async def run() -> None:
        journal, _ = Journal.open(tmp_path, SEGMENT, LIMIT)

        async def rewrite(segment: int) -> None:
            for key, position in list(live.items()):
                if position.segment == segment:
                    found = await journal.append(await journal.read(position), reclaiming=True)
                    if live[key] == position:
                        live[key] = found

        journal.set_rewriter(rewrite)
        for number in range(600):
            payload = f"{number:06d}:{number % keys}:".encode() + b"." * 100
            live[number % keys] = await journal.append(payload)
            newest[number % keys] = payload
        await journal.close()

    asyncio.run(run())
    assert sum(path.stat().st_size for path in tmp_path.iterdir()) <= LIMIT + SEGMENT
    _, records = Journal.open(tmp_path, SEGMENT, LIMIT)
    found: dict[int, bytes] = {}
    for record in records:
        key = int(record.payload.split(b":")[1])
        found[key] = max(found.get(key, b""), record.payload)
    assert found == newest


def test_a_burst_larger_than_the_ring_waits_for_its_reclaim(tmp_path: Path) -> None:
    async def run() -> None:
        journal, _ = Journal.open(tmp_path, SEGMENT, LIMIT)

        async def rewrite(segment: int) -> None:
            await journal.append(b"snapshot", reclaiming=True)

        journal.set_rewriter(rewrite)
        await asyncio.gather(*(journal.append(b"x" * 500) for _ in range(300)))
        assert not journal.failed
        await journal.close()

    asyncio.run(run())


def test_a_full_ring_without_a_rewriter_rejects_appends(tmp_path: Path) -> None:
    async def run() -> None:
        journal, _ = Journal.open(tmp_path, SEGMENT, LIMIT)
        results = await asyncio.gather(
            *(journal.append(b"x" * 1000) for _ in range(100)), return_exceptions=True
        )
        assert isinstance(results[0], Position)
        assert isinstance(results[-1], DiskFailedError)
        assert not journal.failed
        await journal.close()

    asyncio.run(run())


def test_a_rewriter_that_postpones_a_reclaim_is_called_again(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(module, "HEAL_INTERVAL_S", 0.001)
    rewritten_segments: list[int] = []

    async def run() -> None:
        journal, _ = Journal.open(tmp_path, SEGMENT, LIMIT)

        async def rewrite(segment: int) -> None:
            rewritten_segments.append(segment)
            if len(rewritten_segments) < 3:
                raise NotReadyError("not now")

        journal.set_rewriter(rewrite)
        await asyncio.gather(*(journal.append(b"x" * 1000) for _ in range(40)))
        await journal.close()

    asyncio.run(run())
    assert rewritten_segments[:3] == [0, 0, 0]


def test_appends_fail_while_the_disk_rejects_writes(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(module, "HEAL_INTERVAL_S", 0.001)
    folder = SimulatedFolder()

    async def run() -> None:
        journal = simulated(folder)
        await journal.append(b"before")
        folder.refusing = True
        with pytest.raises(DiskFailedError):
            await journal.append(b"refused")
        assert journal.failed
        with pytest.raises(DiskFailedError):
            await journal.append(b"refused at once")
        folder.refusing = False
        while journal.failed:
            await asyncio.sleep(0)
        await journal.append(b"after")
        await journal.close()

    asyncio.run(run())
    records = Ring.open(folder, SEGMENT, LIMIT, 2)[1]
    assert [record.payload for record in records] == [b"before", b"after"]


def test_a_stalled_disk_leaves_appends_pending_and_the_loop_free() -> None:
    folder = StallingFolder()

    async def run() -> None:
        journal = simulated(folder)
        folder.stall = True
        future = journal.append(b"late")
        for _ in range(100):
            await asyncio.sleep(0)
        assert not future.done()
        assert journal.pending_bytes == 4
        folder.go.set()
        await future
        assert journal.pending_bytes == 0
        await journal.close()

    asyncio.run(run())


def test_appends_above_the_limit_of_pending_bytes_are_rejected(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(module, "MAX_PENDING_BYTES", 100)
    folder = StallingFolder()
    folder.stall = True

    async def run() -> None:
        journal = simulated(folder)
        first = journal.append(b"x" * 80)
        with pytest.raises(DiskFailedError, match="waits"):
            await journal.append(b"x" * 80)
        folder.go.set()
        await first
        await journal.close()

    asyncio.run(run())


def test_a_closed_journal_rejects_appends(tmp_path: Path) -> None:
    async def run() -> None:
        journal, _ = Journal.open(tmp_path, SEGMENT, LIMIT)
        last = journal.append(b"last")
        await journal.close()
        await last
        with pytest.raises(DiskFailedError, match="closed"):
            await journal.append(b"too late")

    asyncio.run(run())


def test_reading_a_position_without_a_record_raises_an_error(tmp_path: Path) -> None:
    async def run() -> None:
        journal, _ = Journal.open(tmp_path, SEGMENT, LIMIT)
        position = await journal.append(b"here")
        for wrong in (Position(5, 64, 4), Position(position.segment, position.offset + 1, 4)):
            with pytest.raises(CorruptRecordError):
                await journal.read(wrong)
        await journal.close()

    asyncio.run(run())


def test_a_folder_that_cannot_be_created_raises_an_error(tmp_path: Path) -> None:
    (tmp_path / "file").write_bytes(b"")
    with pytest.raises(DiskFailedError):
        Journal.open(tmp_path / "file" / "journal", SEGMENT, LIMIT)
