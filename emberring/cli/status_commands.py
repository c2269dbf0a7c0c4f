"""`emberring status`, `nodes`, `servers`: what the control nodes know."""

from __future__ import annotations

from typing import Annotated, Any

import typer

from emberring.cli.control_plane import send_request
from emberring.cli.options import ControlOption, JsonOption, TimeoutOption, control_addresses
from emberring.cli.printing import ExitCode, exit_with, print_error, print_json, print_line, print_table
from emberring.errors import EmberringError, PeerUnavailableError

DEFAULT_TIMEOUT_S = 2.0
MAX_MAJORITY_AGE_S = 1.0  # a control node that has heard from a majority longer ago counts as partitioned


def ask_status(control: str, timeout_s: float) -> dict[str, Any]:
    """The status page of one control node; an error where it does not come."""
    found = send_request([control], "GET", "/v1/status", within_s=timeout_s)
    if not isinstance(found, dict):
        raise PeerUnavailableError(f"{control}: its answer is no status")
    return found


def first_status(controls: list[str], timeout_s: float) -> dict[str, Any]:
    """The page of the first control node in contact with a majority, else of the first that answers."""
    fallback: dict[str, Any] | None = None
    errors: list[str] = []
    for control in controls:
        try:
            found = ask_status(control, timeout_s)
        except EmberringError as error:
            errors.append(error.detail)
            continue
        if in_contact(found):
            return found
        fallback = fallback or found
    if fallback is None:
        raise PeerUnavailableError("; ".join(errors))
    print_error(f"{fallback['Node']} has no majority: what it tells may be old")
    return fallback


def in_contact(page: dict[str, Any]) -> bool:
    """Whether the control node of this status page has heard from a majority lately."""
    age_s = page.get("MajorityAgeS")
    return age_s is not None and age_s <= MAX_MAJORITY_AGE_S


def status(
    control: ControlOption = None, timeout: TimeoutOption = DEFAULT_TIMEOUT_S, as_json: JsonOption = False
) -> None:
    """Ask each control node given (or each seed) how it is, and sum up the tier.

    Exit code 1 where one does not answer, has no majority, or differs in the configuration.
    """
    pages: dict[str, dict[str, Any] | None] = {}
    for address in control_addresses(control):
        try:
            pages[address] = ask_status(address, timeout)
        except EmberringError as error:
            pages[address] = None
            print_error(error.detail)
    if not any(pages.values()):
        raise PeerUnavailableError("no control node answers")
    if as_json:
        print_json({"Healthy": _healthy(pages), "ControlNodes": pages})
    else:
        _show(pages)
    if not _healthy(pages):
        exit_with(ExitCode.REFUSED)


def _healthy(pages: dict[str, dict[str, Any] | None]) -> bool:
    known = [page for page in pages.values() if page is not None]
    versions = {page["ConfigurationVersion"] for page in known}
    return len(known) == len(pages) and all(in_contact(page) for page in known) and len(versions) == 1


def _show(pages: dict[str, dict[str, Any] | None]) -> None:
    rows = [_control_row(address, page) for address, page in pages.items()]
    print_table(("control plane", "node", "majority", "configuration"), rows)
    page = next((page for page in pages.values() if page and in_contact(page)), None)
    page = page or next(page for page in pages.values() if page)
    nodes, servers = page["Nodes"], page["Servers"]
    roles = {role: sum(node["Role"] == role for node in nodes) for role in ("control", "store", "gateway")}
    print_line("")
    print_line("nodes: " + ", ".join(f"{count} {role}" for role, count in roles.items()))
    states = sorted({server["State"] for server in servers})
    counts = [f"{sum(item['State'] == state for item in servers)} {state}" for state in states]
    in_flight = sum(server["InFlight"] for server in servers)
    print_line(f"model servers: {', '.join(counts) or 'none'}; {in_flight} calls in flight")
    print_line(f"shards: {_shards(page['Placement'])}")


def _control_row(address: str, page: dict[str, Any] | None) -> tuple[object, ...]:
    if page is None:
        return (address, "no answer", "", "")
    majority = "in contact" if in_contact(page) else "NOT in contact"
    return (address, page["Node"], majority, f"version {page['ConfigurationVersion']}")


def _shards(placement: dict[str, Any] | None) -> str:
    if placement is None:
        return "not placed yet"
    moving = sum(bool(shard["Joining"]) for shard in placement["Shards"])
    text = f"{len(placement['Shards'])} placed, {moving} moving"
    if placement["Retiring"]:
        text += f", being emptied: {', '.join(placement['Retiring'])}"
    return text


def nodes(
    control: ControlOption = None,
    role: Annotated[str | None, typer.Option(help="Only gateway, control or store.")] = None,
    timeout: TimeoutOption = DEFAULT_TIMEOUT_S,
    as_json: JsonOption = False,
) -> None:
    """List the nodes that live, as a control node in contact with a majority knows them."""
    found = first_status(control_addresses(control), timeout)["Nodes"]
    found = [node for node in found if role is None or node["Role"] == role]
    if as_json:
        print_json(found)
        return
    rows = [
        (node["Name"], node["Role"], node["Zone"], node["Address"], "leaving" if node["Leaving"] else "live")
        for node in found
    ]
    print_table(("name", "role", "zone", "internal address", "state"), rows)


def servers(
    control: ControlOption = None,
    service: Annotated[str | None, typer.Option(help="Only those of this service.")] = None,
    timeout: TimeoutOption = DEFAULT_TIMEOUT_S,
    as_json: JsonOption = False,
) -> None:
    """List the model servers known, with the calls that gateways have in flight there and what speaks against them:
    how many gateways find which trouble, and for how long already.
    """
    found = first_status(control_addresses(control), timeout)["Servers"]
    found = [server for server in found if service is None or server["Service"] == service]
    if as_json:
        print_json(found)
        return
    keys = ("Id", "Service", "Zone", "Address", "State", "InFlight", "Capacity", "Version")
    rows = [(*(server[key] for key in keys), _faults_text(server)) for server in found]
    print_table(
        ("id", "service", "zone", "address", "state", "in flight", "capacity", "version", "troubles"), rows
    )


def _faults_text(server: dict[str, Any]) -> str:
    """The faults that gateways see at the server, by how many gateways, and for how long already."""
    faults = server.get("Troubles") or {}
    if not faults:
        return ""
    named = ", ".join(f"{name} ({count})" for name, count in sorted(faults.items()))
    return f"{named} for {server['FailingForS']:.0f} s"
