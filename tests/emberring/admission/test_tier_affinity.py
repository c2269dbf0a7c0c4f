"""Prefix affinity: large shared parts have the same preferred servers at all gateways; small ones have none."""

from __future__ import annotations

from collections import Counter

import pytest

from emberring.admission.affinity import AFFINITY_MIN_TOKENS, affinity_key, preferred_servers
from emberring.admission.types import PrefixPart

SERVERS = [f"i-{number:04x}" for number in range(6)]


@pytest.mark.parametrize(
    ("parts", "key"),
    [
        ((), None),
        (((PrefixPart("a", AFFINITY_MIN_TOKENS)),), None),
        ((PrefixPart("a", AFFINITY_MIN_TOKENS), PrefixPart("own", 10)), "a"),
        ((PrefixPart("a", AFFINITY_MIN_TOKENS - 1), PrefixPart("own", 9000)), None),
        ((PrefixPart("a", 2000), PrefixPart("b", 9000), PrefixPart("own", 10)), "b"),
    ],
)
def test_affinity_key(parts: tuple[PrefixPart, ...], key: str | None) -> None:
    assert affinity_key(parts) == key


def test_the_order_does_not_depend_on_the_order_of_the_servers() -> None:
    assert preferred_servers("p", SERVERS, len(SERVERS)) == preferred_servers(
        "p", list(reversed(SERVERS)), len(SERVERS)
    )


def test_a_removed_server_moves_only_its_own_prefixes() -> None:
    keys = [f"part-{number}" for number in range(500)]
    before = {key: preferred_servers(key, SERVERS, 1)[0] for key in keys}
    after = {key: preferred_servers(key, SERVERS[1:], 1)[0] for key in keys}
    assert all(after[key] == before[key] for key in keys if before[key] != SERVERS[0])


def test_preferred_servers_are_spread_evenly() -> None:
    counts = Counter(preferred_servers(f"part-{number}", SERVERS, 1)[0] for number in range(3000))
    assert min(counts.values()) > 0.8 * 500
    assert max(counts.values()) < 1.2 * 500
