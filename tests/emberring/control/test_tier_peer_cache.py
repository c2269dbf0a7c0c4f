"""Control nodes met before are found again without the seeds."""

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
    again = PeerCache(tmp_path / "data" / "nodes")
    assert again.load() == ["10.0.0.3:70", "10.0.0.1:70", "10.0.0.2:70"]
    asyncio.run(again.save([f"10.0.1.{number}:70" for number in range(40)]))
    assert len(again.load()) == MAX_ADDRESSES


TORN = [(b"", []), (b"10.0.0.1:70\n10.0.0", ["10.0.0.1:70"]), (b"\xff\x00\n10.0.0.1:70", ["10.0.0.1:70"])]


@pytest.mark.parametrize(("content", "wanted"), TORN)
def test_a_torn_file_gives_what_can_be_read(tmp_path: Path, content: bytes, wanted: list[str]) -> None:
    (tmp_path / "nodes").write_bytes(content)
    assert PeerCache(tmp_path / "nodes").load() == wanted


def test_an_error_of_the_disk_is_not_raised(tmp_path: Path) -> None:
    (tmp_path / "file").write_text("")
    nodes = PeerCache(tmp_path / "file" / "nodes")
    asyncio.run(nodes.save(["10.0.0.1:70"]))
    assert nodes.load() == []


def test_a_follower_whose_seeds_are_partitioned_finds_the_others_through_them() -> None:
    """Its only seed was restarted while it was cut off from the others, and remembers them."""

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
