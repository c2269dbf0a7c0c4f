"""A request is judged by its own class, tenant, deadline and key: nothing of the one before stands for it."""

from __future__ import annotations

import asyncio

import pytest
from loopback import SETTINGS, Caller, Peer, Scripted, ask, request, running

from loadbalancer import interface as api


def kinds(*names):
    row = {"aimMs": 20000.0, "giveUpMs": 30000.0, "effect": "free"}
    return {"categories": [row | {"name": name} for name in names]}


def refusing():
    return Scripted(lambda event: [api.Refuse(event.id)] if isinstance(event, api.Request) else [])


@pytest.mark.parametrize(
    ("path", "name"),
    [
        ("label%print", "label%print"),
        ("a%20b", "a b"),
        ("50%25", "50%"),
        ("x%2Fy", "x/y"),
        ("a%2520b", "a%20b"),
        ("c%20d", "c%20d"),
        ("b%C3%BCro", "büro"),
    ],
)
def test_a_class_is_named_as_it_stands_or_with_escapes(path, name):
    async def main():
        names = ["label%print", "a b", "50%", "x/y", "a%20b" if "25" in path else "other", "c%20d", "büro"]
        async with running(Peer(), settings=kinds(*names)) as node:
            node.pool.balancer = scripted = refusing()
            assert (await ask(node, request("read").replace(b"/read/", f"/{path}/".encode()))).status == 503
            assert [event.service for event in scripted.of(api.Request)] == [name]

    asyncio.run(main())


def test_an_unknown_class_is_nobody_elses():
    async def main():
        async with running(Peer()) as node:
            for path in (b"/reads/", b"/read%/", b"/READ/", b"//", b"/%72ead%00/"):
                assert (await ask(node, request().replace(b"/read/", path))).status == 404

    asyncio.run(main())


def test_on_one_connection_no_header_of_a_request_stands_for_the_next():
    async def main():
        async with running(Peer(), settings={"accounts": [{"name": "büro", "quotaPerS": 5.0}]}) as node:
            node.pool.balancer = scripted = refusing()
            caller = await Caller.to(node)
            full = request(
                "move", "q1", Req_Owner="bXro", Req_Retry="1", Req_Cost="900", Req_Deadline_Ms="700"
            )
            full = full.replace(b"bXro", "büro".encode()).replace(
                b"\r\n\r\n", b"\r\nIdempotency-Key: k\r\n\r\n"
            )
            assert (await caller.ask(full)).status == 503
            assert (await caller.ask(request("read", "q2"))).status == 503
            assert (await caller.ask(request("move", "q3"))).status == 400  # the key before is not its own
            assert (await caller.ask(request("post", "q4", Req_Owner="nobody"))).status == 503
            first, second, fourth = scripted.of(api.Request)
            assert (first.tenant, first.is_retry, first.cost_hint_ms) == ("büro", True, 0.9)
            assert (second.tenant, second.is_retry, second.cost_hint_ms) == (None, False, None)
            assert second.give_up_at_ms - first.give_up_at_ms > 20000.0
            assert (fourth.tenant, fourth.service) == ("nobody", "post")
            caller.writer.close()

    asyncio.run(main())


def test_the_balancer_has_the_classes_of_this_nodes_settings_alone():
    async def main():
        row = {**SETTINGS["categories"][2], "effect": "single_shot", "giveUpMs": 900.0, "aimMs": 300.0}
        async with running(Peer(), settings={"categories": [row]}) as node:
            (kind,) = node.settings.classes
            assert (kind.effect, kind.give_up_ms, kind.aim_ms) == (api.Effect.UNSAFE, 900.0, 300.0)
            assert node.pool.classes == {"move": kind}

    asyncio.run(main())
