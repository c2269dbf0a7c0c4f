"""Options that several tools share, and the lookup of the control nodes' addresses."""

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
        help=f"Control plane address of a control node; may be repeated. Default: ${CONTROL_VARIABLE} "
        f"(separated by commas), else the seeds in the settings file that ${SETTINGS_VARIABLE} names.",
    ),
]
JsonOption = Annotated[bool, typer.Option("--json", help="Print JSON for programs.")]
TimeoutOption = Annotated[
    float, typer.Option("--timeout", min=0.1, help="Seconds to wait for a clear answer.")
]


def control_addresses(given: Sequence[str] | None) -> list[str]:
    """Return the control plane's addresses: those given, else the environment's, else the seeds in the settings file.

    Raises `BadRequestError` if there are none, and `SettingsError` if one is not of the form `ip:port`.
    """
    addresses = list(given or ())
    if not addresses and os.environ.get(CONTROL_VARIABLE):
        addresses = [item.strip() for item in os.environ[CONTROL_VARIABLE].split(",") if item.strip()]
    if not addresses and os.environ.get(SETTINGS_VARIABLE):
        addresses = list(load_settings().seed_nodes)
    if not addresses:
        raise BadRequestError(
            f"no control node is known: give --control IP:PORT, or set {CONTROL_VARIABLE} or {SETTINGS_VARIABLE}"
        )
    for address in addresses:
        check_address(address)
    return addresses


def check_address(address: str) -> str:
    """Return the address unchanged. Raises `SettingsError` unless it has the form `ip:port`."""
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise SettingsError(f"{address!r} is not an address and a port")
    return address
