"""What the emulated servers observed: the data for the invariant checker."""

from __future__ import annotations

from collections import defaultdict

import attrs


@attrs.frozen
class Run:
    """A server began to execute a request. `resume_after` is the id of the event that it resumed after, or None."""

    request_id: str
    server_id: str
    service: str
    path: str
    at_s: float
    resume_after: int | None = None
    draining: bool = False


class Observations:
    """All executions by request id, and the signatures of the servers' responses."""

    def __init__(self) -> None:
        self.runs: dict[str, list[Run]] = defaultdict(list)
        self.signatures: dict[str, str] = {}  # signature -> request id
        self.crashed: set[str] = set()  # ids of servers

    def record_run(self, run: Run) -> None:
        """Record that a server began to execute a request."""
        self.runs[run.request_id].append(run)

    def record_signature(self, signature: str, request_id: str) -> None:
        """Record that a server signed its response to this request."""
        self.signatures[signature] = request_id
