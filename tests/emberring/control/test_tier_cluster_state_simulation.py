"""Simulates control nodes, followers and servers under seeded faults: kills, freezes, partitions, restarts, lost calls.

Time is simulated. Each seed runs a period with faults and one without, after which all nodes must agree with the actual
state; a follower in contact must never list a server as ready after its drain was acknowledged.
"""

from __future__ import annotations

import random

import attrs
import pytest

from emberring.control.cluster_state import ClusterState
from emberring.distribution.messages import Delta, Pull, Update
from emberring.distribution.peers import Peer
from emberring.distribution.records import NodeRecord, NodeRole, ServerRecord, ServerState
from emberring.distribution.view import FollowerView
from emberring.registry.heartbeats import Heartbeat

STEP_S = 0.05
HEARTBEAT_S = 1.2
DRAIN_SEEN_S = 1.0
CONTACT_S = 3.0


@attrs.define
class SimulatedServer:
    name: str
    address: str
    sequence: int = 0
    state: ServerState = ServerState.READY
    alive: bool = True
    next_heartbeat_s: float = 0.0
    drained_s: float | None = None

    def make_heartbeat(self) -> Heartbeat:
        self.sequence += 1
        return Heartbeat(
            ServerRecord(self.name, "engine", self.address, "zone", 48, self.state, self.sequence)
        )


@attrs.define
class SimulatedControlNode:
    address: str
    cluster_state: ClusterState
    up: bool = True
    frozen: bool = False

    @property
    def responds(self) -> bool:
        return self.up and not self.frozen


@attrs.define
class SimulatedFollower:
    record: NodeRecord
    view: FollowerView
    partitioned_until_s: float = 0.0
    next_pull_s: float = 0.0


