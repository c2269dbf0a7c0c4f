"""The service rate of a pool, learned from its answers.

Estimated are the prefill speed (tokens per millisecond), the fixed part of the wait for a first event, and how long a
call holds its slot.
"""

from __future__ import annotations

DECAY_PER_OUTCOME = 0.995  # weight that each outcome leaves to those before it
MIN_TOKENS_PER_MS, MAX_TOKENS_PER_MS = 5.0, 5000.0  # limits of the estimated prefill speed
PRIOR_OUTCOMES = 10.0  # outcomes that the assumed speed counts as
PRIOR_TOKENS = 8000.0  # prompt length of these
HOLD_GAIN = 0.02  # smoothing of the time for which a call holds its slot
LATE_OUTCOME_WEIGHT = 0.3  # of an outcome later than estimated: it may have been delayed by unobserved causes


class ServiceRateEstimator:
    """A linear regression of the wait for a first event on the tokens to compute, recent outcomes weighing most.

    Args:
        tokens_per_ms: assumed prefill speed before any outcome.
        hold_s: assumed time for which a call holds its slot before any outcome.
    """

    def __init__(self, tokens_per_ms: float, hold_s: float) -> None:
        self.hold_s = hold_s
        self._prior = 1.0 / tokens_per_ms
        self._n = self._x = self._y = self._xx = self._xy = 0.0
        self.ms_per_token = self._prior
        self.base_ms = 0.0

    def record_first_event(self, tokens: float, wait_ms: float) -> None:
        """Record the wait for a first event with this many tokens to be computed before it."""
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
        """Record how long a completed call held its slot."""
        self.hold_s += HOLD_GAIN * (seconds - self.hold_s)

    def wait_ms(self, tokens: float) -> float:
        """Return the expected wait for a first event with this many tokens to be computed before it."""
        return self.base_ms + tokens * self.ms_per_token
