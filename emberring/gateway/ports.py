"""The interfaces of other packages that the gateway depends on."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol

from emberring.admission.types import CallInfo, CallOutcome, Decision
from emberring.configuration.model import Configuration
from emberring.distribution.records import ServerRecord


class Directory(Protocol):
    """The latest configuration and model servers that the control nodes have reported."""

    @property
    def configuration(self) -> Configuration | None:
        """The current configuration; None until one that a quorum has chosen is known."""

    @property
    def servers(self) -> Mapping[str, ServerRecord]:
        """The servers by incarnation id, draining ones included."""

    @property
    def gateway_count(self) -> int:
        """The number of live gateways, this one included."""


class AdmissionPort(Protocol):
    """Admission control as used by attempts."""

    def offer(self, now_s: float, call: CallInfo) -> Decision:
        """Decide whether a call is admitted, and to which server."""

    def started(self, now_s: float, call_id: str, server_id: str) -> None:
        """Record that the request of a call has been sent."""

    def first_event(self, now_s: float, call_id: str) -> None:
        """Record the first event of a streamed response, or the head of any other response."""

    def progress(self, now_s: float, call_id: str) -> None:
        """Record later events of a streamed response."""

    def finished(self, now_s: float, call_id: str, outcome: CallOutcome) -> None:
        """Record how an attempt ended."""

    def batch_capacity(self, now_s: float) -> dict[str, int]:
        """Return how many more batch items would be admitted now, by service."""
