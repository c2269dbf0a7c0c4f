"""Registers over loopback: founding, races, deaths, lost and replaced machines, lost replies."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, TypeVar

import pytest
from register_deployment import Deployment, adding

from emberring.errors import (
    NoQuorumError,
    NotReadyError,
    PeerTimeoutError,
    UnknownOutcomeError,
    VersionConflictError,
)
from emberring.register.messages import Accept, Accepted, Prepare
from emberring.register.model import ProposalNumber
from emberring.transport.network import Network

PATIENCE_S = 5.0
QUORUM = 2  # of three replicas
T = TypeVar("T")


def on_deployment(directory: Path, work: Callable[[Deployment], Awaitable[None]], **options: int) -> None:
    """Run a test on a deployment that ends with it."""

    async def run() -> None:
        deployment = Deployment(directory, **options)
        try:
            await work(deployment)
        finally:
            await deployment.stop()

    asyncio.run(run())


def test_founders_start_in_any_order(tmp_path: Path) -> None:
    async def work(deployment: Deployment) -> None:
        await deployment.start(2)
        with pytest.raises(NoQuorumError):
            await deployment[2].change(adding(b"1"), 0.05)
        await deployment.start(0)
        assert await deployment[0].read(PATIENCE_S) is None
        assert await deployment[2].change(adding(b"1"), PATIENCE_S) == b"1"
        await deployment.start(1)
        assert await deployment[1].read(PATIENCE_S) == b"1"

    on_deployment(tmp_path, work)


def test_a_change_may_leave_the_value_or_refuse(tmp_path: Path) -> None:
    async def work(deployment: Deployment) -> None:
        await deployment.start(0, 1, 2)
        assert await deployment[0].change(lambda value: None, PATIENCE_S) == b""
        await deployment[0].change(adding(b"1"), PATIENCE_S)
        assert await deployment[1].change(adding(b"1"), PATIENCE_S) == b"1"

        def refuse(value: bytes | None) -> bytes | None:
            raise VersionConflictError(f"it is {value!r}")

        with pytest.raises(VersionConflictError, match="b'1'"):
            await deployment[2].change(refuse, PATIENCE_S)

    on_deployment(tmp_path, work)


def swapping(expected: bytes | None, value: bytes) -> Callable[[bytes | None], bytes | None]:
    """A change from one value to another; whoever finds a third value, or the second, leaves it."""
    return lambda found: value if found == expected else None


def test_of_three_changes_on_the_same_value_one_wins_and_all_are_told_which(tmp_path: Path) -> None:
    async def work(deployment: Deployment) -> None:
        await deployment.start(0, 1, 2)
        current: bytes | None = None
        for turn in range(10):
            wanted = [b"%d-%d" % (turn, number) for number in range(3)]
            results = await asyncio.gather(
                *(
                    deployment[number].change(swapping(current, wanted[number]), PATIENCE_S)
                    for number in range(3)
                )
            )
            current = results[0]
            assert current in wanted
            assert results == [current] * 3
            assert await deployment[turn % 3].read(PATIENCE_S) == current

    on_deployment(tmp_path, work)


def overtaken(deployment: Deployment, number: int, by: int) -> None:
    """A quorum accepts this node's next proposal and another node finishes it before this one hears of that."""
    network = deployment.nodes[number].network
    assert isinstance(network, OvertakenNetwork)
    network.finish = lambda: deployment[by].change(lambda value: None, PATIENCE_S)


async def change_overtaken(deployment: Deployment, change: Callable[[bytes | None], bytes | None]) -> bytes:
    deployment.network_class = OvertakenNetwork
    await deployment.start(0, 1, 2)
    await deployment[0].change(adding(b"1"), PATIENCE_S)
    overtaken(deployment, 0, by=1)
    return await deployment[0].change(change, PATIENCE_S)


