"""`emberring retire`: moves all data off a store machine so that the machine can be removed."""

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
    duration: Annotated[float, typer.Option(min=0, help="Seconds that the retirement may take.")] = 60.0,
    look: Annotated[bool, typer.Option("--look", help="Only read the state, start nothing.")] = False,
    wait: Annotated[float, typer.Option(min=0, help="Seconds to wait for the completion.")] = 0.0,
    timeout: TimeoutOption = 4.0,
    as_json: JsonOption = False,
) -> None:
    """Move all data off a store machine. Remove the machine only once its state is 'completed'.

    Exit code 1 if it is unknown, if too few stores would remain, or if it is not completed within --wait seconds.
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
