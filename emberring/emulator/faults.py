"""The faults that can be injected into an emulated model server while it runs."""

from __future__ import annotations

import attrs


@attrs.define
class Faults:
    """The injected faults. A count is the number of next responses that have the fault."""

    unresponsive: bool = False  # reads nothing, sends nothing, no heartbeats either
    hanging: bool = False  # accepts requests and responds to none; heartbeats go on
    overloaded: bool = False  # rejects all requests, as a full server does
    step_factor: float = 1.0  # multiplies the duration of each step of the engine
    corrupt_responses: int = 0  # bytes that are no HTTP response, then the connection ends
    surplus_responses: int = 0  # a surplus response, with another request's id, after a complete one
    truncated_responses: int = 0  # the stream ends inside an event
    failed_responses: int = 0  # 500, after the request ran

    def take(self, name: str) -> bool:
        """Whether the next response has the fault that this count names; counts it down."""
        left: int = getattr(self, name)
        if left <= 0:
            return False
        setattr(self, name, left - 1)
        return True
