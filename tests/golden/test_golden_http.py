"""Golden files of the HTTP interfaces: statuses, header names, JSON keys with their types, metric names and labels.

Times, ids and other values are omitted: only the keys and types of JSON values and the kinds of errors are compared.
"""

from __future__ import annotations

import asyncio
import copy
import json
from pathlib import Path
from typing import Any

import pytest
import tier_store_cluster as stores
from beside import address, boxes
from beside import running as sidecar_running
from gateway_world import ROUTES, Client, Received, World, play, request, until
from golden_api import check_golden, flat, shape
from loopback import Discovery, Peer, listing, reply
from loopback import request as node_request
from loopback import running as node_running
from test_tier_gateway_role import FakeControl, with_control
from tier_control_fixture import AFollower, Cluster, a_document, a_heartbeat, eventually, now, on_cluster

from emberring.admission.types import Refused
from emberring.distribution.records import NodeRole, ServerRecord, ServerState
from emberring.gateway import connect_timeout, connection_pool
from emberring.gateway.role import Gateway
from emberring.journal.folder import DiskFile

PATIENCE_S = 20.0
JOB_ROUTES = (stores.ROUTE, *ROUTES)


@pytest.fixture(autouse=True)
def unhurried(monkeypatch: pytest.MonkeyPatch) -> None:
    """Make the tests independent of the load of the machine and the speed of its disk."""
    monkeypatch.setattr(connection_pool, "CONNECT_TIMEOUT_S", PATIENCE_S)
    monkeypatch.setattr(connect_timeout, "MIN_CONNECT_TIMEOUT_S", PATIENCE_S)
    monkeypatch.setattr(DiskFile, "sync", lambda self: None)


def seen(answer: Received) -> dict[str, Any]:
    """Return the recorded form of a response, without times and ids."""
    found: dict[str, Any] = {"status": answer.status, "headers": sorted(answer.headers)}
    kind = answer.headers.get("content-type", "")
    found["type"] = kind
    if kind == "application/json":
        body = json.loads(answer.body)
        found["json"] = shape(body)
        if isinstance(body, dict) and "Error" in body:
            found["error"] = [body["Error"], body["Detail"]]
    else:
        found["body"] = answer.body.decode()
    return found


# ------------------------------------------------------------------ the gateway


def test_the_gateways_own_answers_are_the_recorded_ones() -> None:
    found: dict[str, Any] = {}

    async def story(world: World) -> None:
        async def ask(name: str, path: str, **more: Any) -> None:
            client = await world.client()
            found[name] = seen(await client.ask(path, **more))

        await ask("no server", "/live/1")
        await ask("no route", "/nowhere/1")
        await ask("a lot without its method", "/lots/1", method="PUT")
        await ask("a lot while no store is known", "/lots/1")
        await ask("a lot without an id", "/lots/1", request_id="")
        await ask("results while no store is known", "/v1/lots/l1", method="GET", body=b"")
        await ask("results from no number", "/v1/lots/l1?StartAfter=x", method="GET", body=b"")
        await ask("results after a wait that is none", "/v1/lots/l1", method="GET", body=b"", wait_ms="x")
        await ask("an end while no store is known", "/v1/lots/l1", method="DELETE", body=b"")
        await ask("an item without an id", "/v1/items/l1", method="GET", body=b"")
        await ask("an item while no store is known", "/v1/items/l1?Id=i", method="GET", body=b"")
        await ask("another method on lots", "/v1/lots/l1", method="PUT")
        await ask("another method on items", "/v1/items/l1", method="DELETE", body=b"")
        await ask("another path", "/v1/other", method="GET", body=b"")
        client = await world.client()
        await client.send(b"GET /live/1 HTTP/1.1\r\nRequest-Id: r\r\n\r\n")
        found["no host"] = seen(await client.receive())

    play(story)
    check_golden("http/gateway_own.json", found)


def test_the_gateways_answers_of_servers_are_the_recorded_ones() -> None:
    found: dict[str, Any] = {}

    async def story(world: World) -> None:
        async def whole(side: Any, request_seen: Any) -> None:
            await side.answer(request_seen, body=b"whole")

        async def stream(side: Any, request_seen: Any) -> None:
            await side.stream(request_seen, (1, 2))

        async def fails(side: Any, request_seen: Any) -> None:
            await side.answer(request_seen, 500)

        server = await world.server(whole, stream, fails)
        client = await world.client()
        found["whole"] = seen(await client.ask("/once/1"))
        found["stream"] = seen(await client.ask("/live/1"))
        found["failed"] = seen(await client.ask("/once/2"))
        found["sent on"] = {
            "headers": sorted({name for told in server.seen for name in told.headers}),
            "starts": [told.start.decode() for told in server.seen],
        }
        world.admission.script.append(Refused(1.25))
        found["refused"] = seen(await client.ask("/live/1"))

    play(story)
    check_golden("http/gateway_forwarded.json", found)


