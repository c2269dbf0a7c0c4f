"""Registers over loopback: bootstrap, concurrent changes, stopped, wiped and replaced nodes, lost replies."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, TypeVar

import pytest
from register_deployment import Deployment, appending

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

TIMEOUT_S = 5.0
QUORUM = 2  # of three replicas
T = TypeVar("T")


def run_on_deployment(directory: Path, work: Callable[[Deployment], Awaitable[None]], **options: int) -> None:
    """Run a test on a deployment that is stopped afterwards."""

    async def run() -> None:
        deployment = Deployment(directory, **options)
        try:
            await work(deployment)
        finally:
            await deployment.stop()

    asyncio.run(run())


def test_initial_replicas_start_in_any_order(tmp_path: Path) -> None:
    async def work(deployment: Deployment) -> None:
        await deployment.start(2)
        with pytest.raises(NoQuorumError):
            await deployment[2].change(appending(b"1"), 0.05)
        await deployment.start(0)
        assert await deployment[0].read(TIMEOUT_S) is None
        assert await deployment[2].change(appending(b"1"), TIMEOUT_S) == b"1"
        await deployment.start(1)
        assert await deployment[1].read(TIMEOUT_S) == b"1"

    run_on_deployment(tmp_path, work)


def test_a_change_may_keep_the_value_or_reject_it(tmp_path: Path) -> None:
    async def work(deployment: Deployment) -> None:
        await deployment.start(0, 1, 2)
        assert await deployment[0].change(lambda value: None, TIMEOUT_S) == b""
        await deployment[0].change(appending(b"1"), TIMEOUT_S)
        assert await deployment[1].change(appending(b"1"), TIMEOUT_S) == b"1"

        def reject(value: bytes | None) -> bytes | None:
            raise VersionConflictError(f"it is {value!r}")

        with pytest.raises(VersionConflictError, match="b'1'"):
            await deployment[2].change(reject, TIMEOUT_S)

    run_on_deployment(tmp_path, work)


def swapping(expected: bytes | None, value: bytes) -> Callable[[bytes | None], bytes | None]:
    """Return a change from one value to another that keeps any value other than the expected one."""
    return lambda found: value if found == expected else None


def test_one_of_three_concurrent_changes_wins_and_all_return_its_value(tmp_path: Path) -> None:
    async def work(deployment: Deployment) -> None:
        await deployment.start(0, 1, 2)
        current: bytes | None = None
        for turn in range(10):
            wanted = [b"%d-%d" % (turn, number) for number in range(3)]
            results = await asyncio.gather(
                *(
                    deployment[number].change(swapping(current, wanted[number]), TIMEOUT_S)
                    for number in range(3)
                )
            )
            current = results[0]
            assert current in wanted
            assert results == [current] * 3
            assert await deployment[turn % 3].read(TIMEOUT_S) == current

    run_on_deployment(tmp_path, work)


def overtake_next_proposal(deployment: Deployment, number: int, by: int) -> None:
    """Let another node commit this node's next proposal after a quorum has accepted it, and lose the replies."""
    network = deployment.nodes[number].network
    assert isinstance(network, OvertakingNetwork)
    network.finish = lambda: deployment[by].change(lambda value: None, TIMEOUT_S)


async def change_with_overtaking(
    deployment: Deployment, change: Callable[[bytes | None], bytes | None]
) -> bytes:
    deployment.network_class = OvertakingNetwork
    await deployment.start(0, 1, 2)
    await deployment[0].change(appending(b"1"), TIMEOUT_S)
    overtake_next_proposal(deployment, 0, by=1)
    return await deployment[0].change(change, TIMEOUT_S)


def test_a_change_that_another_node_committed_succeeds(tmp_path: Path) -> None:
    async def work(deployment: Deployment) -> None:
        assert await change_with_overtaking(deployment, swapping(b"1", b"2")) == b"2"

    run_on_deployment(tmp_path, work)


def test_a_change_that_rejects_its_own_effect_has_an_unknown_outcome(tmp_path: Path) -> None:
    def rejecting(found: bytes | None) -> bytes:
        if found != b"1":
            raise VersionConflictError("another is current")
        return b"2"

    async def work(deployment: Deployment) -> None:
        with pytest.raises(UnknownOutcomeError, match="another is current"):
            await change_with_overtaking(deployment, rejecting)
        assert await deployment[2].read(TIMEOUT_S) == b"2"

    run_on_deployment(tmp_path, work)


