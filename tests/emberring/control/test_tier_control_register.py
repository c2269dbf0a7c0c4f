"""Control nodes with the real register over loopback: kills, disk loss, replacement, races, lost acknowledgements."""

from __future__ import annotations

import asyncio
import json
import shutil
from collections.abc import Awaitable, Callable
from pathlib import Path

from free_ports import free_ports
from tier_control_fixture import AFollower, HttpResponse, a_document, a_heartbeat, eventually, http, now

from emberring.control.http_server import HttpServer
from emberring.control.node import ControlNode
from emberring.control.peer_cache import PeerCache
from emberring.register.service import RegisterService
from emberring.settings import FaultTolerance, Listen, Settings
from emberring.transport.network import Network

FIRST_HOST = 21  # addresses 127.0.0.21 and following


class RunningNode:
    """A running control node."""

    def __init__(
        self, network: Network, register: RegisterService, node: ControlNode, server: HttpServer
    ) -> None:
        self.network, self.register, self.node, self.server = network, register, node, server

    async def kill(self) -> None:
        """Stop without announcing the shutdown; calls in flight are aborted."""
        await self.network.close()
        await self.node.stop()
        await self.register.stop()
        await self.server.stop()


class Machines:
    """Control machines with disks, by the number of their address."""

    def __init__(self, directory: Path) -> None:
        self.directory = directory
        self.running: dict[int, RunningNode] = {}
        self.port = free_ports(20)[0]

    def settings(self, number: int, bootstrap: bool, seeds: tuple[int, ...]) -> Settings:
        return Settings(
            node_name=f"core-{number}",
            ip=self.ip(number),
            zone=f"zone-{number}",
            port_range=(self.port, self.port + 9),
            seed_nodes=tuple(f"{self.ip(seed)}:{self.port + 10}" for seed in seeds),
            bootstrap=bootstrap,
            data_dir=str(self.disk(number)),
            listen=Listen(control_plane=f"{self.ip(number)}:{self.port + 10}"),
            fault_tolerance=FaultTolerance(machines=1),
        )

    def ip(self, number: int) -> str:
        return f"127.0.0.{FIRST_HOST + number}"

    def disk(self, number: int) -> Path:
        return self.directory / str(number)

    def seeds(self) -> list[str]:
        return [f"{self.ip(number)}:{self.port + 1}" for number in (0, 1, 2)]

    async def start(self, *numbers: int, bootstrap: bool = False, seeds: tuple[int, ...] = (0, 1, 2)) -> None:
        await asyncio.gather(*(self._start(number, bootstrap, seeds) for number in numbers))

    async def _start(self, number: int, bootstrap: bool, seeds: tuple[int, ...]) -> None:
        settings, network = self.settings(number, bootstrap, seeds), Network()
        register = RegisterService(settings, network, self.disk(number) / "register")
        await register.start()
        peer_cache = PeerCache(self.disk(number) / "control-nodes")
        node = ControlNode(settings, network, register, peer_cache=peer_cache)
        await network.listen(f"{self.ip(number)}:{self.port + 1}")
        node.start()
        server = HttpServer(node.app, settings.listen.control_plane)
        await server.start()
        self.running[number] = RunningNode(network, register, node, server)

    async def kill(self, *numbers: int, wipe: bool = False) -> None:
        await asyncio.gather(*(self.running.pop(number).kill() for number in numbers))
        if wipe:
            for number in numbers:
                shutil.rmtree(self.disk(number))

    async def call(
        self, number: int, method: str, path: str, body: object = None, base: int | None = None
    ) -> HttpResponse:
        encoded = b"" if body is None else json.dumps(body).encode()
        headers = {} if base is None else {"If-Match": str(base)}
        return await http(self.port + 10, method, path, encoded, headers, host=self.ip(number))

    async def put(self, number: int, version: int, base: int, **changes: object) -> int:
        return (await self.call(number, "PUT", "/v1/config", a_document(version, **changes), base)).status

    async def put_until_known(self, version: int, base: int, **changes: object) -> int:
        """Retry as an operator does, at one node after another, until the outcome is known."""
        return await self.put_until_known_at(min(self.running), version, base, **changes)

    async def put_until_known_at(self, first: int, version: int, base: int, **changes: object) -> int:
        """The same, starting at this node."""
        deadline = now() + 12.0
        while now() < deadline:
            for number in sorted(self.running, key=lambda number: number != first):
                status = await self.put(number, version, base, **changes)
                if status < 500:
                    return status
        raise AssertionError("the outcome is not known in time")

    async def wait_until_joined(self, number: int) -> None:
        """Wait until all nodes know that the replica set is exactly that of the running nodes, including this one."""
        expected = {running.register.identity for running in self.running.values()}
        assert self.running[number].register.identity in expected
        await eventually(
            lambda: all(replicas(one.register) == expected for one in self.running.values()), 12.0
        )


def replicas(register: RegisterService) -> set[str]:
    """The identities in the replica set known to this node; empty while a change of the set is in progress."""
    known = register._node.known if register._node is not None else None
    if known is None or known.state.replicas.joining:
        return set()
    return {member.identity for member in known.state.replicas.members}


def run_on_machines(directory: Path, scenario: Callable[[Machines], Awaitable[None]]) -> None:
    async def run() -> None:
        machines = Machines(directory)
        await machines.start(0, 1, 2, bootstrap=True)
        try:
            assert await machines.put_until_known(1, 0) == 200
            await scenario(machines)
        finally:
            await machines.kill(*list(machines.running))

    asyncio.run(asyncio.wait_for(run(), 60))


