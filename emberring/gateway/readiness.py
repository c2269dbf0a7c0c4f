"""The readiness of this gateway, and the HTTP pages of readiness and metrics."""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping

from emberring.gateway.asgi import Receive, Scope, Send
from emberring.gateway.ports import Directory

READY_PATH = "/v1/readyz"
METRICS_PATH = "/metrics"
SERVERS_WAIT_S = 2.0  # with a configuration but no known server, the gateway becomes ready after this time


class Readiness:
    """The readiness of this gateway.

    The gateway becomes ready when a configuration chosen by a quorum and a server are known. Then it stays ready until
    shutdown, except while it is partitioned from both the control nodes and the servers.
    """

    def __init__(self, directory: Directory, isolated: Callable[[], bool] = lambda: False) -> None:
        self._directory = directory
        self._isolated = isolated
        self._configuration_known_s: float | None = None
        self._was_ready = False
        self.shutting_down = False

    def ready(self, now_s: float) -> bool:
        """Return whether this gateway should get new connections."""
        if self.shutting_down or self._directory.configuration is None:
            return False
        if self._configuration_known_s is None:
            self._configuration_known_s = now_s
        if not self._was_ready:
            waited = now_s - self._configuration_known_s >= SERVERS_WAIT_S
            self._was_ready = bool(self._directory.servers) or waited
        return self._was_ready and not self._isolated()


def render_metrics(metrics: Mapping[str, float]) -> bytes:
    """Return the metrics in the Prometheus text format; names that end in `_total` are counters."""
    lines = []
    families_seen = set()
    for name, value in metrics.items():
        family = name.partition("{")[0]
        if family not in families_seen:
            families_seen.add(family)
            metric_type = "counter" if family.endswith("_total") else "gauge"
            lines.append(f"# TYPE emberring_gateway_{family} {metric_type}\n")
        text = "+Inf" if value == math.inf else f"{value:g}"
        lines.append(f"emberring_gateway_{name} {text}\n")
    return "".join(lines).encode()


class ReadinessPages:
    """An ASGI application that serves the readiness and metrics pages."""

    def __init__(self, ready: Callable[[], bool], metrics: Callable[[], Mapping[str, float]]) -> None:
        self._ready = ready
        self._metrics = metrics

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one request."""
        if scope["path"] == READY_PATH:
            status, body = (200, b"ready\n") if self._ready() else (503, b"not ready\n")
        elif scope["path"] == METRICS_PATH:
            status, body = 200, render_metrics(self._metrics())
        else:
            status, body = 404, b""
        headers = [(b"content-type", b"text/plain"), (b"content-length", b"%d" % len(body))]
        await send({"type": "http.response.start", "status": status, "headers": headers})
        await send({"type": "http.response.body", "body": body, "more_body": False})
