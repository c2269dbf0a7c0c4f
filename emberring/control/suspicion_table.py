"""Aggregates the gateways' suspicions of model servers. Does no network I/O.

A single gateway may be mistaken, or partitioned itself. A server counts as failing, in the log and on the status page,
if at least two gateways suspect it, or the only one does. The failure is logged as a warning, except where the server
is only slow, which is usual in a burst of requests.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

import attrs

from emberring.distribution.records import ServerRecord
from emberring.logs import get_logger
from emberring.registry.faults import Fault, FaultCounts

MIN_GATEWAYS = 2  # that must suspect a server; if there are fewer, all of them
RECOVERED_AFTER_S = 2.0  # a server without enough suspicions for this long has recovered

logger = get_logger("control")


@attrs.define
class FailingServer:
    """A server that enough gateways suspect.

    Times are seconds of the monotonic clock; `faults` is the number of gateways that report each fault; `warned` is
    whether the warning has been logged, and not only that the server is slow.
    """

    since_s: float
    last_suspected_s: float
    faults: Mapping[str, int]
    warned: bool = False


class SuspicionTable:
    """The failing servers by id, updated at each check; logs when a server begins to fail and when it recovers.

    `servers` returns the known servers by id.
    """

    def __init__(self, servers: Callable[[], Mapping[str, ServerRecord]]) -> None:
        self._servers = servers
        self.failing: dict[str, FailingServer] = {}

    def check(self, now_s: float, suspicions: FaultCounts, gateways: int) -> None:
        """Apply the suspicions that the gateways report now; `gateways` is the number of live gateways."""
        required = min(MIN_GATEWAYS, gateways)
        for server_id, faults in suspicions.items():
            if sum(faults.values()) >= required:
                self._on_suspected(now_s, server_id, faults, required)
        for server_id, failing in list(self.failing.items()):
            if now_s - failing.last_suspected_s >= RECOVERED_AFTER_S:
                self._on_recovered(server_id, failing)

    def _on_suspected(self, now_s: float, server_id: str, faults: Mapping[str, int], required: int) -> None:
        failing = self.failing.get(server_id)
        if failing is None:
            failing = self.failing[server_id] = FailingServer(now_s, now_s, faults)
            if not _has_fault_besides_slowness(faults, required):
                logger.info("event=server_slow %s", self._description(server_id, faults))
        failing.last_suspected_s, failing.faults = now_s, faults
        if not failing.warned and _has_fault_besides_slowness(faults, required):
            failing.warned = True
            logger.warning("event=server_failing %s", self._description(server_id, faults))

    def _description(self, server_id: str, faults: Mapping[str, int]) -> str:
        record = self._servers().get(server_id)
        service, address, zone = (record.service, record.address, record.zone) if record else ("", "", "")
        counts = ",".join(f"{name}:{count}" for name, count in sorted(faults.items()))
        return f"server={server_id} service={service} address={address} zone={zone} troubles={counts}"

    def _on_recovered(self, server_id: str, failing: FailingServer) -> None:
        del self.failing[server_id]
        logger.info(
            "event=server_recovered server=%s lasted_s=%.1f",
            server_id,
            failing.last_suspected_s - failing.since_s,
        )


def _has_fault_besides_slowness(faults: Mapping[str, int], required: int) -> bool:
    """Whether at least `required` gateways report a fault other than slowness."""
    return sum(count for name, count in faults.items() if name != Fault.SLOW.value) >= required