def test_the_answers_of_the_batch_interface_are_the_recorded_ones(tmp_path: Path) -> None:
    found: dict[str, Any] = {}
    ran: list[Any] = []

    class Executor(stores.FakeExecutor):
        async def run_item(self, item: Any, on_events: Any) -> Any:
            ran.append(item)
            return await super().run_item(item, on_events)

    async def scenario() -> None:
        cluster = await stores.Cluster.begin(tmp_path)
        gateway = cluster.gateway(Executor())
        world = World(JOB_ROUTES)
        world.jobs = gateway.client
        await world.start()

        async def ask(path: str, **more: Any) -> Received:
            client = await world.client()
            return await client.ask(path, Host=stores.HOST, **more)

        async def submit(job: str, document: Any) -> dict[str, Any]:
            return seen(await ask("/batch/", request_id=job, body=json.dumps(document).encode()))

        try:
            listed = json.loads(stores.job_body("lot1", 2))
            found["submitted"] = await submit("lot1", listed)
            found["submitted again"] = await submit("lot1", listed)
            item = await ask("/v1/items/lot1?Id=lot1-0", method="GET", body=b"")
            assert item.body == bytes.fromhex("abcdef1234567890")
            found["item"] = {**seen(Received(item.status, item.headers, b"", True)), "body": item.body.hex()}
            found["nothing yet"] = seen(await ask("/v1/lots/lot1", method="GET", body=b""))
            await gateway.runner.start()
            pages = []
            while not pages or len(pages[-1]["Results"]) < 2:
                pages.append(
                    json.loads((await ask("/v1/lots/lot1", method="GET", body=b"", wait_ms="500")).body)
                )
            found["page"] = seen(await ask("/v1/lots/lot1?StartAfter=0", method="GET", body=b""))
            found["page values"] = {
                key: sorted(str(result[key]) for result in pages[-1]["Results"])
                for key in pages[-1]["Results"][0]
            }
            found["rest of the page"] = {key: value for key, value in pages[-1].items() if key != "Results"}
            after = json.loads((await ask("/v1/lots/lot1?StartAfter=1", method="GET", body=b"")).body)
            found["results after the first"] = len(after["Results"])
            texts = {value for item in ran for value in flat(item).values() if isinstance(value, str)}
            found["texts of the items that ran"] = sorted(texts)
            found["unknown lot"] = seen(await ask("/v1/lots/lot9", method="GET", body=b""))
            found["unknown item"] = seen(await ask("/v1/items/lot1?Id=x", method="GET", body=b""))
            found["ended"] = seen(await ask("/v1/lots/lot1", method="DELETE", body=b""))
            found["ended again"] = seen(await ask("/v1/lots/lot1", method="DELETE", body=b""))
            found["page of an ended lot"] = seen(await ask("/v1/lots/lot1", method="GET", body=b""))
            found["too large a lot"] = await submit("lot2", json.loads(stores.job_body("lot2", 2, 60_000)))
            found["no list"] = await submit("lot3", {"requests": []})
            found["not JSON"] = seen(await ask("/batch/", request_id="lot3", body=b"{"))
            for key in listed["Requests"][0]:
                wrong = copy.deepcopy(listed)
                wrong["Requests"][0][key] = [1]
                found[f"wrong {key}"] = await submit(f"wrong-{key}", wrong)
                absent = copy.deepcopy(listed)
                del absent["Requests"][0][key]
                found[f"absent {key}"] = await submit(f"absent-{key}", absent)
        finally:
            await world.stop()
            await gateway.end()
            await cluster.end()

    stores.run(asyncio.wait_for(scenario(), PATIENCE_S))
    check_golden("http/lots.json", found)