def test_a_change_that_finds_its_own_effect_finished_by_another_has_won(tmp_path: Path) -> None:
    async def work(deployment: Deployment) -> None:
        assert await change_overtaken(deployment, swapping(b"1", b"2")) == b"2"

    on_deployment(tmp_path, work)


def test_a_change_that_refuses_its_own_effect_is_told_that_it_is_in_doubt(tmp_path: Path) -> None:
    def refusing(found: bytes | None) -> bytes:
        if found != b"1":
            raise VersionConflictError("another is current")
        return b"2"

    async def work(deployment: Deployment) -> None:
        with pytest.raises(UnknownOutcomeError, match="another is current"):
            await change_overtaken(deployment, refusing)
        assert await deployment[2].read(PATIENCE_S) == b"2"

    on_deployment(tmp_path, work)


def test_eight_orders_at_once_are_all_taken_within_a_second(tmp_path: Path) -> None:
    async def work(deployment: Deployment) -> None:
        await deployment.start(0, 1, 2)
        for turn in range(5):
            names = [b"%d.%d" % (turn, number) for number in range(8)]
            await asyncio.gather(
                *(deployment[number % 3].change(adding(name), 1.0) for number, name in enumerate(names))
            )
            value = await deployment[turn % 3].read(1.0)
            assert value is not None
            assert set(names) <= set(value.split())

    on_deployment(tmp_path, work)


def test_every_node_learns_each_value_in_order(tmp_path: Path) -> None:
    async def work(deployment: Deployment) -> None:
        await deployment.start(0, 1, 2)
        for number in range(20):
            await deployment[number % 3].change(adding(b"%d" % number), PATIENCE_S)
        last = await deployment[0].read(PATIENCE_S)
        for node in deployment.nodes.values():
            await deployment.until(lambda node=node: node.seen[-1:] == [last])
            assert all(
                later.startswith(earlier) for earlier, later in zip(node.seen, node.seen[1:], strict=False)
            )
        told: list[bytes] = []
        deployment[1].subscribe(told.append)
        assert told == [last]

    on_deployment(tmp_path, work)


def test_one_of_three_may_be_down_but_not_two(tmp_path: Path) -> None:
    async def work(deployment: Deployment) -> None:
        await deployment.start(0, 1, 2)
        await deployment[0].change(adding(b"1"), PATIENCE_S)
        await deployment.stop(2)
        assert await deployment[1].change(adding(b"2"), PATIENCE_S) == b"1 2"
        await deployment.stop(1)
        with pytest.raises(NoQuorumError):
            await deployment[0].read(0.1)
        with pytest.raises(NoQuorumError):
            await deployment[0].change(adding(b"3"), 0.1)
        age_s = deployment[0].majority_age_s()
        assert age_s > 0.05
        await deployment.start(1, bootstrap=False)
        assert await deployment[0].change(adding(b"4"), PATIENCE_S) == b"1 2 4"
        await deployment.until(lambda: deployment[0].majority_age_s() < 0.3)

    on_deployment(tmp_path, work)


def test_all_restarted_have_what_was_acknowledged_and_tell_it_unasked(tmp_path: Path) -> None:
    async def work(deployment: Deployment) -> None:
        await deployment.start(0, 1, 2)
        for turn in range(3):
            await deployment[turn].change(adding(b"%d" % turn), PATIENCE_S)
            identities = {node.register.identity for node in deployment.nodes.values()}
            await deployment.stop()
            await deployment.start(2, 1, 0, bootstrap=False)
            assert {node.register.identity for node in deployment.nodes.values()} == identities
            wanted = b" ".join(b"%d" % number for number in range(turn + 1))
            for node in deployment.nodes.values():
                await deployment.until(lambda node=node, wanted=wanted: node.seen == [wanted])

    on_deployment(tmp_path, work)


