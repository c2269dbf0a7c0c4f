"""`emberring gateway|control|store`: starts a role with the settings file given on the command line."""

from __future__ import annotations

import os
import sys
from pathlib import Path
from typing import Annotated

import typer

from emberring.settings import DEFAULT_SETTINGS_PATH, SETTINGS_VARIABLE, load_settings

SettingsOption = Annotated[
    Path | None,
    typer.Option(
        "--settings",
        metavar="FILE",
        help=f"The settings file. Default: ${SETTINGS_VARIABLE}, else {DEFAULT_SETTINGS_PATH}.",
    ),
]


def _start(role: str, settings: Path | None) -> None:
    if settings is not None:
        load_settings(settings)
        os.environ[SETTINGS_VARIABLE] = str(settings)
    # Replaces this process, so that the role does not keep the modules that the command line has imported.
    os.execv(sys.executable, [sys.executable, "-m", "emberring", role])


def gateway(settings: SettingsOption = None) -> None:
    """Run a gateway, which forwards the clients' traffic (edge machines)."""
    _start("gateway", settings)


def control(settings: SettingsOption = None) -> None:
    """Run a control node, which manages the configuration, servers and nodes (core machines)."""
    _start("control", settings)


def store(settings: SettingsOption = None) -> None:
    """Run a store, which stores lots (storage machines)."""
    _start("store", settings)
