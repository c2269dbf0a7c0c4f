"""`emberring config`: check, compare, read and change the configuration."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Any

import attrs
import orjson
import typer

from emberring.cli.config_diff import find_differences
from emberring.cli.control_plane import send_request
from emberring.cli.options import ControlOption, JsonOption, TimeoutOption, control_addresses
from emberring.cli.printing import EXIT_CODES_TEXT, ExitCode, exit_with, print_error, print_json, print_line
from emberring.configuration.checks import find_configuration_errors
from emberring.configuration.reading import parse_object_strictly
from emberring.errors import BadRequestError, InvalidConfigurationError

LIVE = "live"  # used instead of a file name: the active configuration, read from a control node
DEFAULT_TIMEOUT_S = 10.0

app = typer.Typer(no_args_is_help=True, epilog=EXIT_CODES_TEXT)

FileArgument = Annotated[Path, typer.Argument(metavar="FILE", help="A configuration in JSON.")]


def read_file(path: Path) -> bytes:
    """Return the content of a file. Raises `BadRequestError` if it cannot be read."""
    try:
        return path.read_bytes()
    except OSError as error:
        raise BadRequestError(f"{path}: {error.strerror or error}") from error


def configuration_errors(content: bytes) -> tuple[str, ...]:
    """Return every error in a complete configuration."""
    try:
        return find_configuration_errors(parse_object_strictly(content))
    except InvalidConfigurationError as error:
        return error.mistakes


@app.command(epilog=EXIT_CODES_TEXT)
def check(file: FileArgument, as_json: JsonOption = False) -> None:
    """Check a complete configuration without sending it and report every error."""
    mistakes = configuration_errors(read_file(file))
    if as_json:
        print_json({"File": str(file), "Valid": not mistakes, "Mistakes": mistakes})
    elif not mistakes:
        print_line(f"{file}: valid")
    for mistake in mistakes if not as_json else ():
        print_error(f"{file}: {mistake}")
    if mistakes:
        exit_with(ExitCode.REFUSED)


@app.command(epilog=EXIT_CODES_TEXT)
def diff(
    before: Annotated[str, typer.Argument(help=f"A file, or '{LIVE}' for the active configuration.")],
    after: Annotated[str, typer.Argument(help=f"A file, or '{LIVE}' for the active configuration.")],
    control: ControlOption = None,
    timeout: TimeoutOption = DEFAULT_TIMEOUT_S,
    as_json: JsonOption = False,
) -> None:
    """Show the differences between two configurations. Exit code 1 if there are any."""
    differences = find_differences(
        _load_configuration(before, control, timeout), _load_configuration(after, control, timeout)
    )
    if as_json:
        print_json([attrs.asdict(difference) for difference in differences])
    else:
        for difference in differences:
            print_line(difference.text())
    if differences:
        exit_with(ExitCode.REFUSED)


def _load_configuration(source: str, control: list[str] | None, timeout_s: float) -> dict[str, Any]:
    if source == LIVE:
        return _read_live(control, timeout_s)
    try:
        return parse_object_strictly(read_file(Path(source)))
    except InvalidConfigurationError as error:
        raise BadRequestError(f"{source}: {error.detail}") from error


def _read_live(control: list[str] | None, timeout_s: float) -> dict[str, Any]:
    configuration = send_request(control_addresses(control), "GET", "/v1/config", within_s=timeout_s)
    if not isinstance(configuration, dict):
        raise BadRequestError("the control node's answer is no configuration")
    return configuration


@app.command(epilog=EXIT_CODES_TEXT)
def get(
    control: ControlOption = None,
    output: Annotated[
        Path | None, typer.Option("--output", "-o", help="Write the configuration to this file.")
    ] = None,
    timeout: TimeoutOption = DEFAULT_TIMEOUT_S,
    as_json: JsonOption = False,
) -> None:
    """Read the active configuration; it is always printed as JSON."""
    configuration = _read_live(control, timeout)
    if output is None:
        print_json(configuration)
        return
    output.write_bytes(orjson.dumps(configuration, option=orjson.OPT_INDENT_2) + b"\n")
    if as_json:
        print_json({"File": str(output), "Version": configuration.get("Version")})
    else:
        print_line(f"{output}: version {configuration.get('Version')}")


IfMatchOption = Annotated[
    int | None,
    typer.Option(
        "--if-match", min=0, help="The version that the change is based on. Default: the active one."
    ),
]


@app.command(epilog=EXIT_CODES_TEXT)
def put(
    file: FileArgument,
    control: ControlOption = None,
    if_match: IfMatchOption = None,
    timeout: TimeoutOption = DEFAULT_TIMEOUT_S,
    as_json: JsonOption = False,
) -> None:
    """Replace the active configuration; the new one is checked before it is sent."""
    content = read_file(file)
    mistakes = configuration_errors(content)
    if mistakes:
        raise InvalidConfigurationError(mistakes)
    _send("PUT", content, control, if_match, timeout, as_json)


@app.command(epilog=EXIT_CODES_TEXT)
def patch(
    file: Annotated[Path, typer.Argument(metavar="FILE", help="Version, Upsert and Remove in JSON.")],
    control: ControlOption = None,
    if_match: IfMatchOption = None,
    timeout: TimeoutOption = DEFAULT_TIMEOUT_S,
    as_json: JsonOption = False,
) -> None:
    """Change named items of the active configuration."""
    content = read_file(file)
    parse_object_strictly(content)
    _send("PATCH", content, control, if_match, timeout, as_json)


def _send(
    method: str,
    content: bytes,
    control: list[str] | None,
    if_match: int | None,
    timeout_s: float,
    as_json: bool,
) -> None:
    controls = control_addresses(control)
    base_version = (
        if_match if if_match is not None else int(_read_live(control, timeout_s).get("Version") or 0)
    )
    headers = {"If-Match": str(base_version)}
    send_request(controls, method, "/v1/config", content=content, headers=headers, within_s=timeout_s)
    version = parse_object_strictly(content).get("Version")
    if as_json:
        print_json({"Taken": True, "Version": version, "BuiltOn": base_version})
    else:
        print_line(f"version {version} is in force (built on {base_version})")