def test_a_lost_disk_comes_back_as_another_replica(tmp_path: Path) -> None:
    async def work(deployment: Deployment) -> None:
        await deployment.start(0, 1, 2)
        await deployment[0].change(adding(b"1"), PATIENCE_S)
        before = deployment[2].identity
        await deployment.stop(2)
        deployment.wipe(2)
        await deployment.start(2, bootstrap=False)
        after = deployment[2].identity
        assert after != before
        wanted = {deployment[number].identity for number in range(3)}
        for number in range(3):
            await deployment.until(lambda number=number: deployment.nodes[number].replicas == wanted)
        await deployment.stop(0)
        assert await deployment[2].change(adding(b"2"), PATIENCE_S) == b"1 2"

    on_deployment(tmp_path, work)


def test_a_replaced_machine_is_out_for_good(tmp_path: Path) -> None:
    async def work(deployment: Deployment) -> None:
        await deployment.start(0, 1, 2)
        await deployment[0].change(adding(b"1"), PATIENCE_S)
        await deployment.stop(2)
        await deployment.start(3, bootstrap=False)
        deployment.note_peers()
        wanted = {deployment[number].identity for number in (0, 1, 3)}
        for number in (0, 1, 3):
            await deployment.until(lambda number=number: deployment.nodes[number].replicas == wanted)
        assert await deployment[3].change(adding(b"2"), PATIENCE_S) == b"1 2"
        await deployment.start(2, bootstrap=False)
        await deployment.until(lambda: deployment.nodes[2].replicas == wanted, 2)
        assert await deployment[2].change(adding(b"3"), PATIENCE_S) == b"1 2 3"
        await deployment.stop(0)
        assert await deployment[2].change(adding(b"4"), PATIENCE_S) == b"1 2 3 4"

    on_deployment(tmp_path, work, count=4)


def test_all_three_seeds_may_be_replaced_one_after_the_other(tmp_path: Path) -> None:
    async def work(deployment: Deployment) -> None:
        await deployment.start(0, 1, 2)
        await deployment[0].change(adding(b"1"), PATIENCE_S)
        for old, new in ((0, 3), (1, 4), (2, 5)):
            await deployment.start(new, bootstrap=False)
            deployment.note_peers()
            await deployment.until(lambda new=new: deployment[new]._node.learned is not None, new)
            await deployment.stop(old)
            deployment.note_peers()
            wanted = {node.register.identity for node in deployment.nodes.values()}
            for number in deployment.nodes:
                await deployment.until(
                    lambda number=number, wanted=wanted: deployment.nodes[number].replicas == wanted, number
                )
        assert await deployment[4].change(adding(b"2"), PATIENCE_S) == b"1 2"

    on_deployment(tmp_path, work, count=6)


def test_the_set_grows_with_what_is_to_be_borne(tmp_path: Path) -> None:
    async def work(deployment: Deployment) -> None:
        await deployment.start(0, 1, 2, 3, 4)
        deployment.note_peers()
        wanted = {node.register.identity for node in deployment.nodes.values()}
        await deployment.until(lambda: deployment.nodes[0].replicas == wanted)
        await deployment[0].change(adding(b"1"), PATIENCE_S)
        await deployment.stop(0, 1)
        assert await deployment[4].change(adding(b"2"), PATIENCE_S) == b"1 2"

    on_deployment(tmp_path, work, count=5, machines=2)


class DeafNetwork(Network):
    """Calls of the kinds in `lost` are carried out, and their replies are lost; after the first, all replies are."""

    def __init__(self) -> None:
        super().__init__()
        self.lost: tuple[type[Any], ...] = ()

    async def call(self, address: str, body: Any, reply: type[T], timeout_s: float) -> T:
        if isinstance(body, self.lost):
            self.lost = (object,)
        answer = await super().call(address, body, reply, timeout_s)
        if self.lost == (object,):
            raise PeerTimeoutError("the reply is lost")
        return answer


