"""The stages of the graceful shutdown of a gateway.

The gateway reports "not ready" immediately, answers the requests that still arrive, and ends within the grace period.
Sans-I/O: `step` returns what to do; the current time is an argument (seconds of the event loop's clock).
"""

from __future__ import annotations

from enum import Enum

import attrs

READINESS_DETECTION_S = 2.4  # the platform probes once a second and needs two failed probes
QUIET_PERIOD_S = 0.6  # after this time without a new connection, no more connections are expected
LISTEN_SHARE = 0.5  # share of the grace period after which no new connection is accepted in any case
END_MARGIN_S = 0.7  # the process ends this long before the end of the grace period


class Stage(Enum):
    """What the process must do next."""

    SERVE = "serve"  # accept new connections
    STOP_LISTENING = "stop_listening"  # and close idle connections
    FINISH = "finish"  # close connections that have become idle
    END = "end"


@attrs.frozen
class OpenConnections:
    """The open connections of the gateway.

    Args:
        last_accepted_s: when the latest connection was accepted.
        connections: number of open connections.
        busy: number of connections with a request in progress.
    """

    last_accepted_s: float
    connections: int
    busy: int


class GracefulShutdown:
    """Determines the stages from SIGTERM (`began_s`) to the end of the process."""

    def __init__(self, began_s: float, grace_s: float) -> None:
        self._began_s = began_s
        self._min_listen_until_s = began_s + max(0.0, min(READINESS_DETECTION_S, grace_s * LISTEN_SHARE))
        self._max_listen_until_s = began_s + grace_s * LISTEN_SHARE
        self._end_s = began_s + max(0.0, grace_s - END_MARGIN_S)
        self._listening = True

    def step(self, now_s: float, open_connections: OpenConnections) -> Stage:
        """Return what to do now; `STOP_LISTENING` is returned at most once."""
        if now_s >= self._end_s:
            return Stage.END
        if self._listening:
            quiet = now_s - open_connections.last_accepted_s >= QUIET_PERIOD_S
            if now_s < self._min_listen_until_s or not (quiet or now_s >= self._max_listen_until_s):
                return Stage.SERVE
            self._listening = False
            return Stage.STOP_LISTENING
        if not open_connections.connections:
            return Stage.END
        return Stage.FINISH
