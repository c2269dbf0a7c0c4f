"""What a gateway asks control nodes to tell of calls in flight, and how often."""

from __future__ import annotations

from enum import Enum

from emberring.registry.known_load import GATEWAYS_BY_WORD, USUAL_S

DETAIL_INTERVAL_S = USUAL_S  # for each server, where it is seldom; older load_detail is no word
MAX_PAIRS_FOR_EVERY_SERVER = (
    12_000  # gateways times servers up to which control can tell of all servers at each answer
)


class LoadReportDetail(Enum):
    """What an answer is to tell of calls in flight besides the totals: nothing, those at every server, or those at
    the servers that the asker uses, smoothed as well."""

    TOTALS = "totals"
    EVERY_SERVER = "every_server"
    SERVERS_IN_USE = "servers_in_use"


class LoadReportSchedule:
    """When a gateway asks for each server's calls; the totals come with every answer.

    Where gateways are few, or gateways times servers are, every answer brings them. Elsewhere a gateway goes by what is
    usual at a server, which changes slowly: it asks seldom, and after the servers in use alone, so that it is told as
    much whatever the number of servers.
    """

    def __init__(self) -> None:
        self._asked_s = -DETAIL_INTERVAL_S

    def next(self, now_s: float, gateways: int, servers: int, reporting: bool) -> LoadReportDetail:
        """What to ask for now. What is told of the servers in use holds this node's calls as they were `reporting`."""
        if gateways <= GATEWAYS_BY_WORD or gateways * servers <= MAX_PAIRS_FOR_EVERY_SERVER:
            return LoadReportDetail.EVERY_SERVER
        due = now_s - self._asked_s >= DETAIL_INTERVAL_S
        return LoadReportDetail.SERVERS_IN_USE if due and reporting else LoadReportDetail.TOTALS

    def answered(self, asked_s: float, load_detail: LoadReportDetail) -> None:
        """This came that was asked for then."""
        if load_detail is not LoadReportDetail.TOTALS:
            self._asked_s = asked_s
