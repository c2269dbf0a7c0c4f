"""Options that several tools share, and how a tool finds the control nodes."""

from __future__ import annotations

import os
from collections.abc import Sequence
from typing import Annotated

import typer

from emberring.errors import BadRequestError, SettingsError
from emberring.settings import SETTINGS_VARIABLE, load_settings

CONTROL_VARIABLE = "EMBERRING_CONTROL"

ControlOption = Annotated[
    list[str] | None,
    typer.Option(
        "--control",
        "-c",
        metavar="IP:PORT",
        help=f"Control plane of a control node; may stand more than once. Default: ${CONTROL_VARIABLE} "
        f"(parted by commas), else the seeds in the settings file that ${SETTINGS_VARIABLE} names.",
    ),
]
JsonOption = Annotated[bool, typer.Option("--json", help="Print JSON for programs.")]
TimeoutOption = Annotated[
    float, typer.Option("--timeout", min=0.1, help="Seconds after which no clear answer is awaited.")
]


def control_addresses(given: Sequence[str] | None) -> list[str]:
    """The control plane's addresses: those given, else the environment's, else the seeds in a node's settings file.

    `BadRequestError` where none is known, `SettingsError` where one is no `ip:port`.
    """
    found = list(given or ())
    if not found and os.environ.get(CONTROL_VARIABLE):
        found = [item.strip() for item in os.environ[CONTROL_VARIABLE].split(",") if item.strip()]
    if not found and os.environ.get(SETTINGS_VARIABLE):
        found = list(load_settings().seed_nodes)
    if not found:
        raise BadRequestError(
            f"no control node is known: give --control IP:PORT, or set {CONTROL_VARIABLE} or {SETTINGS_VARIABLE}"
        )
    for address in found:
        check_address(address)
    return found


def check_address(address: str) -> str:
    """The address itself; `SettingsError` unless it is `ip:port`."""
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise SettingsError(f"{address!r} is not an address and a port")
    return address