def test_the_gateways_readiness_and_figures_are_the_recorded_ones() -> None:
    found: dict[str, Any] = {}

    async def story(settings: Any, control: FakeControl, server: Any) -> None:
        gateway = Gateway(settings)
        await gateway.start()

        async def ask(port: int, data: bytes) -> Received:
            client = await Client.connect(port)
            await client.send(data)
            answer = await client.receive()
            client.close()
            return answer

        async def probe(path: str) -> Received:
            return await ask(gateway.probes.port, f"GET {path} HTTP/1.1\r\nHost: n\r\n\r\n".encode())

        found["not ready"] = seen(await probe("/v1/readyz"))
        found["unknown path"] = seen(await probe("/x"))
        found["no configuration"] = seen(await ask(gateway.clients.port, request()))
        control.version = 3
        control.facts.append(ServerRecord("i-1", "s", server.address, "z", 4, ServerState.READY, 1))
        await until(lambda: "i-1" in gateway.follower.servers)
        found["ready"] = seen(await probe("/v1/readyz"))
        assert (await ask(gateway.clients.port, request())).status == 200
        page = await probe("/metrics")
        found["head"] = {
            "status": page.status,
            "headers": sorted(page.headers),
            "type": page.headers["content-type"],
        }
        lines = page.body.decode().splitlines()
        found["types"] = [line for line in lines if line.startswith("#")]
        found["figures"] = [line.rpartition(" ")[0] for line in lines if not line.startswith("#")]
        steady = (
            "configuration_version",
            "servers",
            "gateways",
            "server_connections_total",
            "ready",
            "answers_total",
        )
        found["values"] = [
            line for line in lines if line.startswith(tuple(f"emberring_gateway_{name}" for name in steady))
        ]
        await gateway.stop()

    asyncio.run(with_control(story, 1.0))
    check_golden("http/gateway_figures.json", found)


# ------------------------------------------------------------------ the control plane


async def ask_control(
    cluster: Cluster, index: int, method: str, path: str, body: Any = None, **more: str
) -> Received:
    client = await Client.connect(cluster.outer[index])
    raw = body if isinstance(body, bytes) else b"" if body is None else json.dumps(body).encode()
    more.setdefault("Content_Length", str(len(raw)))
    answer = await client.ask(path, method=method, body=raw, **more)
    client.close()
    return answer


def test_the_answers_to_operators_are_the_recorded_ones() -> None:
    found: dict[str, Any] = {}

    async def scenario(cluster: Cluster) -> None:
        async def ask(name: str, method: str, path: str, body: Any = None, **more: str) -> None:
            found[name] = seen(await ask_control(cluster, 0, method, path, body, **more))

        await ask("no configuration yet", "GET", "/v1/config")
        await ask("ready", "GET", "/v1/readyz")
        await ask("empty status", "GET", "/v1/status")
        await ask("put without a version to build on", "PUT", "/v1/config", a_document(2))
        await ask("put that is not JSON", "PUT", "/v1/config", b"{", If_Match="0")
        wrong = a_document(2, Services=[])
        await ask("put with mistakes", "PUT", "/v1/config", wrong, If_Match="0")
        await ask("put", "PUT", "/v1/config", a_document(2), If_Match="0")
        await ask("put again", "PUT", "/v1/config", a_document(2), If_Match="0")
        await ask("put on another version", "PUT", "/v1/config", a_document(9), If_Match="7")
        await ask("put of an old version", "PUT", "/v1/config", a_document(1), If_Match="2")
        change = {
            "Version": 3,
            "Upsert": {"Routes": [a_document()["Routes"][0]]},
            "Remove": {"Routes": ["r-two"]},
        }
        await ask("patch", "PATCH", "/v1/config", change, If_Match="2")
        await ask("patch with mistakes", "PATCH", "/v1/config", {"Version": 4, "Upsert": 1}, If_Match="3")
        await ask("configuration", "GET", "/v1/config")
        await ask("unknown path", "GET", "/v1/nothing")
        await ask("no figures here", "GET", "/metrics")
        await ask("unknown method", "POST", "/v1/config", {})
        await ask("retirement of no store", "GET", "/v1/retire/store-9")
        cluster.shared.up.clear()
        await ask("put without a majority", "PUT", "/v1/config", a_document(11), If_Match="3")
        await ask("configuration without a majority", "GET", "/v1/config")

    on_cluster(scenario)
    check_golden("http/control_operators.json", found)


