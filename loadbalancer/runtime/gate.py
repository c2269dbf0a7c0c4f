"""A process's own limits, as its fronts and its operators ask for them."""

from __future__ import annotations

import asyncio
import math
from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from typing import Any

from loadbalancer import interface as api
from loadbalancer.core.listener import Listener
from loadbalancer.core.pool import Pool
from loadbalancer.core.turns import Beat, turns_of
from loadbalancer.core.types import AnswerCause, RequestCapacity
from loadbalancer.overload.core import CoreLimit
from loadbalancer.overload.rejections import RejectionCounts, RejectionSource

LOOK_S = 0.1  # between two looks at which class has most time
RETRY_AFTER_S = 1  # told with what this core refuses, where the settings allow it
OWNERS = {AnswerCause.NO_ROOM: RejectionSource.CONNECTIONS, AnswerCause.NO_SERVER: RejectionSource.NO_SERVER}


def time_s(kind: api.ServiceClass) -> float:
    """After which an answer is worth nothing."""
    return (kind.give_up_ms if kind.late_worth > 0.0 else kind.aim_ms) / 1000.0


def server_s(pool: Pool, kind: api.ServiceClass) -> float:
    """Of an answer's time, what its servers take, as far as it is known."""
    return pool.balancer.latencies.mean_ms.get(kind.name, 0.0) / 1000.0


class Gate:
    """One process's."""

    def __init__(self, pools: Callable[[], Iterable[Pool]], room: RequestCapacity) -> None:
        """`pools` in force; `room`: how many requests are open."""
        self.loop = asyncio.get_running_loop()
        self.turns = turns_of(self.loop)
        self.core = CoreLimit()
        self.tally = RejectionCounts()
        self._pools = pools
        self._room = room
        self._beat = Beat(lambda: room.open > 0)
        self._timer: asyncio.TimerHandle | None = None
        self._heads: dict[RejectionSource, bytes] = {}
        self._taken = 0
        self._before = self.loop.time(), 0.0, 0, 0, 0.0, 0  # at the last look, as told there
        self._told: Counter[str] = Counter()
        self.configure("loadbalancer", False)

    def configure(self, name: str, retry_after: bool) -> None:
        """Put in force: the name in `Proxy-Status`, and whether a refusal may say when to come back."""
        self._heads = {}
        for whose in (RejectionSource.CORE, RejectionSource.CALLERS):
            said = f'{name}; error={whose.error}; details="refused: it never ran; {whose.words}"'
            lines = ["HTTP/1.1 503 Service Unavailable", f"Proxy-Status: {said}", "Content-Length: 0"]
            if retry_after:
                lines.append(f"Retry-After: {RETRY_AFTER_S}")
            self._heads[whose] = ("\r\n".join(lines) + "\r\n").encode("ascii", "replace")
        self.retry_after_ms = RETRY_AFTER_S * 1000.0 if retry_after else 0.0

    def look(self) -> None:
        """Take in what the core and the pools have done since, now and again every `LOOK_S`."""
        pools = list(self._pools())
        if self.turns.told:
            now = (
                self.loop.time(),
                self.turns.busy_s,
                self._taken,
                self.tally.counts.total(),
                sum(pool.server_ms for pool in pools) / 1000.0,
                sum(pool.good for pool in pools),
            )
            # A reload may put a pool anew, with nothing done yet.
            whole, busy, taken, refused, servers, answers = (
                max(0, new - old) for new, old in zip(now, self._before, strict=True)
            )
            self.core.learn(whole, busy, int(taken), int(refused), servers / max(1, answers))
            self._before = now
        times = [time_s(kind) - server_s(pool, kind) for pool in pools for kind in pool.classes.values()]
        self.core.top_s = max(times, default=math.inf)
        self._timer = self.loop.call_later(LOOK_S, self.look)

    def close(self) -> None:
        self._beat.close()
        if self._timer is not None:
            self._timer.cancel()

    def refusal(self, came: float) -> bytes | None:
        """The head, but for its last line, of the answer to any request that came then; None where it is to be read."""
        now = self.loop.time()
        shut = self.core.shut(self.turns.so_far(now), now - came, self._room.open)
        return self._heads[RejectionSource.CORE] if shut else None

    def full(self) -> bytes:
        """The same for a request that came on a connection for which there is no place."""
        return self._heads[RejectionSource.CALLERS]

    def used(self, head: bytes) -> None:
        """One of these has been sent."""
        self.tally.add(
            "",
            "",
            RejectionSource.CORE if head is self._heads[RejectionSource.CORE] else RejectionSource.CALLERS,
        )

    def allows(self, pool: Pool, kind: api.ServiceClass, arrived: float) -> bool:
        """Whether this core can answer a request of this class in time."""
        self._beat.start()
        worth = kind.worth / (pool.balancer.top_worth or 1.0)
        now = self.loop.time()
        allowed = self.core.allows(
            self.turns.so_far(now), now - arrived, self._room.open, server_s(pool, kind), time_s(kind), worth
        )
        self._taken += allowed
        return allowed

    def refused(self, pool: str, kind: str, cause: AnswerCause, tried: bool) -> RejectionSource:
        """Count what a pool has refused; returns whose limit it was."""
        whose = OWNERS.get(cause, RejectionSource.SERVERS if tried else RejectionSource.TABLE)
        self.tally.add(pool, kind, whose)
        return whose

    # ------------------------------------------------------------------ for operators

    def row(self, listeners: Mapping[str, Listener], pools: Mapping[str, Pool]) -> dict[str, Any]:
        """What `/load` tells."""
        p50, p99 = self.turns.lags_ms()
        return {
            "node": {
                "lag_ms": {"p50": round(p50, 3), "p99": round(p99, 3)},
                "turn_ms": round(self.turns.turn_s * 1000.0, 3),
                "cost_us": round(self.core.cost_s * 1e6, 1),
                "busy_s": round(self.turns.busy_s, 3),
                "away_s": round(self.turns.away_s, 3),
                "own_share": own_share(pools.values()),
                "refused": dict(self.tally.by_owner()),
                "listeners": {name: listener_row(found) for name, found in listeners.items()},
            },
            "pools": {name: pool_row(pool) for name, pool in pools.items()},
            "refused": self.tally.rows(),
        }

    def line(self, pools: Iterable[Pool]) -> str:
        """For the periodic figures; counts since the last one."""
        p50, p99 = self.turns.lags_ms()
        now = self.tally.by_owner()
        since, self._told = now - self._told, now
        refused = ", ".join(f"{name} {count}" for name, count in sorted(since.items())) or "nothing"
        cursors = " ".join(f"{pool.balancer.table.cursor}" for pool in pools)
        return f"lag {p50:.1f}/{p99:.1f} ms, own share {own_share(pools):.2f}, cursors {cursors}, refused by {refused}"


