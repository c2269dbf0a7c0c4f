"""What this gateway says of servers in trouble: a line of the log at each change, figures, word to control."""

from __future__ import annotations

from collections import Counter

from emberring.admission import Admission
from emberring.admission.suspicion import SuspicionChange
from emberring.logs import get_logger
from emberring.registry.faults import Fault

logger = get_logger("gateway")


class SuspicionReport:
    """Looks at admission's servers when told to."""

    def __init__(self, admission: Admission) -> None:
        self._admission = admission
        self._begun: Counter[Fault] = Counter()

    def look(self, now_s: float) -> None:
        """Write a line for each server that came into trouble, or is well again."""
        for change in self._admission.look_at_servers(now_s):
            self._tell(now_s, change)

    def _tell(self, now_s: float, change: SuspicionChange) -> None:
        server = change.server
        if change.trouble is None:
            logger.info(
                "event=server_trusted server=%s address=%s lasted_s=%.1f",
                server.fact.id,
                server.fact.address,
                change.lasted_s,
            )
            return
        self._begun[change.trouble] += 1
        logger.info(
            "event=server_suspected server=%s address=%s zone=%s trouble=%s failed_share=%.2f slowness=%.1f calls=%d",
            server.fact.id,
            server.fact.address,
            server.fact.zone,
            change.trouble.value,
            server.failed.share(now_s),
            server.slowness(now_s),
            len(server.calls),
        )

    def told(self) -> dict[str, str]:
        """The servers suspected now and of what, for `Follower.suspects`."""
        return {server_id: trouble.value for server_id, trouble in self._admission.suspects().items()}

    def figures(self) -> dict[str, float]:
        """For the page of figures."""
        figures = {"servers_suspected": float(len(self._admission.suspects()))}
        for trouble in Fault:
            figures[f'server_suspicions_total{{trouble="{trouble.value}"}}'] = float(self._begun[trouble])
        return figures
