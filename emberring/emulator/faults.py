"""The faults that can be injected into an emulated model server while it runs."""

from __future__ import annotations

import attrs


@attrs.define
class Faults:
    """The injected faults. A count is the number of coming responses that will have the fault."""

    unresponsive: bool = False  # reads nothing and sends nothing, including heartbeats
    hanging: bool = False  # accepts requests but sends no responses; heartbeats continue
    overloaded: bool = False  # rejects all requests, as a full server does
    step_factor: float = 1.0  # multiplies the duration of each step of the engine
    corrupt_responses: int = 0  # the response is invalid HTTP, then the connection is closed
    surplus_responses: int = 0  # a second response with another request id follows a complete one
    truncated_responses: int = 0  # the connection is reset in the middle of an event
    failed_responses: int = 0  # status 500 after the request was executed

    def consume(self, name: str) -> bool:
        """Return whether the next response has the fault with this field name, and decrement its count."""
        remaining: int = getattr(self, name)
        if remaining <= 0:
            return False
        setattr(self, name, remaining - 1)
        return True
