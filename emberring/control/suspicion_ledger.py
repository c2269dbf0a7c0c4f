"""Which model servers gateways hold to be in trouble, over the whole tier. No sockets.

One gateway may be mistaken, or cut off itself; where two say the same, or the only one does, the server is called
failing, in a line of the log and on the status page.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable, Mapping

import attrs

from emberring.distribution.facts import ServerFact
from emberring.logs import get_logger

WITNESSES = 2  # gateways that must suspect a server, where there are so many
WELL_AFTER_S = 2.0  # without that

Suspects = Mapping[str, Mapping[str, int]]
"""By server id: how many gateways hold it to have which trouble."""

logger = get_logger("control")


def summed_suspects(parts: Iterable[Suspects]) -> dict[str, dict[str, int]]:
    """The sum by server and trouble."""
    total: dict[str, Counter[str]] = {}
    for part in parts:
        for server_id, troubles in part.items():
            total.setdefault(server_id, Counter()).update(troubles)
    return {server_id: dict(troubles) for server_id, troubles in total.items()}


@attrs.define
class Failing:
    """A server that gateways agree on. Times are seconds of the steady clock."""

    since_s: float
    last_s: float
    troubles: Mapping[str, int]


class SuspicionLedger:
    """Takes in what was told at each look, and writes a line where a server begins to fail, or ends to."""

    def __init__(self, servers: Callable[[], Mapping[str, ServerFact]]) -> None:
        self._servers = servers
        self.failing: dict[str, Failing] = {}

    def look(self, now_s: float, told: Suspects, gateways: int) -> None:
        """What gateways hold now; `gateways` is how many there are."""
        for server_id, troubles in told.items():
            if sum(troubles.values()) >= min(WITNESSES, gateways):
                self._fails(now_s, server_id, troubles, gateways)
        for server_id, failing in list(self.failing.items()):
            if now_s - failing.last_s >= WELL_AFTER_S:
                self._ends(server_id, failing)

    def _fails(self, now_s: float, server_id: str, troubles: Mapping[str, int], gateways: int) -> None:
        known = self.failing.get(server_id)
        if known is not None:
            known.last_s, known.troubles = now_s, troubles
            return
        self.failing[server_id] = Failing(now_s, now_s, troubles)
        fact = self._servers().get(server_id)
        logger.warning(
            "event=server_failing server=%s service=%s address=%s zone=%s troubles=%s gateways=%d",
            server_id,
            fact.service if fact else "",
            fact.address if fact else "",
            fact.zone if fact else "",
            ",".join(f"{name}:{count}" for name, count in sorted(troubles.items())),
            gateways,
        )

    def _ends(self, server_id: str, failing: Failing) -> None:
        del self.failing[server_id]
        logger.info(
            "event=server_recovered server=%s lasted_s=%.1f", server_id, failing.last_s - failing.since_s
        )
