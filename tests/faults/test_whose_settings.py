"""Each request is handled by its own class, tenant, deadline and key, never by those of an earlier request."""

from __future__ import annotations

import asyncio

import pytest
from loopback import SETTINGS, Caller, Peer, ScriptedBalancer, ask, request, running

from loadbalancer import interface as api


def settings_with_classes(*names):
    """Settings with these classes."""
    row = {"aimMs": 20000.0, "giveUpMs": 30000.0, "effect": "free"}
    return {"categories": [row | {"name": name} for name in names]}


def rejecting_module():
    """A decision module that rejects all requests."""
    return ScriptedBalancer(lambda event: [api.Refuse(event.id)] if isinstance(event, api.Request) else [])


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
def test_a_class_name_in_a_path_may_be_percent_encoded_or_literal(path, name):
    async def main():
        names = ["label%print", "a b", "50%", "x/y", "a%20b" if "25" in path else "other", "c%20d", "büro"]
        async with running(Peer(), settings=settings_with_classes(*names)) as node:
            node.pool.balancer = scripted = rejecting_module()
            assert (await ask(node, request("read").replace(b"/read/", f"/{path}/".encode()))).status == 503
            assert [event.service for event in scripted.of(api.Request)] == [name]

    asyncio.run(main())


def test_an_unknown_class_is_not_mapped_to_another_one():
    async def main():
        async with running(Peer()) as node:
            for path in (b"/reads/", b"/read%/", b"/READ/", b"//", b"/%72ead%00/"):
                assert (await ask(node, request().replace(b"/read/", path))).status == 404

    asyncio.run(main())


def test_headers_of_a_request_do_not_apply_to_the_next_one_on_the_connection():
    async def main():
        async with running(Peer(), settings={"accounts": [{"name": "büro", "quotaPerS": 5.0}]}) as node:
            node.pool.balancer = scripted = rejecting_module()
            caller = await Caller.to(node)
            full = request(
                "move", "q1", Req_Owner="bXro", Req_Retry="1", Req_Cost="900", Req_Deadline_Ms="700"
            )
            full = full.replace(b"bXro", "büro".encode()).replace(
                b"\r\n\r\n", b"\r\nIdempotency-Key: k\r\n\r\n"
            )
            assert (await caller.ask(full)).status == 503
            assert (await caller.ask(request("read", "q2"))).status == 503
            assert (
                await caller.ask(request("move", "q3"))
            ).status == 400  # the key of an earlier request does not count
            assert (await caller.ask(request("post", "q4", Req_Owner="nobody"))).status == 503
            first, second, fourth = scripted.of(api.Request)
            assert (first.tenant, first.is_retry, first.cost_hint_ms) == ("büro", True, 0.9)
            assert (second.tenant, second.is_retry, second.cost_hint_ms) == (None, False, None)
            assert second.give_up_at_ms - first.give_up_at_ms > 20000.0
            assert (fourth.tenant, fourth.service) == ("nobody", "post")
            caller.writer.close()

    asyncio.run(main())


def test_the_balancer_has_only_the_classes_of_the_nodes_settings():
    async def main():
        row = {**SETTINGS["categories"][2], "effect": "single_shot", "giveUpMs": 900.0, "aimMs": 300.0}
        async with running(Peer(), settings={"categories": [row]}) as node:
            (kind,) = node.settings.classes
            assert (kind.effect, kind.give_up_ms, kind.aim_ms) == (api.Effect.UNSAFE, 900.0, 300.0)
            assert node.pool.classes == {"move": kind}

    asyncio.run(main())
