"""What callers of the register saw, and whether one register could have shown it.

Every change adds its own number at the end of the value, unless it is there; so each value shows the whole order of
the changes before it, and linearizability is: all values seen are beginnings of one another, nothing stands twice,
and an operation that began after another had ended sees at least as much.
"""

from __future__ import annotations

import attrs


@attrs.define(eq=False)
class Operation:
    """A change (with its number in the value) or a read (0). `ended_s` is None while its end is not known."""

    number: int
    node: str
    began_s: float
    ended_s: float | None = None
    value: tuple[int, ...] | None = None
    error: str = ""


def parse_value(payload: bytes | None) -> tuple[int, ...]:
    """The numbers in a value."""
    return tuple(int(part) for part in payload.split()) if payload else ()


def append_number(payload: bytes | None, number: int) -> bytes | None:
    """The value with this number at its end, or None where it is in it already."""
    numbers = parse_value(payload)
    if number in numbers:
        return None
    return b" ".join(str(found).encode() for found in (*numbers, number))


class History:
    """Operations in the order of their ends, and the values that nodes learned."""

    def __init__(self) -> None:
        self.operations: list[Operation] = []
        self.mistakes: list[str] = []
        self._longest: tuple[int, ...] = ()
        self._acknowledged: list[
            tuple[float, int]
        ] = []  # when an operation ended, how long a value it proved

    def begin(self, number: int, node: str, now_s: float) -> Operation:
        """An operation was called."""
        operation = Operation(number, node, now_s)
        self.operations.append(operation)
        return operation

    def end(self, operation: Operation, now_s: float, payload: bytes | None, error: str) -> None:
        """It returned a value, or an error's kind."""
        operation.ended_s, operation.error = now_s, error
        if error:
            return
        operation.value = parse_value(payload)
        self._see(operation.value, f"operation {operation.number} at {operation.node}")
        if operation.number and operation.number not in operation.value:
            self.mistakes.append(f"change {operation.number} is not in the value that acknowledged it")
        least = max((length for ended, length in self._acknowledged if ended < operation.began_s), default=0)
        if len(operation.value) < least:
            self.mistakes.append(
                f"operation {operation.number} at {operation.node}, begun at {operation.began_s:.4f}, saw "
                f"{len(operation.value)} changes where {least} had been acknowledged"
            )
        self._acknowledged.append((now_s, len(operation.value)))

    def learned(self, node: str, payload: bytes, before: tuple[int, ...]) -> tuple[int, ...]:
        """A node was told a chosen value, after `before` in the same life; returns the value."""
        value = parse_value(payload)
        self._see(value, f"learned by {node}")
        if value[: len(before)] != before:
            self.mistakes.append(f"{node} was told {value} after {before}")
        return value

    def _see(self, value: tuple[int, ...], where: str) -> None:
        if len(set(value)) != len(value):
            self.mistakes.append(f"{where}: a change stands twice in {value}")
        shorter, longer = sorted((value, self._longest), key=len)
        if longer[: len(shorter)] != shorter:
            self.mistakes.append(f"{where}: {value} and {self._longest} are two histories")
        self._longest = longer

    def finish(self) -> list[str]:
        """All mistakes, once nothing happens any more."""
        ends: dict[int, set[str]] = {}
        for operation in self.operations:
            end = "pending" if operation.ended_s is None else operation.error
            ends.setdefault(operation.number, set()).add(end)
        # A change may be asked for more than once: one of them may have taken it.
        for number, seen in ends.items():
            if number in self._longest and seen == {"no_quorum"}:
                self.mistakes.append(f"change {number} was taken after a no_quorum without doubt")
        return self.mistakes