class OvertakenNetwork(Network):
    """Once `finish` is set: as soon as a quorum has accepted a ballot, `finish` is carried out, and after it the
    replies of those that accepted are lost. A ballot that others refuse is left to fail by itself."""

    def __init__(self) -> None:
        super().__init__()
        self.finish: Callable[[], Awaitable[bytes]] | None = None
        self._accepted: Counter[ProposalNumber] = Counter()
        self._finished = asyncio.Event()

    async def call(self, address: str, body: Any, reply: type[T], timeout_s: float) -> T:
        answer = await super().call(address, body, reply, timeout_s)
        if not isinstance(answer, Accepted) or self._over(answer.number):
            return answer
        self._accepted[answer.number] += 1
        if self._accepted[answer.number] == QUORUM:
            finish, self.finish = self.finish, None
            assert finish is not None
            await finish()
            self._finished.set()
        await self._finished.wait()
        raise PeerTimeoutError("the reply is lost")

    def _over(self, ballot: ProposalNumber) -> bool:
        """Whether replies to this ballot arrive: nothing is to be finished any more, and it was not what was."""
        return self.finish is None and self._accepted[ballot] < QUORUM


def deaf(deployment: Deployment, number: int, *kinds: type[Any]) -> None:
    network = deployment.nodes[number].network
    assert isinstance(network, DeafNetwork)
    network.lost = kinds


def test_a_change_whose_acceptances_are_lost_is_in_doubt_and_then_finished(tmp_path: Path) -> None:
    async def work(deployment: Deployment) -> None:
        deployment.network_class = DeafNetwork
        await deployment.start(0, 1, 2)
        await deployment[0].change(adding(b"1"), PATIENCE_S)
        deaf(deployment, 0, Accept)
        with pytest.raises(UnknownOutcomeError):
            await deployment[0].change(adding(b"2"), 0.3)
        assert await deployment[1].read(PATIENCE_S) == b"1 2"
        assert await deployment[1].change(adding(b"2"), PATIENCE_S) == b"1 2"
        deaf(deployment, 0)
        assert await deployment[0].change(adding(b"2"), PATIENCE_S) == b"1 2"

    on_deployment(tmp_path, work)


def test_a_change_whose_promises_are_lost_was_never_proposed(tmp_path: Path) -> None:
    async def work(deployment: Deployment) -> None:
        deployment.network_class = DeafNetwork
        await deployment.start(0, 1, 2)
        deaf(deployment, 0, Prepare)
        with pytest.raises(NoQuorumError):
            await deployment[0].change(adding(b"1"), 0.3)
        assert await deployment[1].read(PATIENCE_S) is None

    on_deployment(tmp_path, work)


def test_others_finish_the_change_of_a_proposer_that_died_unasked(tmp_path: Path) -> None:
    async def work(deployment: Deployment) -> None:
        deployment.network_class = DeafNetwork
        await deployment.start(0, 1, 2)
        deaf(deployment, 0, Accept)
        with pytest.raises(UnknownOutcomeError):
            await deployment[0].change(adding(b"1"), 0.3)
        await deployment.stop(0)
        for number in (1, 2):
            await deployment.until(lambda number=number: deployment.nodes[number].seen == [b"1"], number)

    on_deployment(tmp_path, work)


def test_large_values(tmp_path: Path) -> None:
    body = bytes(range(256)) * 16 * 1024  # 4 MB

    async def work(deployment: Deployment) -> None:
        await deployment.start(0, 1, 2)
        for number in range(4):
            wanted = body + b"%d" % number
            assert (
                await deployment[number % 3].change(lambda value, wanted=wanted: wanted, PATIENCE_S) == wanted
            )
        assert await deployment[2].read(PATIENCE_S) == body + b"3"
        await deployment.stop()
        await deployment.start(0, 1, 2, bootstrap=False)
        assert await deployment[1].read(PATIENCE_S) == body + b"3"

    on_deployment(tmp_path, work)


