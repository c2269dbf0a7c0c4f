"""Calls in flight at model servers, summed over all gateways, as reported by control nodes."""

from __future__ import annotations

import math
from collections.abc import Mapping

import attrs

# Time constant for smoothing a server's calls: much longer than the delay of the reports.
LOAD_SMOOTHING_S = 3.0
# More gateways than this, all using the newest report, would choose the same server.
MAX_GATEWAYS_FOR_EXACT_LOAD = 8


@attrs.frozen
class KnownLoad:
    """Calls in flight by server id (`calls`) and by service (`totals`), including those of the gateway that reads this.

    `smoothed` is None if `calls` has every server; otherwise it has the requested servers' calls, smoothed over some
    seconds. `reported_s` is the mean time (s, of this process's monotonic clock) at which the gateways reported the
    calls.
    """

    calls: Mapping[str, int] = attrs.field(factory=dict)
    smoothed: Mapping[str, float] | None = None
    totals: Mapping[str, int] = attrs.field(factory=dict)
    reported_s: float = -math.inf


NO_LOAD = KnownLoad()
