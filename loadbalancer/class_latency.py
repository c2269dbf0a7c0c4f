"""Mean latency of each service class, and when a hedge may go out; part of the decision module."""

from __future__ import annotations

from loadbalancer.interface import ServiceClass
from loadbalancer.retry_policy import Quantile

MEAN_GAIN = 0.03  # smoothing of a class's latency, per outcome
HEDGE_SHARE = 0.95  # of a class's answers come before a second copy of a call may go out


def relative_latency(latency_ms: float, mean_ms: float, near_ms: float) -> float:
    """Return latency over mean; `near_ms` on both sides has small differences count little."""
    # Beside a mean of a fraction of a millisecond any hitch made a server look a hundred times slower.
    denominator = mean_ms + near_ms
    return max(0.0, latency_ms + near_ms) / denominator if denominator > 0.0 else 1.0


class ClassLatencies:
    """Latency statistics by class name; `mean_ms` has the classes that were answered."""

    def __init__(self, classes: tuple[ServiceClass, ...]) -> None:
        self.mean_ms: dict[str, float] = {}
        self._hedged = {kind.name: Quantile(HEDGE_SHARE) for kind in classes if kind.hedge}

    def note_answer(self, service: str, latency_ms: float) -> None:
        """Count the latency of a good answer."""
        mean = self.mean_ms.get(service)
        self.mean_ms[service] = latency_ms if mean is None else mean + MEAN_GAIN * (latency_ms - mean)
        if service in self._hedged:
            self._hedged[service].add(latency_ms)

    def hedge_after_ms(self, service: str) -> float | None:
        """Return how long a first attempt stays alone; None: no hedge, or too few answers are known."""
        quantile = self._hedged.get(service)
        return None if quantile is None else quantile.value
