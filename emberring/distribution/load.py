"""Calls in flight at model servers, over all gateways: what control nodes tell, and how often it is asked for."""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum

import attrs

WORD_EVERY_S = 0.3  # for each server, where each gateway can go by word of single servers
USUAL_S = 3.0  # over which a server's calls are smoothed: much longer than word of them takes
WORD_EVERY_MOST_S = USUAL_S  # older word is no word
GATEWAYS_BY_WORD = 8  # so many gateways can go by the newest word without all choosing the same server


class Word(Enum):
    """What an answer is to tell of calls in flight besides the totals: nothing, those at every server, or those at
    the servers that the asker uses, smoothed as well."""

    TOTALS = "totals"
    EVERY_SERVER = "every_server"
    SERVERS_IN_USE = "servers_in_use"


@attrs.frozen
class KnownLoad:
    """Calls in flight by server id (`calls`) and by service (`totals`); the calls of the gateway that is told are
    among them. `usual` is None where every server was told of, otherwise it has the servers that were asked for, their
    calls smoothed over some seconds."""

    calls: Mapping[str, int] = attrs.field(factory=dict)
    usual: Mapping[str, float] | None = None
    totals: Mapping[str, int] = attrs.field(factory=dict)


NO_LOAD = KnownLoad()


class WordSchedule:
    """When a gateway asks for each server's calls; the totals come with every answer.

    With few gateways every answer brings them. With many, a gateway goes by what is usual at a server, which changes
    slowly, asks so much less often that all gateways together ask no more for each further one, and asks after the
    servers in use alone: there it is told as much whatever the number of servers.
    """

    def __init__(self) -> None:
        self._asked_s = -WORD_EVERY_MOST_S

    def next(self, now_s: float, gateways: int, reporting: bool) -> Word:
        """What to ask for now. What is told of the servers in use holds this node's calls as they were `reporting`."""
        if gateways <= GATEWAYS_BY_WORD:
            return Word.EVERY_SERVER
        every_s = min(WORD_EVERY_MOST_S, WORD_EVERY_S * gateways / GATEWAYS_BY_WORD)
        due = now_s - self._asked_s >= every_s
        return Word.SERVERS_IN_USE if due and reporting else Word.TOTALS

    def answered(self, asked_s: float, word: Word) -> None:
        """This came that was asked for then."""
        if word is not Word.TOTALS:
            self._asked_s = asked_s