def test_hundreds_of_changes_leave_a_short_journal(tmp_path: Path) -> None:
    async def work(deployment: Deployment) -> None:
        await deployment.start(0, 1, 2)
        for number in range(300):
            filler = b"%d" % number + b"." * 200_000
            await deployment[number % 3].change(lambda value, filler=filler: filler, PATIENCE_S)
        size = sum(path.stat().st_size for path in (tmp_path / deployment.hosts[0]).iterdir())
        assert size < 30 * 1024 * 1024
        await deployment.stop()
        await deployment.start(0, 1, 2, bootstrap=False)
        value = await deployment[0].read(PATIENCE_S)
        assert value is not None
        assert value.startswith(b"299.")

    on_deployment(tmp_path, work)


def test_a_damaged_journal_is_a_lost_disk(tmp_path: Path) -> None:
    async def work(deployment: Deployment) -> None:
        await deployment.start(0, 1, 2)
        for number in range(3):
            await deployment[0].change(
                lambda value, number=number: b"%d" % number + b"." * 600_000, PATIENCE_S
            )
        before = deployment[2].identity
        await deployment.stop(2)
        first = min((tmp_path / deployment.hosts[2]).iterdir())
        data = bytearray(first.read_bytes())
        data[5000] ^= 1
        first.write_bytes(data)
        await deployment.start(2, bootstrap=True)
        assert deployment[2].identity not in ("", before)
        value = await deployment[2].read(PATIENCE_S)
        assert value is not None
        assert value.startswith(b"2.")

    on_deployment(tmp_path, work)


def test_nothing_is_answered_before_the_start_and_after_the_end(tmp_path: Path) -> None:
    async def work(deployment: Deployment) -> None:
        await deployment.start(0, 1, 2)
        register = deployment[0]
        pending = asyncio.ensure_future(deployment[1].read(PATIENCE_S))
        await pending
        await deployment.stop(0)
        with pytest.raises(NotReadyError):
            await register.read(1.0)
        assert register.majority_age_s() == float("inf")
        assert register.identity == ""

    on_deployment(tmp_path, work)


class FaultyNetwork(Network):
    """Fails calls with an error of its own, as a fault in our code would."""

    broken = False

    async def call(self, address: str, body: Any, reply: type[Any], timeout_s: float) -> Any:
        if self.broken:
            raise RuntimeError("a fault in the program")
        return await super().call(address, body, reply, timeout_s)


def test_a_fault_in_a_call_leaves_no_replica_unasked_for_good(tmp_path: Path) -> None:
    async def work(deployment: Deployment) -> None:
        deployment.network_class = FaultyNetwork
        await deployment.start(0, 1, 2)
        await deployment[0].change(adding(b"1"), PATIENCE_S)
        faulty = deployment.nodes[2].network
        assert isinstance(faulty, FaultyNetwork)
        faulty.broken = True
        with pytest.raises(NoQuorumError):
            await deployment[2].read(0.7)  # long enough that every replica was pinged meanwhile
        await deployment[0].change(adding(b"2"), PATIENCE_S)
        faulty.broken = False
        assert await deployment[2].read(PATIENCE_S) == b"1 2"
        await deployment.until(lambda: deployment.nodes[2].seen[-1:] == [b"1 2"], number=2)
        await deployment.until(lambda: deployment[2].majority_age_s() < 0.3, number=2)

    on_deployment(tmp_path, work)


def test_a_segment_is_not_given_up_while_the_register_does_not_run(tmp_path: Path) -> None:
    async def work(deployment: Deployment) -> None:
        await deployment.start(0, 1, 2)
        register = deployment[2]
        await register._write_snapshot(0)  # a snapshot stands in a later place from here on
        node, register._node = register._node, None
        with pytest.raises(NotReadyError):  # the journal keeps the segment
            await register._write_snapshot(1)
        register._node = node

    on_deployment(tmp_path, work)
