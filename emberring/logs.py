"""Logging: `key=value` lines on standard error through `picologging`; a disabled level costs little."""

from __future__ import annotations

import sys

import picologging

# The time is in seconds since the epoch, as `asctime` of this picologging version is formatted incorrectly.
LINE_FORMAT = "time=%(created)f level=%(levelname)s part=%(name)s"
ROOT_LOGGER_NAME = "emberring"


def get_logger(name: str) -> picologging.Logger:
    """Return the logger of this part of the tier."""
    return picologging.getLogger(f"{ROOT_LOGGER_NAME}.{name}")


def configure_logging(level: str, node: str) -> None:
    """Write lines of this level or above to standard error, with the node's name; an unknown level means INFO."""
    handler = picologging.StreamHandler(sys.stderr)
    handler.setFormatter(picologging.Formatter(f"{LINE_FORMAT} node={node} %(message)s"))
    root = picologging.getLogger()
    root.handlers = [handler]
    root.setLevel(getattr(picologging, level.upper(), picologging.INFO))