def test_the_answers_to_model_servers_are_the_recorded_ones() -> None:
    found: dict[str, Any] = {}

    async def scenario(cluster: Cluster) -> None:
        async def ask(name: str, method: str, path: str, body: Any = None) -> None:
            found[name] = seen(await ask_control(cluster, 0, method, path, body))

        async def server(server_id: str) -> dict[str, Any] | None:
            page = json.loads((await ask_control(cluster, 0, "GET", "/v1/status")).body)
            return next((item for item in page["Servers"] if item["Id"] == server_id), None)

        for state in ("ready", "draining", "warming", "cold", "loading", "failed", "gone", "X"):
            await ask(f"heartbeat {state}", "PUT", f"/v1/instances/s-{state}", a_heartbeat(1, state))
            found[f"shown {state}"] = await server(f"s-{state}")
        for key in a_heartbeat(1):
            beat = a_heartbeat(1)
            del beat[key]
            await ask(f"heartbeat without {key}", "PUT", f"/v1/instances/no-{key}", beat)
            found[f"shown without {key}"] = await server(f"no-{key}")
            beat = a_heartbeat(1, **{key: [1]})
            await ask(f"heartbeat with a wrong {key}", "PUT", f"/v1/instances/wrong-{key}", beat)
        await ask("heartbeat that is not JSON", "PUT", "/v1/instances/i-1", b"{")
        await ask("goodbye", "DELETE", "/v1/instances/s-ready")
        found["shown after its goodbye"] = await server("s-ready")
        await ask("goodbye of an unknown one", "DELETE", "/v1/instances/i-9")
        cold = a_heartbeat(1, ColdRemainingMs=60_000)
        await ask("heartbeat of a cold one", "PUT", "/v1/instances/i-cold", cold)
        found["shown cold"] = await server("i-cold")
        second = a_heartbeat(5, Capacity=7)
        await ask("second heartbeat", "PUT", "/v1/instances/i-two", second)
        await ask("late heartbeat", "PUT", "/v1/instances/i-two", a_heartbeat(4, Capacity=8))
        found["shown after a late one"] = await server("i-two")

    on_cluster(scenario)
    check_golden("http/control_instances.json", found)


def mask_moves(placement: dict[str, Any]) -> None:
    """Remove from a placement's shape whether a shard is currently moving."""
    shards = [{**shard, "Joining": type(shard["Joining"]).__name__} for shard in placement["Shards"]]
    placement["Shards"] = [shard for at, shard in enumerate(shards) if shard not in shards[:at]]


def test_the_status_page_and_retirements_are_the_recorded_ones() -> None:
    found: dict[str, Any] = {}

    async def scenario(cluster: Cluster) -> None:
        async def ask(name: str, method: str, path: str, body: Any = None) -> Received:
            answer = await ask_control(cluster, 1, method, path, body)
            found[name] = seen(answer)
            return answer

        async with (
            AFollower(cluster.seeds, "edge-1", NodeRole.GATEWAY) as gateway,
            AFollower(cluster.seeds, "store-1", NodeRole.STORE) as first,
            AFollower(cluster.seeds, "store-2", NodeRole.STORE),
            AFollower(cluster.seeds, "store-3", NodeRole.STORE),
            AFollower(cluster.seeds, "store-4", NodeRole.STORE),
        ):
            cluster_state = cluster.node(1).cluster_state
            await eventually(
                lambda: first.placement is not None and len(cluster_state.live_nodes(now())) == 8
            )
            await eventually(
                lambda: cluster_state.state.placement is not None and len(first.placement.stores) == 4
            )
            assert (await ask("heartbeat", "PUT", "/v1/instances/i-1", a_heartbeat(1))).status == 200
            await eventually(lambda: "i-1" in gateway.servers)
            gateway.report = lambda server_loads_follow: {"i-1": 3}
            gateway.suspects = lambda: {"i-1": "silent"}
            page: dict[str, Any] = {}
            give_up_at = now() + 5.0
            while now() < give_up_at:
                page = json.loads((await ask("status", "GET", "/v1/status")).body)
                if page["Servers"][0]["Troubles"] and page["Servers"][0]["InFlight"]:
                    break
                await asyncio.sleep(0.02)
            found["server"] = {
                **page["Servers"][0],
                "FailingForS": type(page["Servers"][0]["FailingForS"]).__name__,
            }
            found["nodes"] = [
                {key: node[key] for key in ("Name", "Role", "Zone", "Identity", "Leaving")}
                for node in page["Nodes"]
            ]
            found["shards"] = len(page["Placement"]["Shards"])
            found["gateways"] = page["Gateways"]
            while now() < give_up_at and found.get("unknown store", {}).get("status") != 404:
                await ask("unknown store", "POST", "/v1/retire/store-9", {"DurationS": 10})
                await asyncio.sleep(0.02)
            await ask("no duration", "POST", "/v1/retire/store-1", {})
            await ask("no state yet", "GET", "/v1/retire/store-2")
            retired = await ask("retired", "POST", "/v1/retire/store-1", {"DurationS": 10})
            found["state"] = json.loads(retired.body)
            await ask("retired again", "POST", "/v1/retire/store-1", {"DurationS": 10})
            found["state asked"] = json.loads((await ask("retirement", "GET", "/v1/retire/store-1")).body)
            await ask("too few left", "POST", "/v1/retire/store-2", {"DurationS": 10})
            page = json.loads((await ask("status while one is emptied", "GET", "/v1/status")).body)
            found["retiring"] = page["Placement"]["Retiring"]
            known = {f"store-{number}" for number in range(1, 5)}
            for shard in page["Placement"]["Shards"]:
                assert {*shard["Members"], *shard["Joining"]} <= known
            for name in ("status", "status while one is emptied"):
                mask_moves(found[name]["json"]["Placement"])

    on_cluster(scenario)
    check_golden("http/control_status.json", found)


