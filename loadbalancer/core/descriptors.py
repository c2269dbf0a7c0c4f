"""The process's limit of file descriptors."""

from __future__ import annotations

import resource

UNLIMITED = 2**31  # returned where the system sets no limit


def descriptors_here() -> int:
    """Return the hard limit of this process."""
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    return UNLIMITED if hard == resource.RLIM_INFINITY else hard
