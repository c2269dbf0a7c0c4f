"""What the stand-ins saw on their sockets: the material by which a trial or a test is judged."""

from __future__ import annotations

from collections import defaultdict

import attrs


@attrs.frozen
class Run:
    """A server began work on a request. `resume_after` is the id of the event that it went on after, or None."""

    request_id: str
    server_id: str
    service: str
    path: str
    at_s: float
    resume_after: int | None = None
    draining: bool = False


class Observations:
    """All runs, by request id, and the signatures that servers gave."""

    def __init__(self) -> None:
        self.runs: dict[str, list[Run]] = defaultdict(list)
        self.signatures: dict[str, str] = {}  # signature -> request id
        self.crashed: set[str] = set()  # ids of servers

    def record_run(self, run: Run) -> None:
        """A server began work."""
        self.runs[run.request_id].append(run)

    def record_signature(self, signature: str, request_id: str) -> None:
        """A server put this signature under its answer to this request."""
        self.signatures[signature] = request_id
