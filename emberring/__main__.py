"""`python -m emberring ROLE` runs a node of the tier; every other word is a tool of the command line."""

from __future__ import annotations

import asyncio
import gc
import sys
from collections.abc import Callable, Coroutine

from emberring import logs
from emberring.errors import SettingsError
from emberring.settings import Settings, load_settings

EXIT_BAD_SETTINGS = 2
COLLECT_EVERY = 20_000  # allocations between collections: few cycles are made here, and each pass costs time

Role = Callable[[Settings], Coroutine[None, None, None]]


def _gateway() -> Role:
    from emberring.gateway.role import run

    return run


def _control() -> Role:
    from emberring.control.role import run

    return run


def _store() -> Role:
    from emberring.store.role import run

    return run


# Each role imports its own parts alone: imports are paid in time and memory at every start.
ROLES: dict[str, Callable[[], Role]] = {"gateway": _gateway, "control": _control, "store": _store}


def run_role(name: str) -> int:
    """Run a role until it is told to end; the exit code."""
    try:
        settings = load_settings()
    except SettingsError as error:
        print(f"emberring: {error.detail}", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    logs.set_up(settings.log_level, settings.node_name)
    role = ROLES[name]()
    gc.collect()
    gc.freeze()
    gc.set_threshold(COLLECT_EVERY, 20, 50)
    asyncio.run(role(settings))
    return 0


def main() -> int:
    """The command `emberring`."""
    if len(sys.argv) == 2 and sys.argv[1] in ROLES:
        return run_role(sys.argv[1])
    from emberring.cli.app import main as run_tool

    return run_tool()


if __name__ == "__main__":
    sys.exit(main())
