"""What the gateway needs of other parts, as they are used here."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol

from emberring.admission.types import CallInfo, CallOutcome, Decision
from emberring.configuration.model import Configuration
from emberring.distribution.records import ServerRecord


class Directory(Protocol):
    """The newest configuration and the model servers, as the follower of the control nodes knows them."""

    @property
    def configuration(self) -> Configuration | None:
        """The configuration in force; None until one chosen by a quorum is known."""

    @property
    def servers(self) -> Mapping[str, ServerRecord]:
        """The servers by the id of their incarnation, draining ones among them."""

    @property
    def gateway_count(self) -> int:
        """Live gateways, this one included."""


class AdmissionPort(Protocol):
    """The decisions that are asked for at every send."""

    def offer(self, now_s: float, call: CallInfo) -> Decision:
        """Whether a call is taken, and by which server."""

    def started(self, now_s: float, call_id: str, server_id: str) -> None:
        """Its bytes have been sent."""

    def first_event(self, now_s: float, call_id: str) -> None:
        """The first event, or the head of an answer that is no stream, has come."""

    def progress(self, now_s: float, call_id: str) -> None:
        """Later events have come."""

    def finished(self, now_s: float, call_id: str, outcome: CallOutcome) -> None:
        """The attempt is over."""

    def batch_room(self, now_s: float) -> int:
        """How many more items of lots would be taken now."""
