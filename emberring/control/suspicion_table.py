"""Which model servers gateways hold to be in trouble, over the whole tier. No sockets.

One gateway may be mistaken, or cut off itself; where two say the same, or the only one does, the server is held to be
in trouble, in a line of the log and on the status page. The line is a warning unless they find it slow alone, as
servers are in any burst.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

import attrs

from emberring.distribution.records import ServerRecord
from emberring.logs import get_logger
from emberring.registry.faults import Fault, FaultCounts

MIN_GATEWAYS = 2  # gateways that must suspect a server, where there are so many
RECOVERED_AFTER_S = 2.0  # without that

logger = get_logger("control")


@attrs.define
class FailingServer:
    """A server that gateways agree on. Times are seconds of the steady clock; `warned` is whether it was called failing
    already, and not only slow."""

    since_s: float
    last_suspected_s: float
    faults: Mapping[str, int]
    warned: bool = False


class SuspicionTable:
    """Takes in what was suspicions at each look, and writes a line where a server begins to fail, or ends to."""

    def __init__(self, servers: Callable[[], Mapping[str, ServerRecord]]) -> None:
        self._servers = servers
        self.failing: dict[str, FailingServer] = {}

    def check(self, now_s: float, suspicions: FaultCounts, gateways: int) -> None:
        """What gateways hold now; `gateways` is how many there are."""
        required = min(MIN_GATEWAYS, gateways)
        for server_id, faults in suspicions.items():
            if sum(faults.values()) >= required:
                self._on_suspected(now_s, server_id, faults, required)
        for server_id, failing in list(self.failing.items()):
            if now_s - failing.last_suspected_s >= RECOVERED_AFTER_S:
                self._on_recovered(server_id, failing)

    def _on_suspected(self, now_s: float, server_id: str, faults: Mapping[str, int], required: int) -> None:
        known = self.failing.get(server_id)
        if known is None:
            known = self.failing[server_id] = FailingServer(now_s, now_s, faults)
            if not _is_more_than_slow(faults, required):
                logger.info("event=server_slow %s", self._described(server_id, faults))
        known.last_suspected_s, known.faults = now_s, faults
        if not known.warned and _is_more_than_slow(faults, required):
            known.warned = True
            logger.warning("event=server_failing %s", self._described(server_id, faults))

    def _described(self, server_id: str, faults: Mapping[str, int]) -> str:
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
    """Whether so many gateways find more than slowness."""
    return sum(count for name, count in faults.items() if name != Fault.SLOW.value) >= required
