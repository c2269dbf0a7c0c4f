"""The troubles that a stand-in model server can be put into, changed while it runs."""

from __future__ import annotations

import attrs


@attrs.define
class Faults:
    """What goes wrong from now on. The counts are of next answers that go wrong in that way."""

    dark: bool = False  # reads nothing, says nothing, sends no heartbeat
    hang: bool = False  # takes requests and answers none; heartbeats go on
    shed: bool = False  # refuses all, as a full server does
    slow: float = 1.0  # times the length of each step of the engine
    spoilt_answers: int = 0  # bytes that are no answer, then the connection ends
    extra_answers: int = 0  # a surplus answer, with another request's id, after a whole one
    cut_answers: int = 0  # the stream ends inside an event
    failed_answers: int = 0  # 500, after the request ran

    def take(self, name: str) -> bool:
        """Whether the next answer has the trouble that this count names; counts it down."""
        left: int = getattr(self, name)
        if left <= 0:
            return False
        setattr(self, name, left - 1)
        return True
