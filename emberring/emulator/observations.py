"""Records of the emulated servers for the invariant checker."""

from __future__ import annotations

from collections import defaultdict

import attrs


@attrs.frozen
class Run:
    """The start of an execution. `resume_after` is the id of the event after which the stream resumed, or None."""

    request_id: str
    server_id: str
    service: str
    path: str
    at_s: float
    resume_after: int | None = None
    draining: bool = False


class Observations:
    """All executions by request id, the signatures of the servers' responses, and the crashed servers."""

    def __init__(self) -> None:
        self.runs: dict[str, list[Run]] = defaultdict(list)
        self.signatures: dict[str, str] = {}  # signature -> request id
        self.crashed: set[str] = set()  # ids of servers

    def record_run(self, run: Run) -> None:
        """Record that a server has started to execute a request."""
        self.runs[run.request_id].append(run)

    def record_signature(self, signature: str, request_id: str) -> None:
        """Record that a server signed its response to this request."""
        self.signatures[signature] = request_id