class Simulation:
    """Three control nodes, two gateways, a store and four servers."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.now_s = 0.0
        self.starts = 0
        self.partitions: set[frozenset[str]] = set()
        self.seeds = ["c0", "c1", "c2"]
        self.controls = [
            SimulatedControlNode(address, self._new_cluster_state(address)) for address in self.seeds
        ]
        self.followers = [
            SimulatedFollower(NodeRecord(name, role, name, "zone", name, "1"), FollowerView(0.0))
            for name, role in (("e0", NodeRole.GATEWAY), ("e1", NodeRole.GATEWAY), ("s0", NodeRole.STORE))
        ]
        self.servers = [SimulatedServer(f"i{number}", f"10.0.0.{number}:80") for number in range(4)]
        self.last_control_fault_s = -CONTACT_S
        self.faults_ended = False

    def _new_cluster_state(self, address: str) -> ClusterState:
        self.starts += 1
        me = NodeRecord(
            f"core-{address}", NodeRole.CONTROL, address, "zone", address, f"{address}.{self.starts}"
        )
        cluster_state = ClusterState(self.now_s, me, self.seeds, HEARTBEAT_S)
        cluster_state.quorum_age_s = lambda: 0.0 if self._has_majority(address) else 5.0
        return cluster_state

    def _has_majority(self, address: str) -> bool:
        return (
            sum(1 for other in self.controls if other.responds and self._connected(address, other.address))
            >= 2
        )

    def _connected(self, one: str, other: str) -> bool:
        return one == other or frozenset((one, other)) not in self.partitions

    # -- a step

    def step(self) -> None:
        self.now_s += STEP_S
        for control in self.controls:
            if control.responds:
                control.cluster_state.tick(self.now_s)
        self.exchange()
        self.send_heartbeats()
        for follower in self.followers:
            if follower.next_pull_s <= self.now_s:
                self.pull(follower)
        self.exchange()
        self.check_drains()

    def exchange(self) -> None:
        for control in self.controls:
            if not control.responds:
                continue
            for peer in control.cluster_state.peers.due(self.now_s):
                control.cluster_state.peers.exchange_began(self.now_s, peer)
                answered = self._exchange_with(control, peer)
                control.cluster_state.peers.exchange_ended(self.now_s, peer, answered)

    def _exchange_with(self, control: SimulatedControlNode, peer: Peer) -> bool:
        address = peer.address
        other = next((one for one in self.controls if one.address == address), None)
        if other is None or not other.responds or not self._connected(control.address, address):
            return False
        exchange = control.cluster_state.exchange_for(self.now_s, peer)
        draw = self.random.random()
        if draw < 0.03:  # the request is lost
            return False
        reply = other.cluster_state.on_exchange(self.now_s, exchange)
        if draw < 0.06:  # the reply is lost
            return False
        control.cluster_state.apply_exchange(self.now_s, reply)
        return True

    def send_heartbeats(self) -> None:
        for server in self.servers:
            if not server.alive or server.next_heartbeat_s > self.now_s:
                continue
            server.next_heartbeat_s = self.now_s + HEARTBEAT_S * self.random.uniform(0.9, 1.1)
            ready = [control for control in self.controls if control.responds]
            if not ready:
                server.next_heartbeat_s = self.now_s + 0.2
                continue
            control = self.random.choice(ready)
            control.cluster_state.on_heartbeat(self.now_s, server.make_heartbeat())
            if server.state is ServerState.DRAINING and server.drained_s is None:
                self.exchange()
                if control.cluster_state.peers_with_end_record(self.now_s, server.name) and self._stable():
                    server.drained_s = self.now_s
                    if not self.faults_ended and self.random.random() < 0.3:
                        self.kill(control)

    def pull(self, follower: SimulatedFollower) -> None:
        follower.next_pull_s = self.now_s + self.random.uniform(0.1, 0.4)
        if follower.partitioned_until_s > self.now_s:
            return
        responding = [control for control in self.controls if control.responds]
        self.random.shuffle(responding)
        for control in responding[:2]:
            follower.view.apply_update(self.now_s, self._reply_to_pull(control, follower))

    def _reply_to_pull(self, control: SimulatedControlNode, follower: SimulatedFollower) -> Update:
        view, cluster_state = follower.view, control.cluster_state
        pull = Pull(follower.record, dict(view.status_table.vector))
        cluster_state.on_node_contact(self.now_s, pull.sender)
        return Update(
            writer_incarnation=cluster_state.me.incarnation,
            quorum_age_ms=cluster_state.quorum_age_s() * 1000,
            delta=cluster_state.status_table.newer_than(pull.vector, gateways=False),
            live_writers=tuple(cluster_state.live_writers(self.now_s)),
            gateways=cluster_state.gateways(self.now_s),
        )

    # -- faults

    def kill(self, control: SimulatedControlNode) -> None:
        control.up = False
        self.last_control_fault_s = self.now_s

    def restart(self, control: SimulatedControlNode) -> None:
        if not control.up:
            control.up, control.frozen = True, False
            control.cluster_state = self._new_cluster_state(control.address)

    def fault(self) -> None:
        control = self.random.choice(self.controls)
        kind = self.random.randrange(8)
        if kind < 6:
            self.last_control_fault_s = self.now_s
        if kind == 0:
            self.kill(control)
        elif kind == 1:
            control.frozen = True
        elif kind == 2:
            control.frozen = False
        elif kind == 3:
            self.restart(control)
        elif kind == 4:
            self.partitions.add(frozenset(self.random.sample(self.seeds, 2)))
        elif kind == 5:
            self.partitions.clear()
        elif kind == 6:
            self.random.choice(self.followers).partitioned_until_s = self.now_s + self.random.uniform(0.5, 8)
        else:
            self.server_fault()

    def server_fault(self) -> None:
        server = self.random.choice(self.servers)
        if server.alive and self.random.random() < 0.5:
            server.state = ServerState.DRAINING
            server.next_heartbeat_s = self.now_s
        elif server.alive:
            server.alive = False
        else:
            replacement = SimulatedServer(
                f"{server.name}x", server.address, next_heartbeat_s=self.now_s + 2.0
            )
            self.servers[self.servers.index(server)] = replacement

    def end_faults(self) -> None:
        self.faults_ended = True
        self.partitions.clear()
        for control in self.controls:
            control.frozen = False
            self.restart(control)
        for follower in self.followers:
            follower.partitioned_until_s = 0.0

    # -- invariants

    def check_drains(self) -> None:
        if not self._stable():
            return
        for server in self.servers:
            if server.drained_s is None or self.now_s - server.drained_s < DRAIN_SEEN_S:
                continue
            for follower in self.followers:
                if self.now_s - follower.partitioned_until_s < CONTACT_S:
                    continue
                record = follower.view.servers.get(server.name)
                context = (self.now_s, server, follower.record.name)
                assert record is None or record.state is not ServerState.READY, context

    def _stable(self) -> bool:
        """Whether a majority of the control nodes is up and connected, and no fault hit them within `CONTACT_S`."""
        return self.now_s - self.last_control_fault_s >= CONTACT_S and all(
            self._has_majority(control.address) for control in self.controls if control.responds
        )

    def check_agreement(self) -> None:
        expected = {server.name: server.state for server in self.servers if server.alive}
        for follower in self.followers:
            listed = {name: record.state for name, record in follower.view.servers.items()}
            assert listed == expected, (follower.record.name, listed, expected)
            assert set(follower.view.nodes) == {"core-c0", "core-c1", "core-c2", "s0"}
            assert follower.view.gateways == 2
        for control in self.controls:
            live = {record.name for record in control.cluster_state.live_nodes(self.now_s)}
            assert live == {"core-c0", "core-c1", "core-c2", "s0", "e0", "e1"}


def simulate(seed: int, faults_s: float, quiet_s: float) -> Simulation:
    simulation = Simulation(seed)
    next_fault_s = 3.0
    while simulation.now_s < faults_s:
        simulation.step()
        if simulation.now_s >= next_fault_s:
            next_fault_s = simulation.now_s + simulation.random.choice((0.05, 0.5, 1.5, 4.0))
            simulation.fault()
    simulation.end_faults()
    while simulation.now_s < faults_s + quiet_s:
        simulation.step()
    return simulation


@pytest.mark.parametrize(
    "seed", [*range(40), 700]
)  # 700: the other control nodes had written a live server as lost
def test_all_nodes_agree_with_the_actual_state_after_faults(seed: int) -> None:
    simulate(seed, 30.0, 20.0).check_agreement()


def test_all_nodes_agree_without_faults() -> None:
    simulation = simulate(0, 2.9, 0.0)
    simulation.check_agreement()


def test_a_delta_for_another_incarnation_is_not_applied() -> None:
    simulation = Simulation(1)
    for _ in range(20):
        simulation.step()
    first, second = simulation.controls[0], simulation.controls[1]
    peer = next(peer for peer in first.cluster_state.peers.live(simulation.now_s) if peer.address == "c1")
    exchange = first.cluster_state.exchange_for(simulation.now_s, peer)
    simulation.kill(second)
    simulation.restart(second)
    second.cluster_state.on_exchange(
        simulation.now_s, attrs.evolve(exchange, delta=attrs.evolve(exchange.delta, vector={"c0.1": 99}))
    )
    assert "c0.1" not in second.cluster_state.status_table.vector
    assert second.cluster_state.on_exchange(simulation.now_s, exchange).delta != Delta()