def own_share(pools: Iterable[Pool]) -> float:
    """Of the time of good answers, what this process took itself (0 to 1)."""
    own = sum(pool.own_ms for pool in pools)
    whole = own + sum(pool.server_ms for pool in pools)
    return round(own / whole, 4) if whole else 0.0


def listener_row(listener: Listener) -> dict[str, Any]:
    return {
        "connections": len(listener.connections),
        "limit": listener.limit,
        "under_way": listener.active_requests,
        "idle": len(listener.idle),
        "paused": listener.paused,
        "short_of_descriptors": listener.short,
    }


def pool_row(pool: Pool) -> dict[str, Any]:
    """A pool's load as its decision module sees it, and its connections."""
    brain = pool.balancer
    return {
        "cursor": brain.table.cursor,
        "slots": len(brain.table.shape),
        "level": round(brain.estimate.level, 5),
        "baseline": None if brain.estimate.baseline is None else round(brain.estimate.baseline, 5),
        "load": round(brain.estimate.load, 4),
        "load_counts_from_level": round(brain.estimate.target_level, 5),
        "in_flight": round(sum(peer.load for peer in brain.ready), 2),
        "admitted_up_to": round(brain.threshold(1.0, len(brain.ready)), 2),
        "servers": len(brain.ready),
        "connections": pool.back.size,
        "waiting_for_connection": pool.back.waiting,
        "own_share": own_share([pool]),
        "attempts": dict(pool.counts),
    }
