"""The node process: `python -m loadbalancer`, configured by the file that PROXY_CONFIG names."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import sys
from pathlib import Path

from loadbalancer.core.shutdown import signals
from loadbalancer.node.config import Config, parse_config
from loadbalancer.node.node import Node


def read_config() -> Config:
    """Read the file that PROXY_CONFIG names; raises OSError or ValueError."""
    path = os.environ.get("PROXY_CONFIG")
    if not path:
        raise ValueError("PROXY_CONFIG is not set")
    return parse_config(Path(path).read_bytes())


async def serve() -> int:
    """Run the node until SIGTERM or SIGINT; SIGHUP reloads the configuration. Returns the exit code."""
    stop, hangup = signals()
    try:
        config = read_config()
    except (OSError, ValueError) as error:
        print(f"loadbalancer: bad configuration: {_one_line(error)}", file=sys.stderr)
        return 2
    node = Node(config)
    await node.start()
    reload_task = asyncio.create_task(_reload(node, hangup))
    gc.collect()
    gc.freeze()  # exempt long-lived objects from garbage collection
    logging.info("%s listening on %s:%d", config.name, *node.server.address)
    await stop.wait()
    reload_task.cancel()
    logging.info("%s stopping", config.name)
    await node.stop()
    return 0


async def _reload(node: Node, hangup: asyncio.Event) -> None:
    """Reload the configuration at each SIGHUP; an invalid file leaves the current one active."""
    while True:
        await hangup.wait()
        hangup.clear()
        try:
            node.reconfigure(read_config())
        except (OSError, ValueError) as error:
            logging.error("bad configuration, keeping the current one: %s", _one_line(error))


def _one_line(error: Exception) -> str:
    return " ".join(str(error).split())


def main() -> int:
    """Run the node; returns the exit code: 2 for an invalid configuration, 1 if it can't listen."""
    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format="%(asctime)s %(levelname)s %(message)s")
    try:
        return asyncio.run(serve())
    except OSError as error:
        print(f"loadbalancer: {error}", file=sys.stderr)
        return 1


if __name__ == "__main__":
    sys.exit(main())
