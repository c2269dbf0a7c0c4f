"""Sends the requests of the command line tools to the control plane's HTTP interface."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping, Sequence
from typing import Any

import orjson

from emberring.emulator.operator import Operator, RequestOutcome
from emberring.errors import EmberringError, PeerUnavailableError, UnknownOutcomeError, error_from_wire

_KIND_OF_STATUS = {
    400: "bad_request",
    404: "not_found",
    409: "conflict",
    412: "version_conflict",
    413: "too_large",
    422: "bad_request",
}


def send_request(
    controls: Sequence[str],
    method: str,
    path: str,
    *,
    content: bytes = b"",
    headers: Mapping[str, str] | None = None,
    within_s: float,
) -> Any:
    """Send a request, with retries for up to `within_s` seconds, and return the JSON of the successful response.

    Raises the error that the control node reports, `PeerUnavailableError` if no control node responds to a read, and
    `UnknownOutcomeError` if a change may or may not have taken effect.
    """
    operator = Operator(controls)
    outcome = asyncio.run(operator.send_request(method, path, content, headers or {}, within_s))
    if outcome.acknowledged:
        return orjson.loads(outcome.body or b"{}")
    raise _error(outcome, controls, method)


def _error(outcome: RequestOutcome, controls: Sequence[str], method: str) -> EmberringError:
    reported = _parse_object(outcome.body)
    if outcome.status == 0:
        addresses = ", ".join(controls)
        detail = f"no clear answer from {addresses} after {outcome.attempts} tries in {outcome.took_s:.1f} s"
        last_detail = f" (last: {reported.get('Detail')})" if reported.get("Detail") else ""
        if method == "GET":
            return PeerUnavailableError(detail + last_detail)
        return UnknownOutcomeError(f"{detail}{last_detail}: the order may or may not have been taken")
    kind = reported.get("Error") or _KIND_OF_STATUS.get(outcome.status, "internal")
    return error_from_wire(str(kind), str(reported.get("Detail") or f"answered {outcome.status}"))


def _parse_object(body: bytes) -> dict[str, Any]:
    try:
        parsed = orjson.loads(body)
    except orjson.JSONDecodeError:
        return {}
    return parsed if isinstance(parsed, dict) else {}
