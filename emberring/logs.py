"""Logs: `key=value` lines on standard error through `picologging`, cheap while a level is disabled."""

from __future__ import annotations

import sys

import picologging

# Seconds since the epoch: this version of the library prints a wrong text for its own format of the time of day.
LINE_FORMAT = "time=%(created)f level=%(levelname)s part=%(name)s"
ROOT_LOGGER_NAME = "emberring"


def get_logger(name: str) -> picologging.Logger:
    """The logger of this part of the tier."""
    return picologging.getLogger(f"{ROOT_LOGGER_NAME}.{name}")


def configure_logging(level: str, node: str) -> None:
    """Write lines of this level or above to standard error, with the node's name; an unknown level counts as INFO."""
    handler = picologging.StreamHandler(sys.stderr)
    handler.setFormatter(picologging.Formatter(f"{LINE_FORMAT} node={node} %(message)s"))
    root = picologging.getLogger()
    root.handlers = [handler]
    root.setLevel(getattr(picologging, level.upper(), picologging.INFO))
