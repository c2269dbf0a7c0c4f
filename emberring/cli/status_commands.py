"""`emberring status`, `nodes`, `servers`: the state of the tier as the control nodes report it."""

from __future__ import annotations

from typing import Annotated, Any

import typer

from emberring.cli.control_plane import send_request
from emberring.cli.options import ControlOption, JsonOption, TimeoutOption, control_addresses
from emberring.cli.printing import ExitCode, exit_with, print_error, print_json, print_line, print_table
from emberring.errors import EmberringError, PeerUnavailableError

DEFAULT_TIMEOUT_S = 2.0
MAX_MAJORITY_AGE_S = 1.0  # a control node whose last contact with a majority is older counts as partitioned


def fetch_status(control: str, timeout_s: float) -> dict[str, Any]:
    """Read the status page of one control node. Raises an error if it does not send one."""
    page = send_request([control], "GET", "/v1/status", within_s=timeout_s)
    if not isinstance(page, dict):
        raise PeerUnavailableError(f"{control}: the response is not a status page")
    return page


def first_status(controls: list[str], timeout_s: float) -> dict[str, Any]:
    """Return the page of the first control node in contact with a majority, else of the first that responds."""
    fallback: dict[str, Any] | None = None
    errors: list[str] = []
    for control in controls:
        try:
            page = fetch_status(control, timeout_s)
        except EmberringError as error:
            errors.append(error.detail)
            continue
        if has_majority(page):
            return page
        fallback = fallback or page
    if fallback is None:
        raise PeerUnavailableError("; ".join(errors))
    print_error(f"{fallback['Node']} has no contact with a majority: its status page may be old")
    return fallback


def has_majority(page: dict[str, Any]) -> bool:
    """Return whether the control node of this status page has had recent contact with a majority."""
    age_s = page.get("MajorityAgeS")
    return age_s is not None and age_s <= MAX_MAJORITY_AGE_S


def status(
    control: ControlOption = None, timeout: TimeoutOption = DEFAULT_TIMEOUT_S, as_json: JsonOption = False
) -> None:
    """Read the status of each given control node (or each seed) and print a summary of the tier.

    Exit code 1 if one does not respond, has no contact with a majority, or has a different configuration version.
    """
    pages: dict[str, dict[str, Any] | None] = {}
    for address in control_addresses(control):
        try:
            pages[address] = fetch_status(address, timeout)
        except EmberringError as error:
            pages[address] = None
            print_error(error.detail)
    if not any(pages.values()):
        raise PeerUnavailableError("no control node answers")
    if as_json:
        print_json({"Healthy": _healthy(pages), "ControlNodes": pages})
    else:
        _print_summary(pages)
    if not _healthy(pages):
        exit_with(ExitCode.REFUSED)


def _healthy(pages: dict[str, dict[str, Any] | None]) -> bool:
    responding = [page for page in pages.values() if page is not None]
    versions = {page["ConfigurationVersion"] for page in responding}
    return (
        len(responding) == len(pages)
        and all(has_majority(page) for page in responding)
        and len(versions) == 1
    )


def _print_summary(pages: dict[str, dict[str, Any] | None]) -> None:
    rows = [_control_row(address, page) for address, page in pages.items()]
    print_table(("control plane", "node", "majority", "configuration"), rows)
    page = next((page for page in pages.values() if page and has_majority(page)), None)
    page = page or next(page for page in pages.values() if page)
    nodes, servers = page["Nodes"], page["Servers"]
    roles = {role: sum(node["Role"] == role for node in nodes) for role in ("control", "store", "gateway")}
    print_line("")
    print_line("nodes: " + ", ".join(f"{count} {role}" for role, count in roles.items()))
    states = sorted({server["State"] for server in servers})
    counts = [f"{sum(item['State'] == state for item in servers)} {state}" for state in states]
    in_flight = sum(server["InFlight"] for server in servers)
    print_line(f"model servers: {', '.join(counts) or 'none'}; {in_flight} calls in flight")
    print_line(f"shards: {_placement_text(page['Placement'])}")


def _control_row(address: str, page: dict[str, Any] | None) -> tuple[object, ...]:
    if page is None:
        return (address, "no answer", "", "")
    majority = "in contact" if has_majority(page) else "NOT in contact"
    return (address, page["Node"], majority, f"version {page['ConfigurationVersion']}")


def _placement_text(placement: dict[str, Any] | None) -> str:
    if placement is None:
        return "not placed yet"
    moving = sum(bool(shard["Joining"]) for shard in placement["Shards"])
    summary = f"{len(placement['Shards'])} placed, {moving} moving"
    if placement["Retiring"]:
        summary += f", being emptied: {', '.join(placement['Retiring'])}"
    return summary


def nodes(
    control: ControlOption = None,
    role: Annotated[str | None, typer.Option(help="Only gateway, control or store.")] = None,
    timeout: TimeoutOption = DEFAULT_TIMEOUT_S,
    as_json: JsonOption = False,
) -> None:
    """List the live nodes, as reported by a control node in contact with a majority."""
    selected = first_status(control_addresses(control), timeout)["Nodes"]
    selected = [node for node in selected if role is None or node["Role"] == role]
    if as_json:
        print_json(selected)
        return
    rows = [
        (node["Name"], node["Role"], node["Zone"], node["Address"], "leaving" if node["Leaving"] else "live")
        for node in selected
    ]
    print_table(("name", "role", "zone", "internal address", "state"), rows)


def servers(
    control: ControlOption = None,
    service: Annotated[str | None, typer.Option(help="Only those of this service.")] = None,
    timeout: TimeoutOption = DEFAULT_TIMEOUT_S,
    as_json: JsonOption = False,
) -> None:
    """List the known model servers with the calls in flight from gateways, and with the troubles that gateways
    detect: how many gateways detect each, and for how long.
    """
    selected = first_status(control_addresses(control), timeout)["Servers"]
    selected = [server for server in selected if service is None or server["Service"] == service]
    if as_json:
        print_json(selected)
        return
    keys = ("Id", "Service", "Zone", "Address", "State", "InFlight", "Capacity", "Version")
    rows = [(*(server[key] for key in keys), _faults_text(server)) for server in selected]
    print_table(
        ("id", "service", "zone", "address", "state", "in flight", "capacity", "version", "troubles"), rows
    )


def _faults_text(server: dict[str, Any]) -> str:
    """Format the faults that gateways detect at a server: how many gateways detect each, and for how long."""
    faults = server.get("Troubles") or {}
    if not faults:
        return ""
    named = ", ".join(f"{name} ({count})" for name, count in sorted(faults.items()))
    return f"{named} for {server['FailingForS']:.0f} s"
