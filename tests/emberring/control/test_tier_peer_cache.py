"""The peer cache: control nodes seen before are found again without the seeds."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest
from tier_control_fixture import AFollower, Cluster, eventually, now

from emberring.control.peer_cache import MAX_ADDRESSES, PeerCache


def test_addresses_are_cached_the_newest_first(tmp_path: Path) -> None:
    nodes = PeerCache(tmp_path / "data" / "nodes")
    assert nodes.load() == []
    asyncio.run(nodes.save(["10.0.0.1:70", "10.0.0.2:70"]))
    asyncio.run(nodes.save(["10.0.0.3:70"]))
    reopened = PeerCache(tmp_path / "data" / "nodes")
    assert reopened.load() == ["10.0.0.3:70", "10.0.0.1:70", "10.0.0.2:70"]
    asyncio.run(reopened.save([f"10.0.1.{number}:70" for number in range(40)]))
    assert len(reopened.load()) == MAX_ADDRESSES


DAMAGED = [(b"", []), (b"10.0.0.1:70\n10.0.0", ["10.0.0.1:70"]), (b"\xff\x00\n10.0.0.1:70", ["10.0.0.1:70"])]


@pytest.mark.parametrize(("content", "expected"), DAMAGED)
def test_the_valid_lines_of_a_damaged_file_are_read(
    tmp_path: Path, content: bytes, expected: list[str]
) -> None:
    (tmp_path / "nodes").write_bytes(content)
    assert PeerCache(tmp_path / "nodes").load() == expected


def test_a_disk_error_is_not_raised(tmp_path: Path) -> None:
    (tmp_path / "file").write_text("")
    nodes = PeerCache(tmp_path / "file" / "nodes")
    asyncio.run(nodes.save(["10.0.0.1:70"]))
    assert nodes.load() == []


def test_a_follower_whose_seeds_are_partitioned_finds_the_others_through_them() -> None:
    """The follower's only seed was restarted while partitioned from the others, and has their cached addresses."""

    async def scenario(cluster: Cluster) -> None:
        cluster.shared.up = {"identity-1", "identity-2"}
        await cluster.start(1, 2)
        await cluster.start(0, seeds=[cluster.seeds[0]])
        cluster.node(0).cluster_state.peers.add(now(), cluster.seeds[1:])
        async with AFollower(cluster.seeds[:1]) as follower:
            await eventually(lambda: follower.in_contact)

    async def run() -> None:
        cluster = Cluster()
        try:
            await scenario(cluster)
        finally:
            await cluster.stop()

    asyncio.run(asyncio.wait_for(run(), 20))
