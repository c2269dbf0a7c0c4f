"""Sums the calls in flight over all gateways: by server, smoothed, and by service. Does no network I/O.

Every gateway requests the sums several times a second, and each sum covers all servers. Sums are therefore cached for
a short time, which grows with the number of servers.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable, Iterable, Mapping

from emberring.distribution.contacts import sum_by_server
from emberring.distribution.records import ServerRecord
from emberring.registry.known_load import LOAD_SMOOTHING_S

CACHE_S = 0.02  # minimum lifetime of cached sums
# Lifetime of cached sums per server with calls: bounds the CPU time of summing to a few percent of a core.
CACHE_PER_SERVER_S = 25e-6
NEGLIGIBLE_CALLS = 0.05  # smoothed calls below this are dropped

LoadSource = Callable[[float], Iterable[Mapping[str, int]]]
"""Returns, for a time, the reported calls in flight by server id: one mapping for each source."""
LoadAgeSource = Callable[[float], float]
"""Returns, for a time, the age (s) of these reports, in the mean weighted by calls."""


class LoadAggregator:
    """Sums the mappings that `load_source` returns.

    `load_age_source` returns their age, and `servers` the known servers by id.
    """

    def __init__(
        self,
        load_source: LoadSource,
        load_age_source: LoadAgeSource,
        servers: Callable[[], Mapping[str, ServerRecord]],
    ) -> None:
        self._load_source = load_source
        self._load_age_source = load_age_source
        self._servers = servers
        self._summed_s = -math.inf
        self._report_age_s = 0.0  # age of the reports when they were summed
        self._smoothed_s = -math.inf
        self._calls: dict[str, int] = {}
        self._smoothed: dict[str, float] = {}
        self._totals: dict[str, int] = {}

    def calls(self, now_s: float) -> dict[str, int]:
        """Calls in flight by server id; servers without calls are omitted."""
        self._refresh(now_s)
        return self._calls

    def smoothed(self, now_s: float, server_ids: Iterable[str]) -> dict[str, float]:
        """Smoothed calls in flight at these servers, rounded to tenths."""
        self._smooth(now_s)
        return {server_id: round(self._smoothed.get(server_id, 0.0), 1) for server_id in server_ids}

    def totals(self, now_s: float) -> dict[str, int]:
        """Calls in flight by service."""
        self._refresh(now_s)
        return self._totals

    def age_s(self, now_s: float) -> float:
        """The age (s) of the reports in the sums, in the mean weighted by calls."""
        self._refresh(now_s)
        return self._report_age_s + now_s - self._summed_s

    def _refresh(self, now_s: float) -> None:
        age_s = now_s - self._summed_s
        if age_s < max(CACHE_S, CACHE_PER_SERVER_S * len(self._calls)):
            return
        self._summed_s = now_s
        self._report_age_s = self._load_age_source(now_s)
        calls = sum_by_server(self._load_source(now_s))
        self._calls = {server_id: count for server_id, count in calls.items() if count}
        self._totals = self._by_service()

    def _smooth(self, now_s: float) -> None:
        """Update the smoothed calls. Done on request only, as small tiers never request them."""
        self._refresh(now_s)
        if self._smoothed_s == self._summed_s:
            return
        decay = math.exp((self._smoothed_s - self._summed_s) / LOAD_SMOOTHING_S)
        self._smoothed_s = self._summed_s
        smoothed = {server_id: decay * calls for server_id, calls in self._smoothed.items()}
        for server_id, count in self._calls.items():
            smoothed[server_id] = smoothed.get(server_id, 0.0) + (1.0 - decay) * count
        self._smoothed = {
            server_id: calls for server_id, calls in smoothed.items() if calls >= NEGLIGIBLE_CALLS
        }

    def _by_service(self) -> dict[str, int]:
        servers = self._servers()
        totals: Counter[str] = Counter()
        for server_id, count in self._calls.items():
            record = servers.get(server_id)
            if record is not None:
                totals[record.service] += count
        return dict(totals)
