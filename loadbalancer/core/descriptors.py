"""The process's limit of file descriptors."""

from __future__ import annotations

import resource

UNLIMITED = 2**31  # where the system states no limit


def descriptors_here() -> int:
    """Return how many this process could have."""
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    return UNLIMITED if hard == resource.RLIM_INFINITY else hard
