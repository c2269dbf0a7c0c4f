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
from emberring.registry.faults import Fault, Suspects

WITNESSES = 2  # gateways that must suspect a server, where there are so many
WELL_AFTER_S = 2.0  # without that

logger = get_logger("control")


@attrs.define
class FailingServer:
    """A server that gateways agree on. Times are seconds of the steady clock; `warned` is whether it was called failing
    already, and not only slow."""

    since_s: float
    last_s: float
    troubles: Mapping[str, int]
    warned: bool = False


class SuspicionTable:
    """Takes in what was told at each look, and writes a line where a server begins to fail, or ends to."""

    def __init__(self, servers: Callable[[], Mapping[str, ServerRecord]]) -> None:
        self._servers = servers
        self.failing: dict[str, FailingServer] = {}

    def look(self, now_s: float, told: Suspects, gateways: int) -> None:
        """What gateways hold now; `gateways` is how many there are."""
        wanted = min(WITNESSES, gateways)
        for server_id, troubles in told.items():
            if sum(troubles.values()) >= wanted:
                self._suffers(now_s, server_id, troubles, wanted)
        for server_id, failing in list(self.failing.items()):
            if now_s - failing.last_s >= WELL_AFTER_S:
                self._ends(server_id, failing)

    def _suffers(self, now_s: float, server_id: str, troubles: Mapping[str, int], wanted: int) -> None:
        known = self.failing.get(server_id)
        if known is None:
            known = self.failing[server_id] = FailingServer(now_s, now_s, troubles)
            if not _grave(troubles, wanted):
                logger.info("event=server_slow %s", self._described(server_id, troubles))
        known.last_s, known.troubles = now_s, troubles
        if not known.warned and _grave(troubles, wanted):
            known.warned = True
            logger.warning("event=server_failing %s", self._described(server_id, troubles))

    def _described(self, server_id: str, troubles: Mapping[str, int]) -> str:
        record = self._servers().get(server_id)
        service, address, zone = (record.service, record.address, record.zone) if record else ("", "", "")
        counts = ",".join(f"{name}:{count}" for name, count in sorted(troubles.items()))
        return f"server={server_id} service={service} address={address} zone={zone} troubles={counts}"

    def _ends(self, server_id: str, failing: FailingServer) -> None:
        del self.failing[server_id]
        logger.info(
            "event=server_recovered server=%s lasted_s=%.1f", server_id, failing.last_s - failing.since_s
        )


def _grave(troubles: Mapping[str, int], wanted: int) -> bool:
    """Whether so many gateways find more than slowness."""
    return sum(count for name, count in troubles.items() if name != Fault.SLOW.value) >= wanted
