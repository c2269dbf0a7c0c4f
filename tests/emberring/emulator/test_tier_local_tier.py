"""Readiness probes of the local tier decide which gateways the emulated clients use."""

from __future__ import annotations

from pathlib import Path

import pytest

from emberring.emulator.local_node import FRONTEND
from emberring.emulator.local_tier import LocalTier

CASES = [
    ("one failed probe does not remove a gateway", [(True, True), (False, True)], {0, 1}),
    ("two consecutive failed probes remove it", [(True, True), (False, True), (False, True)], {1}),
    (
        "a successful probe resets the count of failed ones",
        [(True, True), (False, True), (True, True), (False, True)],
        {0, 1},
    ),
    (
        "without a ready gateway, all running ones are used",
        [(True, True), (False, False), (False, False)],
        {0, 1},
    ),
    ("a gateway that was never ready is not used", [(False, True)], {1}),
]


@pytest.mark.parametrize(
    ("probe_rounds", "expected"), [case[1:] for case in CASES], ids=[case[0] for case in CASES]
)
def test_readiness_probes_decide_which_gateways_clients_use(
    probe_rounds: list[tuple[bool, bool]], expected: set[int], tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    tier = LocalTier(tmp_path)
    gateways = tier.of_role("gateway")[:2]
    monkeypatch.setattr(tier, "of_role", lambda role: gateways if role == "gateway" else [])
    monkeypatch.setattr(type(gateways[0]), "running", property(lambda node: True))
    for probe_round in probe_rounds:
        for node, ready in zip(gateways, probe_round, strict=True):
            tier._record_probe(node, ready)
    assert tier.frontends() == sorted(gateways[index].place.address(FRONTEND) for index in expected)
