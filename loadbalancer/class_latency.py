"""Mean latency of each service class, and the delay before a hedge. Part of the decision module."""

from __future__ import annotations

from loadbalancer.interface import ServiceClass
from loadbalancer.retry_policy import Quantile

MEAN_GAIN = 0.03  # smoothing factor of a class's mean latency, per response
HEDGE_QUANTILE = 0.95  # of a class's latency: the delay before a hedge


def relative_latency(latency_ms: float, mean_ms: float, near_ms: float) -> float:
    """Return latency over mean; `near_ms` is added to both, which damps small absolute differences."""
    # With a mean below 1 ms, any scheduling delay would make a server look a hundred times slower.
    denominator = mean_ms + near_ms
    return max(0.0, latency_ms + near_ms) / denominator if denominator > 0.0 else 1.0


class ClassLatencies:
    """Latency statistics by class name; `mean_ms` has only classes with successful responses."""

    def __init__(self, classes: tuple[ServiceClass, ...]) -> None:
        self.mean_ms: dict[str, float] = {}
        self._hedged = {kind.name: Quantile(HEDGE_QUANTILE) for kind in classes if kind.hedge}

    def note_success_latency(self, service: str, latency_ms: float) -> None:
        """Add the latency of a successful response."""
        mean = self.mean_ms.get(service)
        self.mean_ms[service] = latency_ms if mean is None else mean + MEAN_GAIN * (latency_ms - mean)
        if service in self._hedged:
            self._hedged[service].add(latency_ms)

    def hedge_after_ms(self, service: str) -> float | None:
        """Return the delay before a hedge; None: the class is not hedged, or has too few responses yet."""
        quantile = self._hedged.get(service)
        return None if quantile is None else quantile.value
