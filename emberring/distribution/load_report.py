"""Decides which detail of the load a gateway requests from control nodes, and how often."""

from __future__ import annotations

from enum import Enum

from emberring.registry.known_load import LOAD_SMOOTHING_S, MAX_GATEWAYS_FOR_EXACT_LOAD

DETAIL_INTERVAL_S = LOAD_SMOOTHING_S  # between rare requests for the load of single servers
MAX_PAIRS_FOR_EVERY_SERVER = 12_000  # gateways times servers; up to this, every reply has all servers


class LoadReportDetail(Enum):
    """The calls in flight that a reply has in addition to the totals by service.

    In this order: none, those at every server, or those at the servers that the sender uses, also smoothed.
    """

    TOTALS = "totals"
    EVERY_SERVER = "every_server"
    SERVERS_IN_USE = "servers_in_use"


class LoadReportSchedule:
    """Decides when a gateway requests the calls at single servers; every reply has the totals.

    With few gateways, or a small product of gateways and servers, every reply has the calls at all servers. Otherwise
    a gateway uses smoothed calls, which change slowly: it requests them rarely, and only for the servers in use, so
    that the size of replies does not depend on the number of servers.
    """

    def __init__(self) -> None:
        self._requested_s = -DETAIL_INTERVAL_S

    def next(self, now_s: float, gateways: int, servers: int, reporting: bool) -> LoadReportDetail:
        """The detail to request now.

        `reporting` is whether the same pull reports this node's load. The load of the servers in use is requested only
        then, as it includes the reported calls.
        """
        if gateways <= MAX_GATEWAYS_FOR_EXACT_LOAD or gateways * servers <= MAX_PAIRS_FOR_EVERY_SERVER:
            return LoadReportDetail.EVERY_SERVER
        due = now_s - self._requested_s >= DETAIL_INTERVAL_S
        return LoadReportDetail.SERVERS_IN_USE if due and reporting else LoadReportDetail.TOTALS

    def answered(self, requested_s: float, load_detail: LoadReportDetail) -> None:
        """Record the reply to the pull sent at `requested_s`."""
        if load_detail is not LoadReportDetail.TOTALS:
            self._requested_s = requested_s
