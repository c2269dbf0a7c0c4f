"""What tools print: aligned tables for people, JSON for programs; errors as one line on standard error."""

from __future__ import annotations

import sys
from collections.abc import Sequence
from enum import IntEnum
from typing import Any

import orjson
import typer

from emberring.errors import EmberringError, ErrorKind


class ExitCode(IntEnum):
    """How a tool ended, for scripts."""

    DONE = 0
    REFUSED = 1  # a check found mistakes, or the order was refused
    UNUSABLE = 2  # the call, a file or the settings can't be used
    NO_ANSWER = 3  # nobody answered clearly: the effect may or may not have taken place


EXIT_CODES_TEXT = (
    "Exit codes: 0 done; 1 refused, or mistakes found; 2 the call or a file can't be used; "
    "3 no clear answer (an order may or may not have been taken)."
)
_UNUSABLE = frozenset({ErrorKind.BAD_SETTINGS, ErrorKind.BAD_REQUEST})
_NO_ANSWER = frozenset(
    {
        ErrorKind.IN_DOUBT,
        ErrorKind.NO_QUORUM,
        ErrorKind.PEER_TIMEOUT,
        ErrorKind.PEER_UNAVAILABLE,
        ErrorKind.NOT_READY,
    }
)


def print_json(value: Any) -> None:
    """One JSON document on standard output."""
    sys.stdout.write(orjson.dumps(value, option=orjson.OPT_INDENT_2).decode() + "\n")


def print_table(head: Sequence[str], rows: Sequence[Sequence[object]]) -> None:
    """Columns as wide as what stands in them."""
    table = [list(head), *([str(cell) for cell in row] for row in rows)]
    widths = [max(len(row[at]) for row in table) for at in range(len(head))]
    for row in table:
        line = "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        sys.stdout.write(line.rstrip() + "\n")


def print_line(text: str) -> None:
    """A line for people."""
    sys.stdout.write(text + "\n")
    sys.stdout.flush()


def complain(text: str) -> None:
    """A line about what went wrong."""
    sys.stderr.write(f"emberring: {text}\n")


def exit_code_of(error: EmberringError) -> ExitCode:
    """The exit code for an error."""
    if error.kind in _UNUSABLE:
        return ExitCode.UNUSABLE
    return ExitCode.NO_ANSWER if error.kind in _NO_ANSWER else ExitCode.REFUSED


def leave(code: ExitCode) -> None:
    """End the tool with this code."""
    raise typer.Exit(int(code))
