"""`emberring retire`: empty a store machine so that it can be taken away."""

from __future__ import annotations

import time
from typing import Annotated

import orjson
import typer

from emberring.cli.control_plane import send_request
from emberring.cli.options import ControlOption, JsonOption, TimeoutOption, control_addresses
from emberring.cli.printing import ExitCode, exit_with, print_json, print_line

POLL_INTERVAL_S = 0.5
COMPLETED = "completed"


def retire(
    node: Annotated[str, typer.Argument(metavar="NODE", help="Name of the store machine.")],
    control: ControlOption = None,
    duration: Annotated[float, typer.Option(min=0, help="Seconds that it may take.")] = 60.0,
    look: Annotated[bool, typer.Option("--look", help="Only ask how far it is.")] = False,
    wait: Annotated[float, typer.Option(min=0, help="Wait so many seconds for its end.")] = 0.0,
    timeout: TimeoutOption = 4.0,
    as_json: JsonOption = False,
) -> None:
    """Empty a store machine. Take it away only once its state is 'completed'.

    Exit code 1 where it is unknown, where too few would be left, or where --wait ended before its end.
    """
    controls = control_addresses(control)
    path = f"/v1/retire/{node}"
    if not look:
        body = orjson.dumps({"DurationS": duration})
        send_request(controls, "POST", path, content=body, within_s=timeout)
    deadline_s = time.monotonic() + wait
    state = _state(controls, path, timeout)
    while state != COMPLETED and time.monotonic() < deadline_s:
        time.sleep(POLL_INTERVAL_S)
        state = _state(controls, path, timeout)
    if as_json:
        print_json({"Node": node, "State": state})
    else:
        print_line(f"{node}: {state}")
    if wait and state != COMPLETED:
        exit_with(ExitCode.REFUSED)


def _state(controls: list[str], path: str, timeout_s: float) -> str:
    return str(send_request(controls, "GET", path, within_s=timeout_s).get("State", "unknown"))