def test_eight_concurrent_changes_all_commit_within_a_second(tmp_path: Path) -> None:
    async def work(deployment: Deployment) -> None:
        await deployment.start(0, 1, 2)
        for turn in range(5):
            names = [b"%d.%d" % (turn, number) for number in range(8)]
            await asyncio.gather(
                *(deployment[number % 3].change(appending(name), 1.0) for number, name in enumerate(names))
            )
            value = await deployment[turn % 3].read(1.0)
            assert value is not None
            assert set(names) <= set(value.split())

    run_on_deployment(tmp_path, work)


def test_every_node_is_notified_of_values_in_order(tmp_path: Path) -> None:
    async def work(deployment: Deployment) -> None:
        await deployment.start(0, 1, 2)
        for number in range(20):
            await deployment[number % 3].change(appending(b"%d" % number), TIMEOUT_S)
        last = await deployment[0].read(TIMEOUT_S)
        for node in deployment.nodes.values():
            await deployment.wait_until(lambda node=node: node.notified_values[-1:] == [last])
            assert all(
                later.startswith(earlier)
                for earlier, later in zip(node.notified_values, node.notified_values[1:], strict=False)
            )
        notified: list[bytes] = []
        deployment[1].subscribe(notified.append)
        assert notified == [last]

    run_on_deployment(tmp_path, work)


def test_one_of_three_replicas_may_be_down_but_not_two(tmp_path: Path) -> None:
    async def work(deployment: Deployment) -> None:
        await deployment.start(0, 1, 2)
        await deployment[0].change(appending(b"1"), TIMEOUT_S)
        await deployment.stop(2)
        assert await deployment[1].change(appending(b"2"), TIMEOUT_S) == b"1 2"
        await deployment.stop(1)
        with pytest.raises(NoQuorumError):
            await deployment[0].read(0.1)
        with pytest.raises(NoQuorumError):
            await deployment[0].change(appending(b"3"), 0.1)
        age_s = deployment[0].majority_age_s()
        assert age_s > 0.05
        await deployment.start(1, bootstrap=False)
        assert await deployment[0].change(appending(b"4"), TIMEOUT_S) == b"1 2 4"
        await deployment.wait_until(lambda: deployment[0].majority_age_s() < 0.3)

    run_on_deployment(tmp_path, work)


def test_restarted_nodes_notify_subscribers_of_acknowledged_changes(tmp_path: Path) -> None:
    async def work(deployment: Deployment) -> None:
        await deployment.start(0, 1, 2)
        for turn in range(3):
            await deployment[turn].change(appending(b"%d" % turn), TIMEOUT_S)
            identities = {node.register.identity for node in deployment.nodes.values()}
            await deployment.stop()
            await deployment.start(2, 1, 0, bootstrap=False)
            assert {node.register.identity for node in deployment.nodes.values()} == identities
            wanted = b" ".join(b"%d" % number for number in range(turn + 1))
            for node in deployment.nodes.values():
                await deployment.wait_until(lambda node=node, wanted=wanted: node.notified_values == [wanted])

    run_on_deployment(tmp_path, work)


def test_a_node_that_lost_its_disk_returns_as_another_replica(tmp_path: Path) -> None:
    async def work(deployment: Deployment) -> None:
        await deployment.start(0, 1, 2)
        await deployment[0].change(appending(b"1"), TIMEOUT_S)
        before = deployment[2].identity
        await deployment.stop(2)
        deployment.delete_journal(2)
        await deployment.start(2, bootstrap=False)
        after = deployment[2].identity
        assert after != before
        wanted = {deployment[number].identity for number in range(3)}
        for number in range(3):
            await deployment.wait_until(lambda number=number: deployment.nodes[number].replicas == wanted)
        await deployment.stop(0)
        assert await deployment[2].change(appending(b"2"), TIMEOUT_S) == b"1 2"

    run_on_deployment(tmp_path, work)


