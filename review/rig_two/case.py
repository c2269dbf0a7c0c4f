"""Runs one case: a temporary folder, a record, a limit of time, and the exit code."""

from __future__ import annotations

import asyncio
import os
import sys
import tempfile
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path
from typing import Any

from rig_two.callers import Operator, configuration
from rig_two.model_server import ModelServer
from rig_two.platform import FRONTEND, Platform
from rig_two.record import Record

HELD, BROKEN, NOT_RUN = 0, 1, 2
LIMIT_S = 110.0
CONTACT_S = 3.0  # ContactMs
UP_S = 15.0  # for the gateways to become ready


class NotRunError(Exception):
    """The case couldn't run: the deployment didn't come up, or a step before the disruption failed."""


class Case:
    """What a case needs: the record, the platform, and whether the disruption is played."""

    def __init__(self, record: Record, platform: Platform, trouble: bool) -> None:
        self.record, self.platform, self.trouble = record, platform, trouble

    async def bring_up(
        self, servers: Sequence[ModelServer], routes: list[dict[str, Any]], services: list[str]
    ) -> list[str]:
        """Start all machines and servers, send the first configuration, and wait until all are in touch.

        Returns the addresses of the gateways. Raises `NotRunError` if the deployment doesn't come up.
        """
        platform = self.platform
        platform.start_all()
        for server in servers:
            await server.start()
            server.start_beats(platform.controls)
        document = configuration(7, routes, services)
        if not await Operator(platform.controls, self.record).configure(document, 0):
            raise NotRunError("the first configuration was not taken")
        gateways = platform.of_role("gateway")
        if not await platform.wait_ready(gateways, UP_S):
            raise NotRunError("the gateways did not become ready")
        await asyncio.sleep(CONTACT_S)
        return [gateway.address(FRONTEND) for gateway in gateways]


Play = Callable[[Case], Awaitable[bool]]


async def _play(play: Play, folder: Path, record: Record, size: dict[str, int]) -> int:
    platform = Platform(folder, record, **size)
    case = Case(record, platform, os.environ.get("TROUBLE", "1") != "0")
    record.note(f"case: trouble {'on' if case.trouble else 'off'}")
    try:
        async with asyncio.timeout(LIMIT_S):
            held = await play(case)
    except (NotRunError, TimeoutError, OSError) as error:
        record.note(f"case: couldn't run: {type(error).__name__} {error}")
        return NOT_RUN
    finally:
        await platform.end()
        if os.environ.get("KEEP_LOGS"):
            platform.keep_logs(Path(os.environ["KEEP_LOGS"]))
    record.note(f"case: the rule was {'kept' if held else 'broken'}")
    return HELD if held else BROKEN


def run(play: Play, script: str, **size: int) -> None:
    """Play a case, write `record.txt` beside its script, and exit: 1 rule broken, 0 rule kept, 2 not run."""
    record = Record(Path(script).resolve().parent / "record.txt")
    with tempfile.TemporaryDirectory() as folder:
        code = asyncio.run(_play(play, Path(folder), record, size))
    record.close()
    sys.exit(code)
