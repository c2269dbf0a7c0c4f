"""Output of the tools: aligned tables or JSON on standard output, errors as single lines on standard error."""

from __future__ import annotations

import sys
from collections.abc import Sequence
from enum import IntEnum

import orjson
import typer

from emberring.errors import EmberringError, ErrorKind


class ExitCode(IntEnum):
    """The exit codes of the tools."""

    DONE = 0
    REFUSED = 1  # a check found errors, or the request was rejected
    UNUSABLE_INPUT = 2  # the arguments, a file or the settings are invalid
    UNKNOWN_OUTCOME = 3  # no clear response: the request may or may not have taken effect


EXIT_CODES_TEXT = (
    "Exit codes: 0 done; 1 refused, or mistakes found; 2 the call or a file can't be used; "
    "3 no clear answer (an order may or may not have been taken)."
)
_UNUSABLE_INPUT_KINDS = frozenset({ErrorKind.BAD_SETTINGS, ErrorKind.BAD_REQUEST})
_UNKNOWN_OUTCOME_KINDS = frozenset(
    {
        ErrorKind.IN_DOUBT,
        ErrorKind.NO_QUORUM,
        ErrorKind.PEER_TIMEOUT,
        ErrorKind.PEER_UNAVAILABLE,
        ErrorKind.NOT_READY,
    }
)


def print_json(value: object) -> None:
    """Print one JSON document on standard output."""
    sys.stdout.write(orjson.dumps(value, option=orjson.OPT_INDENT_2).decode() + "\n")


def print_table(head: Sequence[str], rows: Sequence[Sequence[object]]) -> None:
    """Print a table; each column is as wide as its widest cell."""
    table = [list(head), *([str(cell) for cell in row] for row in rows)]
    widths = [max(len(row[column]) for row in table) for column in range(len(head))]
    for row in table:
        line = "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        sys.stdout.write(line.rstrip() + "\n")


def print_line(text: str) -> None:
    """Print one line of text on standard output and flush it."""
    sys.stdout.write(text + "\n")
    sys.stdout.flush()


def print_error(text: str) -> None:
    """Print an error as one line on standard error."""
    sys.stderr.write(f"emberring: {text}\n")


def exit_code_of(error: EmberringError) -> ExitCode:
    """Return the exit code for an error."""
    if error.kind in _UNUSABLE_INPUT_KINDS:
        return ExitCode.UNUSABLE_INPUT
    return ExitCode.UNKNOWN_OUTCOME if error.kind in _UNKNOWN_OUTCOME_KINDS else ExitCode.REFUSED


def exit_with(code: ExitCode) -> None:
    """Exit the tool with this code."""
    raise typer.Exit(int(code))
