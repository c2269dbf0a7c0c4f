"""How fast a pool's engines are, learned from first events: tokens read per millisecond, and what else a first
event takes; and how long a call holds its place."""

from __future__ import annotations

DECAY_PER_OUTCOME = 0.995  # what each outcome leaves of those before it
MIN_TOKENS_PER_MS, MAX_TOKENS_PER_MS = 5.0, 5000.0  # tokens per ms
PRIOR_OUTCOMES = 10.0  # the start's figures count as much as so many outcomes
PRIOR_TOKENS = 8000.0
HOLD_GAIN = 0.02
LATE_OUTCOME_WEIGHT = (
    0.3  # of an outcome that came later than the line says: much may have held it up that is not seen
)


class ServiceRateEstimator:
    """A line through (tokens to read, wait), the latest outcomes counting most."""

    def __init__(self, tokens_per_ms: float, hold_s: float) -> None:
        self.hold_s = hold_s
        self._prior = 1.0 / tokens_per_ms
        self._n = self._x = self._y = self._xx = self._xy = 0.0
        self.ms_per_token = self._prior
        self.base_ms = 0.0

    def record_first_event(self, tokens: float, wait_ms: float) -> None:
        """A first event came so long after its call was sent, with so many tokens before it to be read."""
        weight = LATE_OUTCOME_WEIGHT if wait_ms > self.wait_ms(tokens) else 1.0
        self._n = self._n * DECAY_PER_OUTCOME + weight
        self._x = self._x * DECAY_PER_OUTCOME + weight * tokens
        self._y = self._y * DECAY_PER_OUTCOME + weight * wait_ms
        self._xx = self._xx * DECAY_PER_OUTCOME + weight * tokens * tokens
        self._xy = self._xy * DECAY_PER_OUTCOME + weight * tokens * wait_ms
        mean_x, mean_y = self._x / self._n, self._y / self._n
        spread = self._xx - self._n * mean_x * mean_x
        covered = self._xy - self._n * mean_x * mean_y
        prior = PRIOR_OUTCOMES * PRIOR_TOKENS * PRIOR_TOKENS
        slope = (covered + prior * self._prior) / (spread + prior)
        self.ms_per_token = min(1.0 / MIN_TOKENS_PER_MS, max(1.0 / MAX_TOKENS_PER_MS, slope))
        self.base_ms = max(0.0, mean_y - self.ms_per_token * mean_x)

    def record_completion(self, seconds: float) -> None:
        """A whole answer took its place for so long."""
        self.hold_s += HOLD_GAIN * (seconds - self.hold_s)

    def wait_ms(self, tokens: float) -> float:
        """The wait for a first event with so many tokens to be read before it."""
        return self.base_ms + tokens * self.ms_per_token
