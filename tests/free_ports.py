"""Free loopback ports for tests that need an address before a server listens on it."""

from __future__ import annotations

import os
import random
import re
import socket

# Guard: the system may reassign a closed ephemeral port to an outgoing connection, and tests that then listened on it
# failed occasionally. These ports are below the ephemeral range.
FIRST_PORT, END_PORT = 20_000, 32_000
WORKERS = 16  # of the test run, each with its own range of ports


def _worker_ports() -> range:
    """Return the ports of this worker of the test run."""
    worker = re.search(r"\d+", os.environ.get("PYTEST_XDIST_WORKER", "0"))
    number = int(worker.group()) % WORKERS if worker else 0
    width = (END_PORT - FIRST_PORT) // WORKERS
    return range(FIRST_PORT + number * width, FIRST_PORT + (number + 1) * width)


def _is_free(port: int) -> bool:
    with socket.socket() as sock:
        try:
            sock.bind(("127.0.0.1", port))
        except OSError:
            return False
        return True


class _Cursor:
    """Iterates over the ports of the worker, so that each is reused as late as possible."""

    def __init__(self) -> None:
        self._ports = _worker_ports()
        self._next = random.randrange(len(self._ports))

    def take(self, count: int) -> list[int]:
        if self._next + count > len(self._ports):
            self._next = 0
        ports = list(self._ports[self._next : self._next + count])
        self._next += count
        return ports


_CURSOR = _Cursor()


def free_ports(count: int) -> list[int]:
    """Return `count` consecutive ports on which nothing listens."""
    while True:
        ports = _CURSOR.take(count)
        if all(_is_free(port) for port in ports):
            return ports


def free_port() -> int:
    """Return a port on which nothing listens."""
    return free_ports(1)[0]
