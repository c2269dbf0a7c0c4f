"""The interfaces that the gateway needs of other packages, as they are used here."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol

from emberring.admission.types import CallInfo, CallOutcome, Decision
from emberring.configuration.model import Configuration
from emberring.distribution.records import ServerRecord


class Directory(Protocol):
    """The latest configuration and the model servers, as known from the control nodes."""

    @property
    def configuration(self) -> Configuration | None:
        """The configuration in force; None until one chosen by a quorum is known."""

    @property
    def servers(self) -> Mapping[str, ServerRecord]:
        """The servers by the id of their incarnation, draining ones included."""

    @property
    def gateway_count(self) -> int:
        """Live gateways, this one included."""


class AdmissionPort(Protocol):
    """Admission control, as every attempt uses it."""

    def offer(self, now_s: float, call: CallInfo) -> Decision:
        """Decide whether a call is taken, and by which server."""

    def started(self, now_s: float, call_id: str, server_id: str) -> None:
        """Record that the request has been sent."""

    def first_event(self, now_s: float, call_id: str) -> None:
        """Record the first event, or the head of a response that is not a stream."""

    def progress(self, now_s: float, call_id: str) -> None:
        """Record later events."""

    def finished(self, now_s: float, call_id: str, outcome: CallOutcome) -> None:
        """Record how the attempt ended."""

    def batch_room(self, now_s: float) -> int:
        """Return how many more batch items would be admitted now."""
