"""`emberring check`: settings files, and what a node keeps on disk, read without changing anything."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import attrs
import typer

from emberring.cli.disk_reports import DiskReport, report_register, report_store
from emberring.cli.places import JsonOption
from emberring.cli.printing import EXIT_CODES_TEXT, ExitCode, complain, leave, print_json, print_line
from emberring.errors import SettingsError
from emberring.settings import load_settings

app = typer.Typer(no_args_is_help=True, epilog=EXIT_CODES_TEXT)


@app.command(epilog=EXIT_CODES_TEXT)
def settings(
    file: Annotated[Path, typer.Argument(metavar="FILE", help="A settings file in TOML.")],
    as_json: JsonOption = False,
) -> None:
    """Check a settings file; every mistake is named, unknown keys are skipped."""
    try:
        found = load_settings(file)
    except SettingsError as error:
        if as_json:
            print_json({"File": str(file), "Valid": False, "Mistakes": error.detail})
        complain(error.detail)
        leave(ExitCode.UNUSABLE)
        return
    if as_json:
        print_json({"File": str(file), "Valid": True, "Settings": attrs.asdict(found)})
    else:
        print_line(f"{file}: valid, node {found.node_name} in zone {found.zone}")


DirectoryArgument = Annotated[
    Path, typer.Argument(metavar="DIR", help="The node's DataDir, or a copy of it. Nothing is written.")
]


@app.command(epilog=EXIT_CODES_TEXT)
def register(directory: DirectoryArgument, as_json: JsonOption = False) -> None:
    """Verify every record of a control node's register. Best while the node is stopped."""
    _tell(report_register(directory), as_json)


@app.command(epilog=EXIT_CODES_TEXT)
def store(directory: DirectoryArgument, as_json: JsonOption = False) -> None:
    """Verify every record of a store and say what is lost. Best while the node is stopped."""
    _tell(report_store(directory), as_json)


def _tell(report: DiskReport, as_json: bool) -> None:
    if as_json:
        print_json(attrs.asdict(report))
    else:
        print_line(f"{report.directory}: identity {report.identity or 'none'}")
        print_line(f"{report.records} records in {report.segments} segments, {report.bytes} bytes")
        for name, value in report.facts.items():
            for item in value if isinstance(value, list) else [value]:
                print_line(f"{name}: {_text(item)}")
    for damage in report.damages:
        complain(f"{report.directory}: {damage}")
    if report.damages:
        leave(ExitCode.REFUSED)


def _text(item: object) -> str:
    if isinstance(item, dict):
        return ", ".join(f"{key} {value}" for key, value in item.items())
    return str(item)
