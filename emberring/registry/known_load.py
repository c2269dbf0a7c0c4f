"""Calls in flight at model servers, over all gateways, as control nodes tell them."""

from __future__ import annotations

import math
from collections.abc import Mapping

import attrs

USUAL_S = 3.0  # over which a server's calls are smoothed: much longer than word of them takes
GATEWAYS_BY_WORD = 8  # so many gateways can go by the newest word without all choosing the same server


@attrs.frozen
class KnownLoad:
    """Calls in flight by server id (`calls`) and by service (`totals`); the calls of the gateway that is told are
    among them. `usual` is None where every server was told of, otherwise it has the servers that were asked for, their
    calls smoothed over some seconds. `true_s` is the moment (of this process's steady clock) at which the gateways told
    this in the mean."""

    calls: Mapping[str, int] = attrs.field(factory=dict)
    usual: Mapping[str, float] | None = None
    totals: Mapping[str, int] = attrs.field(factory=dict)
    true_s: float = -math.inf


NO_LOAD = KnownLoad()
