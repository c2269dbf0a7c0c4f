"""Which model servers are suspected by enough gateways of the tier to count as failing. No sockets.

One gateway may be mistaken, or partitioned itself; where two suspect a server, or the only one does, it counts as
failing, in the log and on the status page. The line of the log is a warning unless they only find it slow, as servers
are in any burst.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

import attrs

from emberring.distribution.records import ServerRecord
from emberring.logs import get_logger
from emberring.registry.faults import Fault, FaultCounts

MIN_GATEWAYS = 2  # gateways that must suspect a server; all of them where there are fewer
RECOVERED_AFTER_S = 2.0  # without enough suspicions for so long, a server counts as recovered

logger = get_logger("control")


@attrs.define
class FailingServer:
    """A server that enough gateways suspect.

    Times are seconds of the monotonic clock; `faults` has how many gateways report which fault; `warned` is whether
    it was logged as failing already, and not only as slow.
    """

    since_s: float
    last_suspected_s: float
    faults: Mapping[str, int]
    warned: bool = False


class SuspicionTable:
    """The failing servers by id, brought up to date at each check; logs where a server begins to fail or recovers.

    `servers` gives the known servers by id.
    """

    def __init__(self, servers: Callable[[], Mapping[str, ServerRecord]]) -> None:
        self._servers = servers
        self.failing: dict[str, FailingServer] = {}

    def check(self, now_s: float, suspicions: FaultCounts, gateways: int) -> None:
        """Apply the suspicions that gateways report now; `gateways` is the number of live gateways."""
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
            if not _is_more_than_slow(faults, required):
                logger.info("event=server_slow %s", self._description(server_id, faults))
        failing.last_suspected_s, failing.faults = now_s, faults
        if not failing.warned and _is_more_than_slow(faults, required):
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


def _is_more_than_slow(faults: Mapping[str, int], required: int) -> bool:
    """Whether so many gateways report a fault other than slowness."""
    return sum(count for name, count in faults.items() if name != Fault.SLOW.value) >= required
