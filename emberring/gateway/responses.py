"""Classification of servers' responses, and the responses that the gateway generates. Pure functions."""

from __future__ import annotations

from enum import Enum

import attrs

from emberring.admission.types import CallOutcome
from emberring.errors import EmberringError, OverloadedError
from emberring.gateway.messages import Header, ResponseHead

NOT_EXECUTED_STATUSES = frozenset(
    (408, 421, 429, 503)
)  # guarantee to the client that the request was not and will not be executed
EXECUTED_FAILURE_STATUSES = frozenset((500, 502, 504))  # failures of requests that may have been executed
DEFAULT_RETRY_AFTER_S = 0.2  # after a failure without load information


class ResponseClass(Enum):
    """The class of a response by its head, which determines how the gateway handles it."""

    FORWARD = "pass_on"
    FULL = "full"
    WRONG_SERVER = "wrong_server"
    FAILED = "failed"
    INVALID = "no_answer"  # a success that cannot be forwarded


def classify_response(head: ResponseHead) -> ResponseClass:
    """Return the class of a server's response.

    Only `Not-Executed` and status 421 guarantee that the request was not executed.
    """
    if 200 <= head.status < 300:
        valid = head.header(b"response-signature") is not None and head.header(b"content-encoding") is None
        return ResponseClass.FORWARD if valid else ResponseClass.INVALID
    if head.status == 421:
        return ResponseClass.WRONG_SERVER
    if head.status in NOT_EXECUTED_STATUSES:
        return ResponseClass.FULL if head.header(b"not-executed") is not None else ResponseClass.FAILED
    if head.status in EXECUTED_FAILURE_STATUSES:
        return ResponseClass.FAILED
    return ResponseClass.FORWARD


_OUTCOME_BY_CLASS = {
    ResponseClass.FORWARD: CallOutcome.COMPLETED,
    ResponseClass.FULL: CallOutcome.FULL,
    ResponseClass.WRONG_SERVER: CallOutcome.WRONG_SERVER,
    ResponseClass.FAILED: CallOutcome.FAILED,
    ResponseClass.INVALID: CallOutcome.BROKEN,
}


def failure_outcome(response_class: ResponseClass, head: ResponseHead, server_id: str) -> CallOutcome:
    """Return the outcome of an attempt at this server for a complete response of this class that is no success."""
    if response_class is ResponseClass.WRONG_SERVER and not _is_foreign(head, server_id):
        # Guard: a client whose requests a sound server declines, and which takes that server from all others.
        return CallOutcome.DECLINED
    return _OUTCOME_BY_CLASS[response_class]


def _is_foreign(head: ResponseHead, server_id: str) -> bool:
    """Return whether a response names another server than the one that the request was sent to."""
    answered_by = head.header(b"instance-id")
    return answered_by is not None and answered_by != server_id.encode("latin-1")


@attrs.frozen
class GatewayResponse:
    """A response that the gateway generated: it has no server signature, and its body is one line of text."""

    status: int
    detail: str = ""
    retry_after_s: float = 0.0
    close: bool = False

    @property
    def body(self) -> bytes:
        """The body: one line of text for a human reader."""
        return (self.detail + "\n").encode() if self.detail else b""

    def headers(self, request_id: bytes) -> list[Header]:
        """Return the headers of this response, with `Request-Id` if the request has one."""
        headers = [(b"content-type", b"text/plain"), (b"content-length", b"%d" % len(self.body))]
        if request_id:
            headers.append((b"request-id", request_id))
        if self.retry_after_s > 0.0:
            headers.append((b"retry-after", b"%.3f" % self.retry_after_s))
        if self.close:
            headers.append((b"connection", b"close"))
        return headers


def response_to_error(error: EmberringError) -> GatewayResponse:
    """Return the response for an error, with the status of its error kind.

    A response that guarantees that nothing was executed has `Retry-After`.
    """
    retry_after_s = 0.0
    if error.response.promises_not_executed:
        retry_after_s = DEFAULT_RETRY_AFTER_S
        if isinstance(error, OverloadedError) and error.retry_after_s > 0.0:
            retry_after_s = error.retry_after_s
    return GatewayResponse(error.response.status, error.detail, retry_after_s)
