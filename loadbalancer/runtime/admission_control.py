"""Admission control of a sidecar process: its own overload limits, rejection counts and load figures."""

from __future__ import annotations

import asyncio
import math
from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from typing import Any

from loadbalancer import interface as api
from loadbalancer.core.listener import Listener
from loadbalancer.core.pool import Pool
from loadbalancer.core.turns import PeriodicWakeup, turns_of
from loadbalancer.core.types import AnswerCause, RequestCapacity
from loadbalancer.overload.core import CoreLimit
from loadbalancer.overload.rejections import RejectionCounts, RejectionSource

UPDATE_INTERVAL_S = 0.1  # between two updates of the CPU cost estimate and the longest class deadline
RETRY_AFTER_S = 1  # sent with rejections due to CPU overload, where the settings allow a Retry-After
SOURCE_BY_CAUSE = {
    AnswerCause.NO_ROOM: RejectionSource.CONNECTIONS,
    AnswerCause.NO_SERVER: RejectionSource.NO_SERVER,
}


def useful_time_s(kind: api.ServiceClass) -> float:
    """Return the time from a request's arrival after which its answer has no value."""
    return (kind.give_up_ms if kind.late_worth > 0.0 else kind.aim_ms) / 1000.0


def expected_server_s(pool: Pool, kind: api.ServiceClass) -> float:
    """Return the mean server latency of a class; 0 if none has been measured yet."""
    return pool.balancer.latencies.mean_ms.get(kind.name, 0.0) / 1000.0


class AdmissionControl:
    """Decides whether this process can still answer a request in time, and counts rejections by their cause."""

    def __init__(self, pools: Callable[[], Iterable[Pool]], capacity: RequestCapacity) -> None:
        """`pools` returns the current pools; `capacity` counts the open requests of the process."""
        self.loop = asyncio.get_running_loop()
        self.turns = turns_of(self.loop)
        self.core = CoreLimit()
        self.rejections = RejectionCounts()
        self._pools = pools
        self._capacity = capacity
        self._wakeup = PeriodicWakeup(lambda: capacity.open > 0)
        self._timer: asyncio.TimerHandle | None = None
        self._rejection_heads: dict[RejectionSource, bytes] = {}
        self._admitted = 0
        self._last_sample = self.loop.time(), 0.0, 0, 0, 0.0, 0  # the totals at the last `update`
        self._last_logged: Counter[str] = Counter()
        self.configure("loadbalancer", False)

    def configure(self, name: str, retry_after: bool) -> None:
        """Set the name in `Proxy-Status`, and whether a rejection may carry `Retry-After`."""
        self._rejection_heads = {}
        for source in (RejectionSource.CORE, RejectionSource.CALLERS):
            proxy_status = (
                f'{name}; error={source.error}; details="refused: it never ran; {source.explanation}"'
            )
            lines = ["HTTP/1.1 503 Service Unavailable", f"Proxy-Status: {proxy_status}", "Content-Length: 0"]
            if retry_after:
                lines.append(f"Retry-After: {RETRY_AFTER_S}")
            self._rejection_heads[source] = ("\r\n".join(lines) + "\r\n").encode("ascii", "replace")
        self.retry_after_ms = RETRY_AFTER_S * 1000.0 if retry_after else 0.0

    def update(self) -> None:
        """Update the cost estimate from the work done since the last call; repeats every `UPDATE_INTERVAL_S`."""
        pools = list(self._pools())
        if self.turns.has_polls:
            sample = (
                self.loop.time(),
                self.turns.busy_s,
                self._admitted,
                self.rejections.counts.total(),
                sum(pool.server_ms for pool in pools) / 1000.0,
                sum(pool.good_answers for pool in pools),
            )
            # A reload may replace a pool, whose totals then start at 0: a difference may be negative.
            elapsed, busy, admitted, rejected, server_time, answers = (
                max(0, current - previous)
                for current, previous in zip(sample, self._last_sample, strict=True)
            )
            self.core.update_costs(elapsed, busy, int(admitted), int(rejected), server_time / max(1, answers))
            self._last_sample = sample
        times = [
            useful_time_s(kind) - expected_server_s(pool, kind)
            for pool in pools
            for kind in pool.classes.values()
        ]
        self.core.top_s = max(times, default=math.inf)
        self._timer = self.loop.call_later(UPDATE_INTERVAL_S, self.update)

    def close(self) -> None:
        """Stop the timers."""
        self._wakeup.close()
        if self._timer is not None:
            self._timer.cancel()

    def unparsed_rejection(self, arrived: float) -> bytes | None:
        """Return the rejection for a request that arrived at this time and has not been parsed, or None to parse it.

        The rejection is a response head without its `Connection` field and final empty line.
        """
        now = self.loop.time()
        rejects_all = self.core.shut(self.turns.turn_length(now), now - arrived, self._capacity.open)
        return self._rejection_heads[RejectionSource.CORE] if rejects_all else None

    def connection_limit_rejection(self) -> bytes:
        """Return the same for a request on a connection beyond the listener's limit."""
        return self._rejection_heads[RejectionSource.CALLERS]

    def count_unparsed_rejection(self, head: bytes) -> None:
        """Count a rejection of an unparsed request: its pool and class are unknown."""
        self.rejections.add(
            "",
            "",
            RejectionSource.CORE
            if head is self._rejection_heads[RejectionSource.CORE]
            else RejectionSource.CALLERS,
        )

    def admits(self, pool: Pool, kind: api.ServiceClass, arrived: float) -> bool:
        """Whether this process has the CPU time to answer a request of this class in time."""
        self._wakeup.start()
        worth = kind.worth / (pool.balancer.top_worth or 1.0)
        now = self.loop.time()
        admitted = self.core.allows(
            self.turns.turn_length(now),
            now - arrived,
            self._capacity.open,
            expected_server_s(pool, kind),
            useful_time_s(kind),
            worth,
        )
        self._admitted += admitted
        return admitted

    def count_rejection(self, pool: str, kind: str, cause: AnswerCause, tried: bool) -> RejectionSource:
        """Count a rejection by a pool and return the limit that caused it; `tried`: an attempt had been made."""
        source = SOURCE_BY_CAUSE.get(cause, RejectionSource.SERVERS if tried else RejectionSource.TABLE)
        self.rejections.add(pool, kind, source)
        return source

    # ------------------------------------------------------------------ for operators

    def load_row(self, listeners: Mapping[str, Listener], pools: Mapping[str, Pool]) -> dict[str, Any]:
        """Return the body of the admin path `/load`."""
        p50, p99 = self.turns.lags_ms()
        return {
            "node": {
                "lag_ms": {"p50": round(p50, 3), "p99": round(p99, 3)},
                "turn_ms": round(self.turns.turn_s * 1000.0, 3),
                "cost_us": round(self.core.cost_s * 1e6, 1),
                "busy_s": round(self.turns.busy_s, 3),
                "away_s": round(self.turns.unavailable_s, 3),
                "own_share": own_share(pools.values()),
                "refused": dict(self.rejections.by_source()),
                "listeners": {name: listener_row(listener) for name, listener in listeners.items()},
            },
            "pools": {name: pool_row(pool) for name, pool in pools.items()},
            "refused": self.rejections.rows(),
        }

    def log_text(self, pools: Iterable[Pool]) -> str:
        """Return the load figures for the periodic log line, with the rejections since the last call."""
        p50, p99 = self.turns.lags_ms()
        counts = self.rejections.by_source()
        since, self._last_logged = counts - self._last_logged, counts
        refused = ", ".join(f"{name} {count}" for name, count in sorted(since.items())) or "nothing"
        cursors = " ".join(f"{pool.balancer.table.cursor}" for pool in pools)
        return f"lag {p50:.1f}/{p99:.1f} ms, own share {own_share(pools):.2f}, cursors {cursors}, refused by {refused}"


