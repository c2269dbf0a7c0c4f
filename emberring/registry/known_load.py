"""Calls in flight at model servers, summed over all gateways, as reported by control nodes."""

from __future__ import annotations

import math
from collections.abc import Mapping

import attrs

USUAL_S = 3.0  # time constant for smoothing a server's calls: much longer than the delay of the reports
GATEWAYS_BY_WORD = 8  # more gateways than this, all using the newest report, would choose the same server


@attrs.frozen
class KnownLoad:
    """Calls in flight by server id (`calls`) and by service (`totals`), including those of the gateway that reads this.

    `usual` is None if `calls` has every server; otherwise it has the requested servers' calls, smoothed over some
    seconds. `true_s` is the mean time (s, of this process's monotonic clock) at which the gateways reported the calls.
    """

    calls: Mapping[str, int] = attrs.field(factory=dict)
    usual: Mapping[str, float] | None = None
    totals: Mapping[str, int] = attrs.field(factory=dict)
    true_s: float = -math.inf


NO_LOAD = KnownLoad()
