"""Quota of a tenant at one balancer. Part of the decision module."""

from __future__ import annotations


class TokenBucket:
    """Token bucket that holds one second of this balancer's share of a tenant's quota; full at the start."""

    def __init__(self, share_per_s: float, now_ms: float) -> None:
        self.share_per_s = share_per_s
        self.tokens = share_per_s
        self._filled_ms = now_ms

    def take(self, now: float) -> bool:
        """Consume a token for a request; returns False if the request is over the quota."""
        refill = self.share_per_s * (now - self._filled_ms) / 1000.0
        self.tokens = min(self.share_per_s, self.tokens + refill)
        self._filled_ms = now
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