def own_share(pools: Iterable[Pool]) -> float:
    """Return the share (0 to 1) of the latency of successful answers that this process itself added."""
    own_ms = sum(pool.own_ms for pool in pools)
    total_ms = own_ms + sum(pool.server_ms for pool in pools)
    return round(own_ms / total_ms, 4) if total_ms else 0.0


def listener_row(listener: Listener) -> dict[str, Any]:
    """Return a listener's connection counts."""
    return {
        "connections": len(listener.connections),
        "limit": listener.limit,
        "under_way": listener.active_requests,
        "idle": len(listener.idle),
        "paused": listener.paused,
        "short_of_descriptors": listener.descriptor_shortages,
    }


def pool_row(pool: Pool) -> dict[str, Any]:
    """Return a pool's load as its balancer estimates it, and its connections to servers."""
    balancer = pool.balancer
    return {
        "cursor": balancer.table.cursor,
        "slots": len(balancer.table.shape),
        "level": round(balancer.estimate.level, 5),
        "baseline": None if balancer.estimate.baseline is None else round(balancer.estimate.baseline, 5),
        "load": round(balancer.estimate.load, 4),
        "load_counts_from_level": round(balancer.estimate.target_level, 5),
        "in_flight": round(sum(peer.load for peer in balancer.ready), 2),
        "admitted_up_to": round(balancer.threshold(1.0, len(balancer.ready)), 2),
        "servers": len(balancer.ready),
        "connections": pool.back.size,
        "waiting_for_connection": pool.back.waiting,
        "own_share": own_share([pool]),
        "attempts": dict(pool.counts),
    }
