"""`emberring check`: settings files, and what a node keeps on disk, read without changing anything."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import attrs
import typer

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
