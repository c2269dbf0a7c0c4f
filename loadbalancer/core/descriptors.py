"""How many descriptors there are to be had."""

from __future__ import annotations

import resource

ENDLESS = 2**31  # where the system states no limit


def descriptors_here() -> int:
    """How many this process could have."""
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    return ENDLESS if hard == resource.RLIM_INFINITY else hard
