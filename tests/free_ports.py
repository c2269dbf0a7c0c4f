"""Ports of loopback for tests that must know an address before anything listens there."""

from __future__ import annotations

import os
import random
import re
import socket

# Guard: a port that the system itself gave out and that was closed again may be given to an outgoing connection the
# next moment; tests that listened there failed now and then. These lie below the ports the system gives out.
FIRST, LAST = 20_000, 32_000
WORKERS = 16  # of the test run, each with ports of its own


def _slice() -> range:
    """The ports of this worker of the test run."""
    worker = re.search(r"\d+", os.environ.get("PYTEST_XDIST_WORKER", "0"))
    number = int(worker.group()) % WORKERS if worker else 0
    width = (LAST - FIRST) // WORKERS
    return range(FIRST + number * width, FIRST + (number + 1) * width)


def _is_free(port: int) -> bool:
    with socket.socket() as sock:
        try:
            sock.bind(("127.0.0.1", port))
        except OSError:
            return False
        return True


class _Cursor:
    """Goes round the worker's ports, so that none is given out twice before all others were."""

    def __init__(self) -> None:
        self._ports = _slice()
        self._next = random.randrange(len(self._ports))

    def take(self, count: int) -> list[int]:
        if self._next + count > len(self._ports):
            self._next = 0
        row = list(self._ports[self._next : self._next + count])
        self._next += count
        return row


_CURSOR = _Cursor()


def free_ports(count: int) -> list[int]:
    """So many ports in a row on which nothing listens."""
    while True:
        row = _CURSOR.take(count)
        if all(_is_free(port) for port in row):
            return row


def free_port() -> int:
    """A port on which nothing listens."""
    return free_ports(1)[0]
