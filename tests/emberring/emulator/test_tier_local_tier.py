"""Which gateways clients reach in the local tier, as the platform decides it."""

from __future__ import annotations

from pathlib import Path

import pytest

from emberring.emulator.local_node import FRONTEND
from emberring.emulator.local_tier import LocalTier

CASES = [
    ("a late answer takes nobody out", [(True, True), (False, True)], {0, 1}),
    ("two misses do", [(True, True), (False, True), (False, True)], {1}),
    (
        "a look that finds it ready counts them anew",
        [(True, True), (False, True), (True, True), (False, True)],
        {0, 1},
    ),
    ("with none in, all that run are used", [(True, True), (False, False), (False, False)], {0, 1}),
    ("one that was never ready is not in", [(False, True)], {1}),
]


@pytest.mark.parametrize(("looks", "reached"), [case[1:] for case in CASES], ids=[case[0] for case in CASES])
def test_gateways_that_clients_reach(
    looks: list[tuple[bool, bool]], reached: set[int], tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    tier = LocalTier(tmp_path)
    gateways = tier.of_role("gateway")[:2]
    monkeypatch.setattr(tier, "of_role", lambda role: gateways if role == "gateway" else [])
    monkeypatch.setattr(type(gateways[0]), "running", property(lambda node: True))
    for look in looks:
        for node, up in zip(gateways, look, strict=True):
            tier._record_probe(node, up)
    assert tier.frontends() == sorted(gateways[at].place.address(FRONTEND) for at in reached)