def test_what_was_acknowledged_survives_a_kill_of_all(tmp_path: Path) -> None:
    async def scenario(machines: Machines) -> None:
        assert await machines.put(1, 7, 1, Mark="kept") == 200
        async with AFollower(machines.seeds()) as follower:
            await eventually(
                lambda: follower.configuration is not None and follower.configuration.version == 7
            )
            await machines.kill(0, 1, 2)
            await machines.start(2, 1, 0)
            assert await machines.put_until_known(7, 1, Mark="kept") == 200
            assert (await machines.call(2, "GET", "/v1/config")).json["Mark"] == "kept"
            assert follower.configuration is not None
            assert follower.configuration.version == 7

    run_on_machines(tmp_path, scenario)


def test_a_node_that_lost_its_disk_does_not_count_as_the_former_replica(tmp_path: Path) -> None:
    """After an acknowledgement one node loses its disk and the others restart; the value must survive."""

    async def scenario(machines: Machines) -> None:
        for round_number, number in enumerate((0, 1, 2)):
            version = 10 * (round_number + 1)
            base = 1 if round_number == 0 else version - 10
            assert await machines.put_until_known(version, base) == 200
            identity = machines.running[number].register.identity
            await machines.kill(number, wipe=True)
            await machines.start(number)
            assert machines.running[number].register.identity != identity
            await machines.wait_until_joined(number)
            others = [other for other in (0, 1, 2) if other != number]
            await machines.kill(*others)
            await machines.start(*others)
            assert await machines.put_until_known(version, base) == 200
            assert (await machines.call(others[0], "GET", "/v1/config")).json["Version"] == version

    run_on_machines(tmp_path, scenario)


def test_a_machine_that_replaces_another_takes_its_place(tmp_path: Path) -> None:
    async def scenario(machines: Machines) -> None:
        await machines.kill(0, wipe=True)
        await machines.start(3)
        assert await machines.put_until_known(5, 1) == 200
        await eventually(lambda: machines.running[3].node.cluster_state.state.version == 5, 10.0)
        await eventually(lambda: {"core-1", "core-2", "core-3"} == names(machines, 1), 10.0)
        await machines.wait_until_joined(3)
        await machines.kill(1)  # the new replica and one of the old ones are a majority
        assert await machines.put_until_known(9, 5) == 200

    def names(machines: Machines, number: int) -> set[str]:
        cluster_state = machines.running[number].node.cluster_state
        return {record.name for record in cluster_state.live_nodes(now())}

    run_on_machines(tmp_path, scenario)


def test_of_concurrent_operators_on_one_version_one_is_accepted(tmp_path: Path) -> None:
    async def scenario(machines: Machines) -> None:
        version = 1
        for step in range(6):
            following = version + 2
            statuses = await asyncio.gather(
                *(
                    machines.put_until_known_at(number, following, version, Mark=f"{step}-{number}")
                    for number in range(3)
                )
            )
            assert sorted(statuses) == [200, 412, 412]
            winner = statuses.index(200)
            read = (await machines.call((step + 1) % 3, "GET", "/v1/config")).json
            assert (read["Version"], read["Mark"]) == (following, f"{step}-{winner}")
            version = following

    run_on_machines(tmp_path, scenario)


def test_eight_concurrent_requests_have_known_outcomes_after_retries(tmp_path: Path) -> None:
    async def scenario(machines: Machines) -> None:
        requests = [
            machines.put_until_known_at(number % 3, 5 + number, 1, Mark=number) for number in range(8)
        ]
        statuses = await asyncio.gather(*requests)
        assert sorted(statuses) == [200] + [412] * 7

    run_on_machines(tmp_path, scenario)


def test_a_request_whose_acknowledgement_is_lost_is_accepted_once(tmp_path: Path) -> None:
    async def scenario(machines: Machines) -> None:
        body = json.dumps(a_document(5)).encode()
        _, writer = await asyncio.open_connection(machines.ip(0), machines.port + 10)
        head = f"PUT /v1/config HTTP/1.1\r\nHost: c\r\nIf-Match: 1\r\nContent-Length: {len(body)}\r\n\r\n"
        writer.write(head.encode() + body)
        await writer.drain()
        writer.transport.abort()
        assert await machines.put_until_known(5, 1) == 200
        assert await machines.put_until_known(8, 5) == 200
        for number in range(3):
            assert await machines.put(number, 5, 1) == 200
        assert (await machines.call(1, "GET", "/v1/config")).json["Version"] == 8

    run_on_machines(tmp_path, scenario)


def test_a_killed_node_loses_no_request_and_no_drain(tmp_path: Path) -> None:
    async def scenario(machines: Machines) -> None:
        async with AFollower(machines.seeds()) as follower:
            await eventually(lambda: follower.in_contact)
            assert (await machines.call(0, "PUT", "/v1/instances/i-1", a_heartbeat(1))).status == 200
            await eventually(lambda: "i-1" in follower.servers)
            await machines.kill(0)
            began = now()
            assert await machines.put_until_known(5, 1) == 200
            assert now() - began < 4.0
            assert (await machines.call(1, "DELETE", "/v1/instances/i-1")).status == 200
            await eventually(lambda: "i-1" not in follower.servers, 0.5)
            await eventually(
                lambda: follower.configuration is not None and follower.configuration.version == 5
            )

    run_on_machines(tmp_path, scenario)
