"""A tier on loopback whose nodes run the program of this checkout or that of the reference commit.

All names that these tests use from the package are imported here. Nothing is imported from the reference commit's
worktree: its program only runs in separate processes.
"""

from __future__ import annotations

import asyncio
import os
import shutil
import subprocess
import sys
from collections.abc import Awaitable, Callable, Iterable, Iterator, Mapping
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import attrs
import orjson
import pytest

from emberring.emulator.configurations import (
    ADDED_PREFIX,
    EXPLAIN_PREFIX,
    SERVICE,
    TrialLimits,
    added_route,
    trial_configuration,
)
from emberring.emulator.engine import EngineSpec
from emberring.emulator.heartbeats import Heartbeats
from emberring.emulator.http_calls import CALL_ERRORS, call_once
from emberring.emulator.invariant_checker import check_job, check_stream
from emberring.emulator.job_client import JobClient, JobHistory, make_job
from emberring.emulator.live_client import LiveClient, StreamCall, StreamEnd
from emberring.emulator.local_node import CONTROL_PLANE, FRONTEND, READINESS, LocalNode, settings_text
from emberring.emulator.local_tier import LocalTier, TierSize
from emberring.emulator.model_server import ModelServer
from emberring.emulator.observations import Observations
from emberring.emulator.operator import Operator
from emberring.emulator.server_fleet import ServerFleet
from emberring.emulator.store_scan import scan_stores
from emberring.emulator.traffic import Traffic, TrafficPlan
from emberring.emulator.waiting import POLL_INTERVAL_S
from emberring.errors import EmberringError
from emberring.settings import SETTINGS_VARIABLE

# The last release before the identifiers were renamed: the version in service when a node of this checkout starts.
REFERENCE_COMMIT = "e0fe695"
NEW_PROGRAM = Path(__file__).resolve().parent.parent.parent
ROLES = ("control", "store", "gateway")

START_S = 60.0  # several processes start at once, possibly on a busy machine
SETTLE_S = 60.0
ORDER_S = 30.0
JOBS_S = 60.0
END_S = 20.0  # time from SIGTERM until a node is killed, which fails the test
NODE_GRACE_S = 3.0
PAGE_S = 2.0
FRESH_MAJORITY_S = 1.0  # a control node whose last contact with a majority is older counts as partitioned
SIGNS_OF_FAULTS = ("protocol_violation", "Traceback", "level=ERROR")
STRIDE = 8
SERVERS = 3
TERMS = TrialLimits(stride=STRIDE, retention_s=600)


