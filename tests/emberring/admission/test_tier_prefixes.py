"""What a server is held to keep of prompts."""

from __future__ import annotations

import pytest

from emberring.admission.prefixes import PrefixMemory
from emberring.admission.types import PrefixPart

A, B, C = PrefixPart("a", 100), PrefixPart("b", 50), PrefixPart("c", 30)


@pytest.mark.parametrize(
    ("sent", "asked", "known"),
    [
        ([], (A, B), 0),
        ([(A, B)], (A, B), 2),
        ([(A, B)], (A, C), 1),
        ([(A, B)], (B, A), 0),
        ([(A, B)], (B,), 0),
        ([(A,), (A, B, C)], (A, B, C), 3),
    ],
)
def test_known_parts(sent: list[tuple[PrefixPart, ...]], asked: tuple[PrefixPart, ...], known: int) -> None:
    memory = PrefixMemory()
    for parts in sent:
        memory.sent(parts, 1000.0)
    assert memory.known(asked) == known


def test_the_longest_unused_give_way() -> None:
    memory = PrefixMemory()
    memory.sent((A,), 150.0)
    memory.sent((B,), 150.0)
    memory.sent((A,), 150.0)
    memory.sent((C,), 150.0)
    assert [memory.known((part,)) for part in (A, B, C)] == [1, 0, 1]


def test_nothing_is_known_once_forgotten() -> None:
    memory = PrefixMemory()
    memory.sent((A, B), 1000.0)
    memory.forget()
    assert memory.known((A, B)) == 0
