"""The command `emberring`: one typer app with all roles and tools. The roles do not import this module."""

from __future__ import annotations

import typer

from emberring.cli import (
    check_commands,
    config_commands,
    job_commands,
    retire_command,
    role_commands,
    simulation_commands,
    status_commands,
    trial_command,
)
from emberring.cli.printing import EXIT_CODES_TEXT, ExitCode, exit_code_of, print_error
from emberring.errors import EmberringError

ROLES = "Roles"
TOOLS = "Tools"

app = typer.Typer(
    name="emberring",
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
    help="A serving tier for model servers with a batch interface. Start with `emberring try`.",
    epilog=EXIT_CODES_TEXT,
)
for role in (role_commands.gateway, role_commands.control, role_commands.store):
    app.command(rich_help_panel=ROLES)(role)
app.command("try")(trial_command.try_out)
for tool in (status_commands.status, status_commands.nodes, status_commands.servers):
    app.command(epilog=EXIT_CODES_TEXT)(tool)
app.add_typer(simulation_commands.app, name="lab", help="Simulations of the tier's decisions.")
app.add_typer(job_commands.app, name="lots", help="Show the lots in the stores.")
app.add_typer(config_commands.app, name="config", help="Check, compare, read and change the configuration.")
app.add_typer(
    check_commands.app, name="check", help="Check settings and a node's data on disk, or run simulators."
)
app.command(epilog=EXIT_CODES_TEXT)(retire_command.retire)


def main(arguments: list[str] | None = None) -> int:
    """Run a command and return its exit code."""
    try:
        app(args=arguments, prog_name="emberring")
    except SystemExit as exit_request:
        return exit_request.code if isinstance(exit_request.code, int) else int(ExitCode.DONE)
    except EmberringError as error:
        print_error(error.detail or error.kind.value)
        return int(exit_code_of(error))
    return int(ExitCode.DONE)
