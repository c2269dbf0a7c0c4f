"""Reports the servers that this gateway suspects: log lines of changes, metrics, reports to the control nodes."""

from __future__ import annotations

from collections import Counter

from emberring.admission import Admission
from emberring.admission.suspicion import SuspicionChange
from emberring.logs import get_logger
from emberring.registry.faults import Fault

logger = get_logger("gateway")


class SuspicionReport:
    """Reports the suspected servers of this gateway."""

    def __init__(self, admission: Admission) -> None:
        self._admission = admission
        self._suspicion_counts: Counter[Fault] = Counter()

    def check(self, now_s: float) -> None:
        """Log each server that became suspected, or was reinstated, since the last check."""
        for change in self._admission.check_servers(now_s):
            self._log_change(now_s, change)

    def _log_change(self, now_s: float, change: SuspicionChange) -> None:
        server = change.server
        if change.fault is None:
            logger.info(
                "event=server_trusted server=%s address=%s lasted_s=%.1f",
                server.record.id,
                server.record.address,
                change.duration_s,
            )
            return
        self._suspicion_counts[change.fault] += 1
        logger.info(
            "event=server_suspected server=%s address=%s zone=%s trouble=%s failed_share=%.2f slowness=%.1f calls=%d",
            server.record.id,
            server.record.address,
            server.record.zone,
            change.fault.value,
            server.failure_rate.rate(now_s),
            server.slowdown_ratio(now_s),
            len(server.calls),
        )

    def suspected(self) -> dict[str, str]:
        """Return the fault of each suspected server by id, for `Follower.suspects`."""
        return {server_id: fault.value for server_id, fault in self._admission.suspected_servers().items()}

    def metrics(self) -> dict[str, float]:
        """Return the metrics of suspected servers."""
        metrics = {"servers_suspected": float(len(self._admission.suspected_servers()))}
        for fault in Fault:
            metrics[f'server_suspicions_total{{trouble="{fault.value}"}}'] = float(
                self._suspicion_counts[fault]
            )
        return metrics