def _git(*words: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(["git", *words], cwd=NEW_PROGRAM, capture_output=True, text=True, check=False)


@contextmanager
def reference_program(folder: Path) -> Iterator[Path]:
    """Create a worktree of the reference commit. Skips the test only if git or the commit is missing."""
    if shutil.which("git") is None:
        pytest.skip("git is missing: the reference commit's program can't be had")
    if _git("cat-file", "-e", f"{REFERENCE_COMMIT}^{{commit}}").returncode != 0:
        pytest.skip(f"commit {REFERENCE_COMMIT} is missing here (a shallow clone, or no clone of git)")
    worktree = folder / "reference"
    added = _git("worktree", "add", "--detach", str(worktree), REFERENCE_COMMIT)
    assert added.returncode == 0, added.stderr
    try:
        yield worktree
    finally:
        _git("worktree", "remove", "--force", str(worktree))


def program_variables(program: Path) -> dict[str, str]:
    """Return the environment of a process that runs this program, without any other program on its import path."""
    return {**os.environ, "PYTHONPATH": str(program)}


def package_folder(program: Path) -> Path:
    """Return the folder from which a process of this program imports its package."""
    code = "import emberring; print(emberring.__file__)"
    found = subprocess.run(
        [sys.executable, "-c", code],
        cwd=program,
        env=program_variables(program),
        capture_output=True,
        text=True,
        check=True,
    )
    return Path(found.stdout.strip()).resolve().parent


class VersionedNode(LocalNode):
    """A node whose program can be changed while it is stopped; it keeps its data directory."""

    program = NEW_PROGRAM

    def start(self, *, bootstrap: bool) -> None:
        """Start a process of the program, which appends to the log."""
        data_dir = self._folder / "data"
        data_dir.mkdir(parents=True, exist_ok=True)
        text = settings_text(self.place, self._seeds, data_dir, bootstrap=bootstrap, grace_s=self._grace_s)
        self.settings_path.write_text(text)
        with self.log_path.open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", "emberring", self.place.role],
                cwd=self.program,
                env={**program_variables(self.program), SETTINGS_VARIABLE: str(self.settings_path)},
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.starts += 1


class VersionedTier(LocalTier):
    """The processes of all nodes, each with the program that `programs` specifies for its role."""

    def __init__(self, folder: Path, programs: Mapping[str, Path]) -> None:
        super().__init__(folder, TierSize(grace_s=END_S))
        seeds = self.controls()[:3]
        for name, node in self.nodes.items():
            versioned = VersionedNode(node.place, seeds, folder, NODE_GRACE_S)
            versioned.program = programs[node.place.role]
            self.nodes[name] = versioned

    def versioned(self) -> list[VersionedNode]:
        """Return all nodes."""
        return [node for node in self.nodes.values() if isinstance(node, VersionedNode)]

    async def replace(self, name: str, program: Path) -> None:
        """Stop a node with SIGTERM and start it with this program on the same data directory."""
        node = self.nodes[name]
        assert isinstance(node, VersionedNode)
        code = await node.stop(END_S)
        assert code == 0, (name, code, node.log_tail())
        node.program = program
        node.start(bootstrap=False)
        assert await self.wait_up([name], START_S) is not None, (name, node.log_tail())

    async def replace_whole(self, program: Path) -> None:
        """Stop all nodes, and only then start all with this program on the same data directories."""
        codes = await self.stop()
        assert set(codes.values()) == {0}, codes
        for node in self.versioned():
            node.program = program
            node.start(bootstrap=False)
        self._prober = asyncio.get_running_loop().create_task(self._probe_on())
        assert await self.wait_up(self.nodes, START_S) is not None, [
            (name, node.log_tail()) for name, node in self.nodes.items()
        ]


async def holds_within(check: Callable[[], Awaitable[bool]], within_s: float) -> bool:
    """Poll until the check returns True. Returns False if it does not within `within_s` seconds."""
    loop = asyncio.get_running_loop()
    give_up_at = loop.time() + within_s
    while not await check():
        if loop.time() >= give_up_at:
            return False
        await asyncio.sleep(POLL_INTERVAL_S)
    return True


@attrs.define
class Views:
    """The tier as each node reports it: status pages of the control nodes, metrics of the gateways, shards of the
    stores. Nodes that did not respond are missing."""

    controls: dict[str, dict[str, Any]] = attrs.field(factory=dict)
    gateways: dict[str, dict[str, float]] = attrs.field(factory=dict)
    stores: dict[str, Any] = attrs.field(factory=dict)


class World:
    """A tier of two programs with its model servers, clients and operator. The package also calls batch jobs lots."""

    def __init__(self, folder: Path, programs: Mapping[str, Path]) -> None:
        self.tier = VersionedTier(folder, programs)
        self.seen = Observations()
        self.operator = Operator(self.tier.controls())
        self.fleet = ServerFleet(SERVICE, EngineSpec(stride=STRIDE), self.tier.controls, self.seen)
        self.traffic: Traffic | None = None
        self.version = 0
        self.drained: dict[str, float] = {}  # server id -> time since which no gateway sends it requests
        self._asked = 0
        self._own_ids: set[str] = set()
        self._last = Views()

    # Start and stop

    async def start(self) -> None:
        """Start all nodes, send the first configuration, and wait until every node has received the complete state."""
        self.tier.start()
        for _ in range(SERVERS):
            await self.fleet.add()
        first = await self.operator.put_configuration(trial_configuration(1, TERMS), 0, START_S)
        assert first.acknowledged, self.logs()
        self.version = 1
        assert await self.tier.wait_up(self.tier.nodes, START_S) is not None, self.logs()
        assert await self.tier.wait_frontends(len(self.tier.of_role("gateway")), START_S), self.logs()
        await self.settle()

    async def stop(self) -> None:
        """Stop all nodes with SIGTERM."""
        codes = await self.tier.stop()
        assert set(codes.values()) == {0}, (codes, self.logs())
        self.check_logs()

    def check_logs(self) -> None:
        """No node logged a message that it could not decode or an unexpected error."""
        lines = [
            f"{name}: {line}"
            for name, node in self.tier.nodes.items()
            for line in node.log_path.read_text(errors="replace").splitlines()
            if any(sign in line for sign in SIGNS_OF_FAULTS)
        ]
        assert lines == []

    async def clear(self) -> None:
        """Kill all processes that are still running."""
        self.tier.kill_all()
        await self.fleet.stop()

    def logs(self) -> str:
        """Return the last lines of every node's log."""
        return "\n".join(f"{name}: {node.log_tail()}" for name, node in self.tier.nodes.items())

    # The state of the nodes

    async def settle(self) -> None:
        """Wait until each control node knows all nodes, every shard has one owner and all its replicas, and every node
        has the newest configuration."""
        assert await holds_within(self._is_settled, SETTLE_S), f"{self._last}\n{self.logs()}"

    async def _is_settled(self) -> bool:
        views = self._last = await self._look()
        count = {role: len(self.tier.of_role(role)) for role in ROLES}
        whole = len(views.controls) == count["control"] and len(views.gateways) == count["gateway"]
        return (
            whole
            and all(self._control_knows(page) for page in views.controls.values())
            and all(self._gateway_knows(figures) for figures in views.gateways.values())
            and _shards_are_whole(views, count["store"])
        )

    def _control_knows(self, page: dict[str, Any]) -> bool:
        age_s = page["MajorityAgeS"]
        present = {node["Name"] for node in page["Nodes"] if not node["Leaving"]}
        servers = {server["Id"]: server["State"] for server in page["Servers"]}
        states = {name: "draining" if name in self.drained else "ready" for name in self.fleet.servers}
        return (
            age_s is not None
            and age_s <= FRESH_MAJORITY_S
            and present == set(self.tier.nodes)
            and len(page["Nodes"]) == len(present)
            and page["ConfigurationVersion"] == self.version
            and page["Gateways"] == len(self.tier.of_role("gateway"))
            and servers == states
        )

    def _gateway_knows(self, figures: dict[str, float]) -> bool:
        return (
            figures["ready"] == 1
            and figures["configuration_version"] == self.version
            and figures["gateways"] == len(self.tier.of_role("gateway"))
            and figures["servers"] == len(self.fleet.servers)
        )

    async def _look(self) -> Views:
        views = Views()
        for node in self.tier.of_role("control"):
            page = await _page(f"http://{node.place.address(CONTROL_PLANE)}/v1/status")
            if page is not None:
                views.controls[node.place.name] = orjson.loads(page)
        for node in self.tier.of_role("gateway"):
            page = await _page(f"http://{node.place.address(READINESS)}/metrics")
            if page is not None:
                views.gateways[node.place.name] = _figures(page)
        try:
            views.stores = await scan_stores(self.tier)
        except EmberringError:
            views.stores = {}
        return views

    # Actions of the clients and the operator

    def gateway_addresses(self) -> list[str]:
        """Return the frontend addresses of the gateways, ordered by name."""
        return [node.place.address(FRONTEND) for node in self.tier.of_role("gateway")]

    async def ask_streams(self, count: int, prefix: str = EXPLAIN_PREFIX) -> None:
        """Request `count` streams from each gateway, one after another; all are served without violations."""

        async def ask(address: str) -> None:
            for _ in range(count):
                await self._ask_stream(address, prefix)

        await asyncio.gather(*(ask(address) for address in self.gateway_addresses()))

    async def _ask_stream(self, address: str, prefix: str) -> set[str]:
        """Request one stream from this gateway and return the servers that executed it."""
        self._asked += 1
        parts = (("ab", 200), (f"{self._asked:x}", 60))
        call = StreamCall(f"{prefix}{self._asked}", b"question", parts, 40)
        results = await LiveClient(lambda: [address], seed=self._asked, retries=3).ask(call)
        for result in results:
            self._own_ids.add(result.request_id)
            assert check_stream(call, result, self.seen, STRIDE, retryable=False) == []
        assert [result.end for result in results][-1:] == [StreamEnd.SERVED], (address, results, self.logs())
        return {run.server_id for result in results for run in self.seen.runs.get(result.request_id, [])}

    async def submit_job(self, items: int, seed: int, gateway: int = 0) -> JobHistory:
        """Submit a batch job to one gateway, which must accept it."""
        address = self.gateway_addresses()[gateway]
        job = make_job(items, seed)
        self._own_ids.update(item.id for item in job.items)
        history = await JobClient(lambda: [address], seed).submit(job, ORDER_S)
        assert history.accepted, (history.statuses, self.logs())
        return history

    async def finish_job(self, history: JobHistory) -> None:
        """Read a batch job's results from all gateways until each item has a result."""
        await JobClient(self.tier.frontends, seed=1).follow(history, JOBS_S)
        self.check_job(history)

    def check_job(self, history: JobHistory) -> None:
        """Every item of the batch job is listed once, as completed, with the expected text."""
        known = (len(history.results), len(history.job.items))
        assert history.complete, (known, self.logs())
        assert check_job(history, self.seen, STRIDE) == []
        ids = [result.item_id for result in history.results]
        assert sorted(ids) == sorted(item.id for item in history.job.items)
        assert {result.state for result in history.results} == {"completed"}

    async def read_job_again(self, history: JobHistory) -> None:
        """Each gateway returns the same results in the same order as before."""
        for address in self.gateway_addresses():
            again = JobHistory(history.job)
            await JobClient(lambda address=address: [address], seed=1).follow(again, JOBS_S)
            assert again.results == history.results, (address, self.logs())
            self.check_job(again)

    async def end_job(self, history: JobHistory) -> None:
        """End a batch job; the request must be acknowledged."""
        assert await JobClient(self.tier.frontends, seed=1).end(history.job, ORDER_S), self.logs()

    async def drain_server(self) -> str:
        """Drain a server; on return, no gateway sends it requests any more."""
        server_id = next(name for name in self.fleet.servers if name not in self.drained)
        server, beats = self._server(server_id)
        assert await beats.drain(), self.logs()
        assert server.draining
        heard = [
            holds_within(lambda address=address: self._avoids(address, server_id), SETTLE_S)
            for address in self.gateway_addresses()
        ]
        assert all(await asyncio.gather(*heard)), self.logs()
        self.drained[server_id] = asyncio.get_running_loop().time()
        await self.settle()
        return server_id

    def _server(self, server_id: str) -> tuple[ModelServer, Heartbeats]:
        return self.fleet.servers[server_id]

    async def _avoids(self, address: str, server_id: str) -> bool:
        """Return whether none of several streams that this gateway served was executed by the server."""
        ran: set[str] = set()
        for _ in range(2 * SERVERS):
            ran |= await self._ask_stream(address, EXPLAIN_PREFIX)
        return server_id not in ran

    def check_drains(self) -> None:
        """No request was executed by a drained server after the gateways had stopped using it."""
        late = [
            run
            for runs in self.seen.runs.values()
            for run in runs
            if run.server_id in self.drained and run.at_s > self.drained[run.server_id]
        ]
        assert late == []

    async def add_route(self) -> None:
        """Add a route as the operator; every gateway serves it."""
        outcome = await self.operator.patch_configuration(
            added_route(self.version + 1, TERMS), self.version, ORDER_S
        )
        assert outcome.acknowledged, (outcome, self.logs())
        self.version += 1
        await self.settle()
        await self.ask_added_route()

    async def replace_configuration(self) -> None:
        """Send a complete configuration as the operator; every node receives it."""
        document = trial_configuration(self.version + 1, TERMS)
        outcome = await self.operator.put_configuration(document, self.version, ORDER_S)
        assert outcome.acknowledged, (outcome, self.logs())
        self.version += 1
        await self.settle()

    async def ask_added_route(self) -> None:
        """Every gateway serves the added route."""
        await self.ask_streams(1, ADDED_PREFIX)

    # Background traffic

    def start_traffic(self, streams_per_s: float, job_every_s: float) -> None:
        """Start requesting streams and submitting batch jobs on all routes."""
        plan = TrafficPlan(streams_per_s, job_every_s, job_timeout_s=JOBS_S, stride=STRIDE)
        self.traffic = Traffic(self.tier.frontends, self.seen, plan)
        self.traffic.added_route = True
        self.traffic.start()

    async def stop_traffic(self) -> Traffic:
        """Stop sending and wait for the requests in progress."""
        assert self.traffic is not None
        await self.traffic.stop(JOBS_S)
        return self.traffic

    def own_violations(self, traffic: Traffic) -> list[Any]:
        """Return the violations that the traffic found, except those caused by this world's other requests."""
        return [
            violation
            for violation in traffic.violations
            if not (violation.rule == "UNASKED" and violation.id in self._own_ids)
        ]


async def _page(url: str) -> bytes | None:
    try:
        answer = await call_once("GET", url, timeout_s=PAGE_S)
    except CALL_ERRORS:
        return None
    return answer.body if answer.status == 200 else None


def _figures(page: bytes) -> dict[str, float]:
    """Return the metrics of a gateway by name without the common prefix."""
    rows: Iterable[str] = (row for row in page.decode().splitlines() if not row.startswith("#"))
    pairs = (row.rsplit(" ", 1) for row in rows)
    return {name.removeprefix("emberring_gateway_"): float(value) for name, value in pairs}


def _shards_are_whole(views: Views, stores: int) -> bool:
    """Return whether every shard of the placement has all its replicas, no joining replica, and one owner."""
    if len(views.stores) != stores:
        return False
    owners: dict[int, int] = {}
    for status in views.stores.values():
        for shard in status.shards:
            owners[shard.shard] = owners.get(shard.shard, 0) + shard.owner
    for page in views.controls.values():
        placement = page["Placement"]
        if placement is None or not placement["Shards"]:
            return False
        for group in placement["Shards"]:
            whole = len(group["Members"]) == stores and not group["Joining"]
            if not whole or owners.get(group["Shard"]) != 1:
                return False
    return True
