"""Admission control and server selection: whether a call is admitted, and to which server. No I/O and no clock."""

from emberring.admission.admission import Admission
from emberring.admission.attempts import AttemptBudget
from emberring.admission.types import (
    AdmissionSettings,
    Admitted,
    CallInfo,
    CallOutcome,
    Decision,
    NoServer,
    PrefixPart,
    Refused,
)

__all__ = [
    "Admission",
    "AdmissionSettings",
    "Admitted",
    "AttemptBudget",
    "CallInfo",
    "CallOutcome",
    "Decision",
    "NoServer",
    "PrefixPart",
    "Refused",
]
