"""Calls in flight at model servers, over all gateways, as control nodes report them."""

from __future__ import annotations

import math
from collections.abc import Mapping

import attrs

USUAL_S = 3.0  # time constant of the smoothing of a server's calls: much longer than their reports take
GATEWAYS_BY_WORD = 8  # so many gateways can go by the newest report without all choosing the same server


@attrs.frozen
class KnownLoad:
    """Calls in flight by server id (`calls`) and by service (`totals`), those of the gateway that reads this included.

    `usual` is None where `calls` has every server; otherwise it has the requested servers, their calls smoothed over
    some seconds. `true_s` is the time (s, of this process's monotonic clock) at which the gateways reported this in the
    mean.
    """

    calls: Mapping[str, int] = attrs.field(factory=dict)
    usual: Mapping[str, float] | None = None
    totals: Mapping[str, int] = attrs.field(factory=dict)
    true_s: float = -math.inf


NO_LOAD = KnownLoad()
