"""What a server's answer stands for, and the answers that the gateway gives itself. Pure functions."""

from __future__ import annotations

from enum import Enum

import attrs

from emberring.admission.types import CallOutcome
from emberring.errors import EmberringError, OverloadedError
from emberring.gateway.messages import Header, ResponseHead

NOT_EXECUTED_STATUSES = frozenset(
    (408, 421, 429, 503)
)  # these say to a client that nothing has run or will run
EXECUTED_FAILURE_STATUSES = frozenset((500, 502, 504))
DEFAULT_RETRY_AFTER_S = 0.2  # when to come back after a failure that says nothing of load


class ResponseClass(Enum):
    """What becomes of an answer whose head has come."""

    FORWARD = "pass_on"
    FULL = "full"
    WRONG_SERVER = "wrong_server"
    FAILED = "failed"
    INVALID = "no_answer"  # a success that can't be passed on


def classify_response(head: ResponseHead) -> ResponseClass:
    """What a server's answer stands for. Only `Not-Executed` and 421 say that the request did not run."""
    if 200 <= head.status < 300:
        whole = head.header(b"response-signature") is not None and head.header(b"content-encoding") is None
        return ResponseClass.FORWARD if whole else ResponseClass.INVALID
    if head.status == 421:
        return ResponseClass.WRONG_SERVER
    if head.status in NOT_EXECUTED_STATUSES:
        return ResponseClass.FULL if head.header(b"not-executed") is not None else ResponseClass.FAILED
    if head.status in EXECUTED_FAILURE_STATUSES:
        return ResponseClass.FAILED
    return ResponseClass.FORWARD


OUTCOME_BY_CLASS = {
    ResponseClass.FORWARD: CallOutcome.COMPLETED,
    ResponseClass.FULL: CallOutcome.FULL,
    ResponseClass.WRONG_SERVER: CallOutcome.WRONG_SERVER,
    ResponseClass.FAILED: CallOutcome.FAILED,
    ResponseClass.INVALID: CallOutcome.BROKEN,
}


@attrs.frozen
class GatewayResponse:
    """An answer of the gateway's own: never a server's stamp, a body of one line."""

    status: int
    detail: str = ""
    retry_after_s: float = 0.0
    close: bool = False

    @property
    def body(self) -> bytes:
        """One line for a person."""
        return (self.detail + "\n").encode() if self.detail else b""

    def headers(self, request_id: bytes) -> list[Header]:
        """The headers of this answer, the request's id among them."""
        found = [(b"content-type", b"text/plain"), (b"content-length", b"%d" % len(self.body))]
        if request_id:
            found.append((b"request-id", request_id))
        if self.retry_after_s > 0.0:
            found.append((b"retry-after", b"%.3f" % self.retry_after_s))
        if self.close:
            found.append((b"connection", b"close"))
        return found


def response_to_error(error: EmberringError) -> GatewayResponse:
    """The answer to a failure, by the table of error kinds; a promise says when to come back."""
    retry_after_s = 0.0
    if error.answer.promises_not_executed:
        retry_after_s = DEFAULT_RETRY_AFTER_S
        if isinstance(error, OverloadedError) and error.retry_after_s > 0.0:
            retry_after_s = error.retry_after_s
    return GatewayResponse(error.answer.status, error.detail, retry_after_s)
