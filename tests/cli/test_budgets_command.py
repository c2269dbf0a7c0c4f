"""`loadbalancer budgets` against running sidecars."""

from __future__ import annotations

import asyncio
import json

from beside import application, boxes, running

from loadbalancer.cli import main
from loadbalancer.runtime.sidecar import Sidecar


def admin(sidecar: Sidecar) -> str:
    assert sidecar.admin is not None
    return "{}:{}".format(*sidecar.admin.server.address)


async def ask(sidecar: Sidecar, times: int) -> None:
    app = application(sidecar)
    for at in range(times):
        assert (await app.ask("GET", f"/balance/{at}", headers={"Req-Deadline-Ms": "4000"})).status == 200
    app.close()


def test_each_class_with_requests_has_a_row_and_several_nodes_a_sum(capsys):
    async def main_():
        one, two = boxes(1), boxes(1)
        async with running(*one, budget={}) as first, running(*two, budget={}) as second:
            await ask(first, 3)
            await ask(second, 4)
            code = await asyncio.to_thread(main, ["budgets", admin(first), admin(second)])
            assert code == 0
            shown = [line.split() for line in capsys.readouterr().out.split("\n")]
            assert shown[1][1:9] == ["boxes", "read", "3", "0", "0", "0", "0", "1.000"]
            assert shown[3][:4] == ["all", "boxes", "read", "7"]
            code = await asyncio.to_thread(main, ["budgets", "--json", admin(first)])
            page = json.loads(capsys.readouterr().out)[admin(first)]
            assert page["pools"]["boxes"]["read"]["attempts"] == {"first": 3}

    asyncio.run(main_())


def test_every_shows_only_counts_since_the_last_time(capsys):
    async def main_():
        (box,) = boxes(1)
        async with running(box, budget={}) as sidecar:
            await ask(sidecar, 3)
            arguments = ["budgets", admin(sidecar), "--every", "0.1", "--rounds", "2"]
            assert await asyncio.to_thread(main, arguments) == 0
            shown = [line.split() for line in capsys.readouterr().out.split("\n") if "read" in line]
            assert len(shown) == 1

    asyncio.run(main_())


def test_an_address_without_a_sidecar_gives_one_line_and_exit_code_2(capsys):
    assert main(["budgets", "127.0.0.1:1"]) == 2
    assert capsys.readouterr().err.startswith("loadbalancer: http://127.0.0.1:1: no budgets to be had")
    assert main(["budgets", "nowhere"]) == 2
