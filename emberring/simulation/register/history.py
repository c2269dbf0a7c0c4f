"""The history of operations on the register, and the check that it is linearizable.

Each change appends its number to the value unless the value contains it already, so a value lists all changes before
it in order. The history is linearizable if of any two values one is a prefix of the other, no value contains a number
twice, and an operation that began after another one had ended sees at least as many changes.
"""

from __future__ import annotations

import attrs


@attrs.define(eq=False)
class Operation:
    """A change (with its number in the value) or a read (0), at a node; times in seconds.

    `ended_s` is None until it ends; `error` is the kind of its error, empty on success.
    """

    number: int
    node: str
    began_s: float
    ended_s: float | None = None
    value: tuple[int, ...] | None = None
    error: str = ""


def parse_value(payload: bytes | None) -> tuple[int, ...]:
    """Return the numbers in a value."""
    return tuple(int(part) for part in payload.split()) if payload else ()


def append_number(payload: bytes | None, number: int) -> bytes | None:
    """Return the value with this number appended, or None if the value contains it already."""
    numbers = parse_value(payload)
    if number in numbers:
        return None
    return b" ".join(str(found).encode() for found in (*numbers, number))


class History:
    """All operations, and the values that nodes learned.

    Attributes:
        operations: in the order in which they began.
        violations: the violations found so far.
    """

    def __init__(self) -> None:
        self.operations: list[Operation] = []
        self.violations: list[str] = []
        self._longest: tuple[int, ...] = ()
        self._acknowledged: list[
            tuple[float, int]
        ] = []  # end time of an operation, length of the value that it confirmed

    def begin(self, number: int, node: str, now_s: float) -> Operation:
        """Record that an operation was called."""
        operation = Operation(number, node, now_s)
        self.operations.append(operation)
        return operation

    def end(self, operation: Operation, now_s: float, payload: bytes | None, error: str) -> None:
        """Record that an operation returned a value, or an error of this kind."""
        operation.ended_s, operation.error = now_s, error
        if error:
            return
        operation.value = parse_value(payload)
        self._check_order(operation.value, f"operation {operation.number} at {operation.node}")
        if operation.number and operation.number not in operation.value:
            self.violations.append(f"change {operation.number} is not in the value that acknowledged it")
        min_length = max(
            (length for ended, length in self._acknowledged if ended < operation.began_s), default=0
        )
        if len(operation.value) < min_length:
            self.violations.append(
                f"operation {operation.number} at {operation.node}, begun at {operation.began_s:.4f}, saw "
                f"{len(operation.value)} changes where {min_length} had been acknowledged"
            )
        self._acknowledged.append((now_s, len(operation.value)))

    def learned(self, node: str, payload: bytes, before: tuple[int, ...]) -> tuple[int, ...]:
        """Record that a node learned a committed value after `before` in the same incarnation; return the value."""
        value = parse_value(payload)
        self._check_order(value, f"learned by {node}")
        if value[: len(before)] != before:
            self.violations.append(f"{node} learned {value} after {before}")
        return value

    def _check_order(self, value: tuple[int, ...], where: str) -> None:
        if len(set(value)) != len(value):
            self.violations.append(f"{where}: a change appears twice in {value}")
        shorter, longer = sorted((value, self._longest), key=len)
        if longer[: len(shorter)] != shorter:
            self.violations.append(f"{where}: {value} and {self._longest} are two histories")
        self._longest = longer

    def finish(self) -> list[str]:
        """Run the checks that need the complete history; returns all violations."""
        ends: dict[int, set[str]] = {}
        for operation in self.operations:
            end = "pending" if operation.ended_s is None else operation.error
            ends.setdefault(operation.number, set()).add(end)
        # A change may be requested more than once: any of the requests may have committed it.
        for number, seen in ends.items():
            if number in self._longest and seen == {"no_quorum"}:
                self.violations.append(f"change {number} was committed after a no_quorum error without doubt")
        return self.violations