def test_a_replaced_machine_does_not_become_a_replica_again(tmp_path: Path) -> None:
    async def work(deployment: Deployment) -> None:
        await deployment.start(0, 1, 2)
        await deployment[0].change(appending(b"1"), TIMEOUT_S)
        await deployment.stop(2)
        await deployment.start(3, bootstrap=False)
        deployment.note_peers()
        wanted = {deployment[number].identity for number in (0, 1, 3)}
        for number in (0, 1, 3):
            await deployment.wait_until(lambda number=number: deployment.nodes[number].replicas == wanted)
        assert await deployment[3].change(appending(b"2"), TIMEOUT_S) == b"1 2"
        await deployment.start(2, bootstrap=False)
        await deployment.wait_until(lambda: deployment.nodes[2].replicas == wanted, 2)
        assert await deployment[2].change(appending(b"3"), TIMEOUT_S) == b"1 2 3"
        await deployment.stop(0)
        assert await deployment[2].change(appending(b"4"), TIMEOUT_S) == b"1 2 3 4"

    run_on_deployment(tmp_path, work, count=4)


def test_all_three_seeds_can_be_replaced_one_after_the_other(tmp_path: Path) -> None:
    async def work(deployment: Deployment) -> None:
        await deployment.start(0, 1, 2)
        await deployment[0].change(appending(b"1"), TIMEOUT_S)
        for old, new in ((0, 3), (1, 4), (2, 5)):
            await deployment.start(new, bootstrap=False)
            deployment.note_peers()
            await deployment.wait_until(lambda new=new: deployment[new]._node.learned is not None, new)
            await deployment.stop(old)
            deployment.note_peers()
            wanted = {node.register.identity for node in deployment.nodes.values()}
            for number in deployment.nodes:
                await deployment.wait_until(
                    lambda number=number, wanted=wanted: deployment.nodes[number].replicas == wanted, number
                )
        assert await deployment[4].change(appending(b"2"), TIMEOUT_S) == b"1 2"

    run_on_deployment(tmp_path, work, count=6)


def test_the_replica_set_grows_to_the_configured_fault_tolerance(tmp_path: Path) -> None:
    async def work(deployment: Deployment) -> None:
        await deployment.start(0, 1, 2, 3, 4)
        deployment.note_peers()
        wanted = {node.register.identity for node in deployment.nodes.values()}
        await deployment.wait_until(lambda: deployment.nodes[0].replicas == wanted)
        await deployment[0].change(appending(b"1"), TIMEOUT_S)
        await deployment.stop(0, 1)
        assert await deployment[4].change(appending(b"2"), TIMEOUT_S) == b"1 2"

    run_on_deployment(tmp_path, work, count=5, machines=2)


class ReplyLosingNetwork(Network):
    """Calls of the kinds in `lost` are executed and their replies lost; after the first one, all replies are lost."""

    def __init__(self) -> None:
        super().__init__()
        self.lost: tuple[type[Any], ...] = ()

    async def call(self, address: str, body: Any, reply: type[T], timeout_s: float) -> T:
        if isinstance(body, self.lost):
            self.lost = (object,)
        received = await super().call(address, body, reply, timeout_s)
        if self.lost == (object,):
            raise PeerTimeoutError("the reply is lost")
        return received


class OvertakingNetwork(Network):
    """Once `finish` is set, it is called as soon as a quorum accepted a proposal, and then the acceptances are lost.

    Proposals that are rejected fail by themselves.
    """

    def __init__(self) -> None:
        super().__init__()
        self.finish: Callable[[], Awaitable[bytes]] | None = None
        self._accepted: Counter[ProposalNumber] = Counter()
        self._finished = asyncio.Event()

    async def call(self, address: str, body: Any, reply: type[T], timeout_s: float) -> T:
        received = await super().call(address, body, reply, timeout_s)
        if not isinstance(received, Accepted) or self._is_delivered(received.number):
            return received
        self._accepted[received.number] += 1
        if self._accepted[received.number] == QUORUM:
            finish, self.finish = self.finish, None
            assert finish is not None
            await finish()
            self._finished.set()
        await self._finished.wait()
        raise PeerTimeoutError("the reply is lost")

    def _is_delivered(self, number: ProposalNumber) -> bool:
        """Whether acceptances of this number are delivered: `finish` is not set, and no quorum accepted this number."""
        return self.finish is None and self._accepted[number] < QUORUM


def lose_replies(deployment: Deployment, number: int, *kinds: type[Any]) -> None:
    network = deployment.nodes[number].network
    assert isinstance(network, ReplyLosingNetwork)
    network.lost = kinds


