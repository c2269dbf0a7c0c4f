"""What a server's answer stands for, and the answers that the gateway gives itself. Pure functions."""

from __future__ import annotations

from enum import Enum

import attrs

from emberring.admission.types import CallOutcome
from emberring.errors import EmberringError, OverloadedError
from emberring.gateway.messages import AnswerHead, Header

PROMISES = frozenset((408, 421, 429, 503))  # these say to a client that nothing has run or will run
FAILED_RUNS = frozenset((500, 502, 504))
RETRY_SOON_S = 0.2  # when to come back after a failure that says nothing of load


class Verdict(Enum):
    """What becomes of an answer whose head has come."""

    PASS_ON = "pass_on"
    FULL = "full"
    WRONG_SERVER = "wrong_server"
    FAILED = "failed"
    NO_ANSWER = "no_answer"  # a success that can't be passed on


def judge(head: AnswerHead) -> Verdict:
    """What a server's answer stands for. Only `Not-Executed` and 421 say that the request did not run."""
    if 200 <= head.status < 300:
        whole = head.header(b"response-signature") is not None and head.header(b"content-encoding") is None
        return Verdict.PASS_ON if whole else Verdict.NO_ANSWER
    if head.status == 421:
        return Verdict.WRONG_SERVER
    if head.status in PROMISES:
        return Verdict.FULL if head.header(b"not-executed") is not None else Verdict.FAILED
    if head.status in FAILED_RUNS:
        return Verdict.FAILED
    return Verdict.PASS_ON


OUTCOME_OF = {
    Verdict.PASS_ON: CallOutcome.COMPLETED,
    Verdict.FULL: CallOutcome.FULL,
    Verdict.WRONG_SERVER: CallOutcome.WRONG_SERVER,
    Verdict.FAILED: CallOutcome.FAILED,
    Verdict.NO_ANSWER: CallOutcome.BROKEN,
}


@attrs.frozen
class OwnAnswer:
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


def answer_to(error: EmberringError) -> OwnAnswer:
    """The answer to a failure, by the table of error kinds; a promise says when to come back."""
    retry_after_s = 0.0
    if error.response.promises_not_executed:
        retry_after_s = RETRY_SOON_S
        if isinstance(error, OverloadedError) and error.retry_after_s > 0.0:
            retry_after_s = error.retry_after_s
    return OwnAnswer(error.response.status, error.detail, retry_after_s)