# ------------------------------------------------------------------ the platform's node and the sidecar


def test_the_platform_nodes_answers_are_the_recorded_ones() -> None:
    found: dict[str, Any] = {}

    async def by_path(message: Any) -> bytes:
        busy = message.headers.get("req-id") in ("busy", "busy-retry")
        return reply(503, b"", Srv_Declined="1") if busy else reply(200, b"done", Srv_Load="TEXT depth=3")

    async def main() -> None:
        server = Peer(by_path)
        discovery = Discovery()
        async with node_running(server, discovery=discovery) as node:

            async def ask(name: str, data: bytes) -> None:
                client = Client(*await asyncio.open_connection(*node.server.address))
                await client.send(data)
                found[name] = seen(await client.receive())
                client.close()

            more = {
                "Idempotency_Key": "k",
                "Req_Owner": "o",
                "Req_Retry": "1",
                "Req_Cost": "5",
                "Req_Extra": "e",
            }
            more |= {"Accept": "a", "Content_Type": "t/t", "Content_Encoding": "c", "Other": "x"}
            await ask("free", node_request("read", "q1", Req_Deadline_Ms="20000"))
            await ask("guarded", node_request("move", "q2", b"body", **more))
            await ask("guarded without a key", node_request("move", "q3", b"body"))
            await ask("single", node_request("post", "q4", b"body"))
            await ask("unknown class", node_request("nosuch", "q5"))
            await ask("no id", b"GET /read/1 HTTP/1.1\r\nHost: s\r\n\r\n")
            await ask("wrong method", b"DELETE /read/1 HTTP/1.1\r\nHost: s\r\nReq-Id: q6\r\n\r\n")
            await ask("bad deadline", node_request("read", "q7", Req_Deadline_Ms="x"))
            await ask("bad cost", node_request("read", "q8", Req_Cost="-1"))
            await ask("declined", node_request("read", "busy", Req_Deadline_Ms="300"))
            await ask("ready", b"GET /up HTTP/1.1\r\nHost: s\r\n\r\n")
            await until(lambda: bool(discovery.seen))
            found["sent on"] = {
                told.headers["req-id"]: [*told.first, *sorted(told.headers)]
                for told in server.seen
                if told.headers["req-id"].startswith("q")
            }
            found["asked of discovery"] = [*discovery.seen[0].first, *sorted(discovery.seen[0].headers)]

    asyncio.run(asyncio.wait_for(main(), PATIENCE_S))
    check_golden("http/node.json", found)


def test_the_platform_node_takes_a_list_of_discovery() -> None:
    async def main() -> None:
        first, second = Peer(), await Peer().start()
        news = listing(2, True, s9=(second.endpoint, "Ready"))
        try:
            async with node_running(first, discovery=Discovery(news)) as node:
                number = 0
                while not second.seen:
                    number += 1
                    client = Client(*await asyncio.open_connection(*node.server.address))
                    await client.send(node_request("read", f"q{number}"))
                    assert (await client.receive()).status == 200
                    client.close()
        finally:
            second.stop()

    asyncio.run(asyncio.wait_for(main(), PATIENCE_S))


def test_the_sidecars_admin_pages_are_the_recorded_ones() -> None:
    found: dict[str, Any] = {}

    async def main() -> None:
        (box,) = boxes(1)
        async with sidecar_running(box, budget={}) as sidecar:

            async def ask(place: tuple[str, int], method: str, path: str) -> Received:
                client = Client(*await asyncio.open_connection(*place))
                await client.send(f"{method} {path} HTTP/1.1\r\nHost: s\r\n\r\n".encode())
                answer = await client.receive()
                client.close()
                return answer

            assert sidecar.admin is not None
            admin = sidecar.admin.server.address
            assert (await ask(address(sidecar), "GET", "/balance/1")).status == 200
            for path in ("/config", "/servers", "/requests", "/lists", "/budgets", "/load", "/up", "/nosuch"):
                found[path] = seen(await ask(admin, "GET", path))
            found["another method"] = seen(await ask(admin, "POST", "/config"))

    asyncio.run(asyncio.wait_for(main(), PATIENCE_S))
    check_golden("http/sidecar_admin.json", found)