def test_a_change_whose_acceptances_are_lost_has_an_unknown_outcome_and_is_committed_later(
    tmp_path: Path,
) -> None:
    async def work(deployment: Deployment) -> None:
        deployment.network_class = ReplyLosingNetwork
        await deployment.start(0, 1, 2)
        await deployment[0].change(appending(b"1"), TIMEOUT_S)
        lose_replies(deployment, 0, Accept)
        with pytest.raises(UnknownOutcomeError):
            await deployment[0].change(appending(b"2"), 0.3)
        assert await deployment[1].read(TIMEOUT_S) == b"1 2"
        assert await deployment[1].change(appending(b"2"), TIMEOUT_S) == b"1 2"
        lose_replies(deployment, 0)
        assert await deployment[0].change(appending(b"2"), TIMEOUT_S) == b"1 2"

    run_on_deployment(tmp_path, work)


def test_a_change_whose_promises_are_lost_is_not_proposed(tmp_path: Path) -> None:
    async def work(deployment: Deployment) -> None:
        deployment.network_class = ReplyLosingNetwork
        await deployment.start(0, 1, 2)
        lose_replies(deployment, 0, Prepare)
        with pytest.raises(NoQuorumError):
            await deployment[0].change(appending(b"1"), 0.3)
        assert await deployment[1].read(TIMEOUT_S) is None

    run_on_deployment(tmp_path, work)


def test_other_nodes_commit_the_proposal_of_a_stopped_proposer(tmp_path: Path) -> None:
    async def work(deployment: Deployment) -> None:
        deployment.network_class = ReplyLosingNetwork
        await deployment.start(0, 1, 2)
        lose_replies(deployment, 0, Accept)
        with pytest.raises(UnknownOutcomeError):
            await deployment[0].change(appending(b"1"), 0.3)
        await deployment.stop(0)
        for number in (1, 2):
            await deployment.wait_until(
                lambda number=number: deployment.nodes[number].notified_values == [b"1"], number
            )

    run_on_deployment(tmp_path, work)


def test_large_values(tmp_path: Path) -> None:
    body = bytes(range(256)) * 16 * 1024  # 4 MB

    async def work(deployment: Deployment) -> None:
        await deployment.start(0, 1, 2)
        for number in range(4):
            wanted = body + b"%d" % number
            assert (
                await deployment[number % 3].change(lambda value, wanted=wanted: wanted, TIMEOUT_S) == wanted
            )
        assert await deployment[2].read(TIMEOUT_S) == body + b"3"
        await deployment.stop()
        await deployment.start(0, 1, 2, bootstrap=False)
        assert await deployment[1].read(TIMEOUT_S) == body + b"3"

    run_on_deployment(tmp_path, work)


def test_the_journal_stays_small_after_hundreds_of_changes(tmp_path: Path) -> None:
    async def work(deployment: Deployment) -> None:
        await deployment.start(0, 1, 2)
        for number in range(300):
            filler = b"%d" % number + b"." * 200_000
            await deployment[number % 3].change(lambda value, filler=filler: filler, TIMEOUT_S)
        size = sum(path.stat().st_size for path in (tmp_path / deployment.hosts[0]).iterdir())
        assert size < 30 * 1024 * 1024
        await deployment.stop()
        await deployment.start(0, 1, 2, bootstrap=False)
        value = await deployment[0].read(TIMEOUT_S)
        assert value is not None
        assert value.startswith(b"299.")

    run_on_deployment(tmp_path, work)


def test_a_corrupt_journal_is_treated_as_a_lost_disk(tmp_path: Path) -> None:
    async def work(deployment: Deployment) -> None:
        await deployment.start(0, 1, 2)
        for number in range(3):
            await deployment[0].change(
                lambda value, number=number: b"%d" % number + b"." * 600_000, TIMEOUT_S
            )
        before = deployment[2].identity
        await deployment.stop(2)
        first = min((tmp_path / deployment.hosts[2]).iterdir())
        data = bytearray(first.read_bytes())
        data[5000] ^= 1
        first.write_bytes(data)
        await deployment.start(2, bootstrap=True)
        assert deployment[2].identity not in ("", before)
        value = await deployment[2].read(TIMEOUT_S)
        assert value is not None
        assert value.startswith(b"2.")

    run_on_deployment(tmp_path, work)


