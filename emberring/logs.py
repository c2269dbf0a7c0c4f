"""Logs: `key=value` lines on standard error through `picologging`, cheap while a level is off."""

from __future__ import annotations

import sys
from typing import Any

import picologging

# Guard: the library's own form of the time of day prints garbage in this version; seconds of the epoch are right.
FORMAT = "time=%(created)f level=%(levelname)s part=%(name)s"
ROOT = "emberring"


def get_logger(name: str) -> Any:
    """The logger of a part of the tier."""
    return picologging.getLogger(f"{ROOT}.{name}")


def set_up(level: str, node: str) -> None:
    """Send what is of this level or above to standard error, with the node's name in each line."""
    handler = picologging.StreamHandler(sys.stderr)
    handler.setFormatter(picologging.Formatter(f"{FORMAT} node={node} %(message)s"))
    root = picologging.getLogger()
    root.handlers = [handler]
    root.setLevel(getattr(picologging, level.upper(), picologging.INFO))
