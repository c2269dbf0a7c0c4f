"""Which detail of the load a gateway requests from control nodes, and how often."""

from __future__ import annotations

from enum import Enum

from emberring.registry.known_load import GATEWAYS_BY_WORD, USUAL_S

DETAIL_INTERVAL_S = USUAL_S  # between requests for single servers, where these are rare
MAX_PAIRS_FOR_EVERY_SERVER = 12_000  # gateways times servers up to which each reply may have every server


class LoadReportDetail(Enum):
    """What a reply has of calls in flight besides the totals.

    Nothing, those at every server, or those at the servers that the sender uses, smoothed as well.
    """

    TOTALS = "totals"
    EVERY_SERVER = "every_server"
    SERVERS_IN_USE = "servers_in_use"


class LoadReportSchedule:
    """When a gateway requests the calls at single servers; the totals come with every reply.

    Where gateways are few, or gateways times servers are, every reply has them. Elsewhere a gateway goes by the
    smoothed calls at a server, which change slowly: it requests them rarely, and of the servers in use alone, so that
    replies do not grow with the number of servers.
    """

    def __init__(self) -> None:
        self._requested_s = -DETAIL_INTERVAL_S

    def next(self, now_s: float, gateways: int, servers: int, reporting: bool) -> LoadReportDetail:
        """The detail to request now.

        `reporting` is whether the same pull reports this node's load: what comes of the servers in use includes its
        calls as reported.
        """
        if gateways <= GATEWAYS_BY_WORD or gateways * servers <= MAX_PAIRS_FOR_EVERY_SERVER:
            return LoadReportDetail.EVERY_SERVER
        due = now_s - self._requested_s >= DETAIL_INTERVAL_S
        return LoadReportDetail.SERVERS_IN_USE if due and reporting else LoadReportDetail.TOTALS

    def answered(self, requested_s: float, load_detail: LoadReportDetail) -> None:
        """A reply came to the pull sent at `requested_s`."""
        if load_detail is not LoadReportDetail.TOTALS:
            self._requested_s = requested_s
