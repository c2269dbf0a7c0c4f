"""The service rate of a pool, estimated from its responses.

The estimates are the prefill speed (tokens per millisecond), the fixed part of the wait for a first event, and the time
for which a call occupies its slot.
"""

from __future__ import annotations

DECAY_PER_OUTCOME = 0.995  # factor on the weight of earlier outcomes at each new one
MIN_TOKENS_PER_MS, MAX_TOKENS_PER_MS = 5.0, 5000.0  # limits of the estimated prefill speed
PRIOR_OUTCOMES = 10.0  # weight of the assumed speed, in outcomes
PRIOR_TOKENS = 8000.0  # prompt length of these outcomes
SLOT_TIME_GAIN = 0.02  # smoothing factor of the time for which a call occupies its slot
LATE_OUTCOME_WEIGHT = 0.3  # of a wait longer than estimated, which may have unobserved causes


class ServiceRateEstimator:
    """A linear regression of the wait for a first event on the tokens to compute, with exponentially decaying weights.

    Args:
        tokens_per_ms: assumed prefill speed before any outcome.
        slot_time_s: assumed time for which a call occupies its slot before any outcome.
    """

    def __init__(self, tokens_per_ms: float, slot_time_s: float) -> None:
        self.slot_time_s = slot_time_s
        self._prior_ms_per_token = 1.0 / tokens_per_ms
        self._weight = self._weighted_x = self._weighted_y = self._weighted_xx = self._weighted_xy = 0.0
        self.ms_per_token = self._prior_ms_per_token
        self.base_ms = 0.0

    def record_first_event(self, tokens: float, wait_ms: float) -> None:
        """Record the wait for a first event, and the tokens that the server computed before it."""
        weight = LATE_OUTCOME_WEIGHT if wait_ms > self.wait_ms(tokens) else 1.0
        self._weight = self._weight * DECAY_PER_OUTCOME + weight
        self._weighted_x = self._weighted_x * DECAY_PER_OUTCOME + weight * tokens
        self._weighted_y = self._weighted_y * DECAY_PER_OUTCOME + weight * wait_ms
        self._weighted_xx = self._weighted_xx * DECAY_PER_OUTCOME + weight * tokens * tokens
        self._weighted_xy = self._weighted_xy * DECAY_PER_OUTCOME + weight * tokens * wait_ms
        mean_x, mean_y = self._weighted_x / self._weight, self._weighted_y / self._weight
        centered_xx = self._weighted_xx - self._weight * mean_x * mean_x
        centered_xy = self._weighted_xy - self._weight * mean_x * mean_y
        prior_weight = PRIOR_OUTCOMES * PRIOR_TOKENS * PRIOR_TOKENS
        slope = (centered_xy + prior_weight * self._prior_ms_per_token) / (centered_xx + prior_weight)
        self.ms_per_token = min(1.0 / MIN_TOKENS_PER_MS, max(1.0 / MAX_TOKENS_PER_MS, slope))
        self.base_ms = max(0.0, mean_y - self.ms_per_token * mean_x)

    def record_completion(self, seconds: float) -> None:
        """Record how long a completed call occupied its slot."""
        self.slot_time_s += SLOT_TIME_GAIN * (seconds - self.slot_time_s)

    def wait_ms(self, tokens: float) -> float:
        """Return the expected wait for a first event if this many tokens have to be computed before it."""
        return self.base_ms + tokens * self.ms_per_token
