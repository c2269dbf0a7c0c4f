"""Calls in flight at model servers, over all gateways: what control nodes tell, and how often it is asked for."""

from __future__ import annotations

from collections.abc import Mapping

import attrs

WORD_EVERY_S = 0.3  # for each server, where each gateway can go by word of single servers
USUAL_S = 3.0  # over which a server's calls are smoothed: much longer than word of them takes
WORD_EVERY_MOST_S = USUAL_S  # older word is no word
GATEWAYS_BY_WORD = 8  # so many gateways can go by the newest word without all choosing the same server


@attrs.frozen
class KnownLoad:
    """Calls in flight by server id (`calls`), the same smoothed over some seconds (`usual`; empty where it was not
    asked for) and by service (`totals`). The calls of the gateway that is told are among them."""

    calls: Mapping[str, int] = attrs.field(factory=dict)
    usual: Mapping[str, float] = attrs.field(factory=dict)
    totals: Mapping[str, int] = attrs.field(factory=dict)


NO_LOAD = KnownLoad()


class WordSchedule:
    """When a gateway asks for each server's calls; the totals come with every answer.

    With few gateways every answer brings them. With many, a gateway goes by what is usual at a server, which changes
    slowly, and asks so much less often that all gateways together ask no more for each further one.
    """

    def __init__(self) -> None:
        self._asked_s = -WORD_EVERY_MOST_S

    @staticmethod
    def by_usual(gateways: int) -> bool:
        """Whether the usual calls are asked for as well."""
        return gateways > GATEWAYS_BY_WORD

    def due(self, now_s: float, gateways: int) -> bool:
        """Whether to ask now."""
        if not self.by_usual(gateways):
            return True
        every_s = min(WORD_EVERY_MOST_S, WORD_EVERY_S * gateways / GATEWAYS_BY_WORD)
        return now_s - self._asked_s >= every_s

    def answered(self, asked_s: float) -> None:
        """Word came that was asked for then."""
        self._asked_s = asked_s
