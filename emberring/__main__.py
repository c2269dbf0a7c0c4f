"""`python -m emberring ROLE` runs a node of the tier; any other command is a tool of the command line."""

from __future__ import annotations

import asyncio
import gc
import sys
from collections.abc import Callable, Coroutine

from emberring import logs
from emberring.errors import SettingsError
from emberring.settings import Settings, load_settings

EXIT_BAD_SETTINGS = 2
# Thresholds of the garbage collector's generations: the process creates few reference cycles, and each pass costs time.
GC_THRESHOLDS = (20_000, 20, 50)

RunRole = Callable[[Settings], Coroutine[None, None, None]]


def _gateway() -> RunRole:
    from emberring.gateway.role import run

    return run


def _control() -> RunRole:
    from emberring.control.role import run

    return run


def _store() -> RunRole:
    from emberring.store.role import run

    return run


# Each role imports only its own modules: imports cost time and memory at every start.
ROLES: dict[str, Callable[[], RunRole]] = {"gateway": _gateway, "control": _control, "store": _store}


def run_role(name: str) -> int:
    """Run a role until it is stopped. Returns the exit code: `EXIT_BAD_SETTINGS` if the settings are invalid."""
    try:
        settings = load_settings()
    except SettingsError as error:
        print(f"emberring: {error.detail}", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    logs.configure_logging(settings.log_level, settings.node_name)
    role = ROLES[name]()
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    asyncio.run(role(settings))
    return 0


def main() -> int:
    """Run the command `emberring` and return its exit code."""
    if len(sys.argv) == 2 and sys.argv[1] in ROLES:
        return run_role(sys.argv[1])
    from emberring.cli.app import main as run_tool

    return run_tool()


if __name__ == "__main__":
    sys.exit(main())
