"""Derives the admission inputs of a request: token counts, prompt parts. Pure functions."""

from __future__ import annotations

from emberring.admission.types import PrefixPart


def read_token_count(value: bytes | None) -> tuple[int, int]:
    """Return the tokens of the prompt and the maximum of the output from `Token-Count`; (0, 0) if it is invalid."""
    numbers = (value or b"").split(b",")
    if len(numbers) != 2 or not all(number.strip().isdigit() for number in numbers):
        return (0, 0)
    return (int(numbers[0]), int(numbers[1]))


def read_prefix_parts(value: bytes | None) -> tuple[PrefixPart, ...]:
    """Return the parts of a prompt from `Prefix-Hash`, up to the first invalid one."""
    parts: list[PrefixPart] = []
    for item in (value or b"").split(b","):
        part_id, _, tokens = item.strip().partition(b":")
        if not part_id or not tokens.isdigit():
            break
        parts.append(PrefixPart(part_id.decode("latin-1"), int(tokens)))
    return tuple(parts)


def read_milliseconds(value: bytes | None) -> float | None:
    """Return a header value in milliseconds; None if it is missing or invalid."""
    try:
        milliseconds = float(value or b"")
    except ValueError:
        return None
    return milliseconds if 0.0 <= milliseconds < 1e9 else None