def test_a_stopped_register_rejects_operations(tmp_path: Path) -> None:
    async def work(deployment: Deployment) -> None:
        await deployment.start(0, 1, 2)
        register = deployment[0]
        pending = asyncio.ensure_future(deployment[1].read(TIMEOUT_S))
        await pending
        await deployment.stop(0)
        with pytest.raises(NotReadyError):
            await register.read(1.0)
        assert register.majority_age_s() == float("inf")
        assert register.identity == ""

    run_on_deployment(tmp_path, work)


class ReplylessNetwork(Network):
    """Delivers proposals to other replicas and withholds their replies."""

    def __init__(self) -> None:
        super().__init__()
        self.withholding = False
        self.accepted = 0

    async def call(self, address: str, message: Any, reply: Any, timeout_s: float) -> Any:
        answer = await super().call(address, message, reply, timeout_s)
        if self.withholding and isinstance(message, Accept):
            self.accepted += 1
            await asyncio.Event().wait()
        return answer


# Guards against an operator who is told that a change was not taken while other replicas have committed it.
def test_a_change_that_others_have_accepted_has_an_unknown_outcome_when_the_register_stops(
    tmp_path: Path,
) -> None:
    async def work(deployment: Deployment) -> None:
        deployment.network_class = ReplylessNetwork
        await deployment.start(0, 1, 2)
        await deployment[0].change(lambda value: b"1", TIMEOUT_S)
        network = deployment.nodes[0].network
        assert isinstance(network, ReplylessNetwork)
        network.withholding = True
        change = asyncio.ensure_future(deployment[0].change(lambda value: b"2", TIMEOUT_S))
        async with asyncio.timeout(TIMEOUT_S):
            while network.accepted < QUORUM:
                await asyncio.sleep(0)
        await deployment.stop(0)
        with pytest.raises(UnknownOutcomeError):
            await change
        assert await deployment[1].read(TIMEOUT_S) == b"2"

    run_on_deployment(tmp_path, work)


def test_a_read_is_refused_when_the_register_stops(tmp_path: Path) -> None:
    async def work(deployment: Deployment) -> None:
        await deployment.start(0)
        register = deployment[0]
        read = asyncio.ensure_future(register.read(TIMEOUT_S))
        await asyncio.sleep(0)
        await deployment.stop(0)
        with pytest.raises(NotReadyError):
            await read

    run_on_deployment(tmp_path, work)


class FaultyNetwork(Network):
    """Fails calls with an unexpected exception, as a defect in the program would."""

    is_failing = False

    async def call(self, address: str, body: Any, reply: type[Any], timeout_s: float) -> Any:
        if self.is_failing:
            raise RuntimeError("a fault in the program")
        return await super().call(address, body, reply, timeout_s)


def test_a_fault_in_a_call_leaves_no_replica_unasked_for_good(tmp_path: Path) -> None:
    async def work(deployment: Deployment) -> None:
        deployment.network_class = FaultyNetwork
        await deployment.start(0, 1, 2)
        await deployment[0].change(appending(b"1"), TIMEOUT_S)
        faulty = deployment.nodes[2].network
        assert isinstance(faulty, FaultyNetwork)
        faulty.is_failing = True
        with pytest.raises(NoQuorumError):
            await deployment[2].read(0.7)  # long enough for a ping to every replica
        await deployment[0].change(appending(b"2"), TIMEOUT_S)
        faulty.is_failing = False
        assert await deployment[2].read(TIMEOUT_S) == b"1 2"
        await deployment.wait_until(lambda: deployment.nodes[2].notified_values[-1:] == [b"1 2"], number=2)
        await deployment.wait_until(lambda: deployment[2].majority_age_s() < 0.3, number=2)

    run_on_deployment(tmp_path, work)


def test_a_segment_is_not_given_up_while_the_register_does_not_run(tmp_path: Path) -> None:
    async def work(deployment: Deployment) -> None:
        await deployment.start(0, 1, 2)
        register = deployment[2]
        await register._write_snapshot(0)  # from here on a later segment contains a snapshot
        node, register._node = register._node, None
        with pytest.raises(NotReadyError):  # so that the journal does not reclaim the segment
            await register._write_snapshot(1)
        register._node = node

    run_on_deployment(tmp_path, work)
