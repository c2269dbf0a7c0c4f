"""A tenant's quota at one balancer; part of the decision module."""

from __future__ import annotations


class TokenBucket:
    """A token bucket, full at first, of one second of this balancer's share of a tenant's requests."""

    def __init__(self, share_per_s: float, now_ms: float) -> None:
        self.share_per_s = share_per_s
        self.tokens = share_per_s
        self._filled_ms = now_ms

    def take(self, now: float) -> bool:
        """Whether a request is within the quota; it then counts."""
        refill = self.share_per_s * (now - self._filled_ms) / 1000.0
        self.tokens = min(self.share_per_s, self.tokens + refill)
        self._filled_ms = now
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
