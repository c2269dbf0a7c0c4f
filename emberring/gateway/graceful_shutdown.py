"""The graceful shutdown of a gateway: not ready at once, all that still arrives is answered, out within the grace.

Sans-I/O: `step` says what to do; the current time is an argument (seconds of the event loop's clock).
"""

from __future__ import annotations

from enum import Enum

import attrs

READINESS_DETECTION_S = 2.4  # the platform probes once a second and stops sending after two failed probes
QUIET_S = 0.6  # without a new connection; after that none is expected
LISTEN_SHARE = 0.5  # of the grace, after which no new connection is accepted in any case
END_BEFORE_S = 0.7  # before the grace is over


class Stage(Enum):
    """What the process does next."""

    SERVE = "serve"  # accept all that arrives
    STOP_LISTENING = "stop_listening"  # and close idle connections
    FINISH = "finish"  # close connections that became idle
    END = "end"


@attrs.frozen
class OpenConnections:
    """What is open.

    Args:
        last_accepted_s: when the last connection was accepted.
        connections: open connections.
        busy: connections with a request on them.
    """

    last_accepted_s: float
    connections: int
    busy: int


class GracefulShutdown:
    """The stages from SIGTERM (`began_s`) to the end of the process."""

    def __init__(self, began_s: float, grace_s: float) -> None:
        self._began_s = began_s
        self._listen_until_s = began_s + max(0.0, min(READINESS_DETECTION_S, grace_s * LISTEN_SHARE))
        self._listen_at_most_s = began_s + grace_s * LISTEN_SHARE
        self._end_s = began_s + max(0.0, grace_s - END_BEFORE_S)
        self._listening = True

    def step(self, now_s: float, open_connections: OpenConnections) -> Stage:
        """Return what to do at this moment; each of `STOP_LISTENING` and `END` comes once."""
        if now_s >= self._end_s:
            return Stage.END
        if self._listening:
            quiet = now_s - open_connections.last_accepted_s >= QUIET_S
            if now_s < self._listen_until_s or not (quiet or now_s >= self._listen_at_most_s):
                return Stage.SERVE
            self._listening = False
            return Stage.STOP_LISTENING
        if not open_connections.connections:
            return Stage.END
        return Stage.FINISH
