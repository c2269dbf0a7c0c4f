"""The entities of a trial of admission: servers, requests, and their attempts at servers."""

from __future__ import annotations

import attrs

from emberring.admission import AttemptBudget
from emberring.simulation.admission.engine_model import Engine, EngineCall, PromptPart
from emberring.simulation.admission.site import RequestKind
from emberring.simulation.admission.trial import RequestRecord


@attrs.define(eq=False)
class Server:
    """One incarnation of a server in a trial; `position` is its index in the site."""

    id: str
    engine: Engine
    position: int
    started_ms: float
    up: bool = True
    silent: bool = False
    known: bool = True
    stepping: bool = False
    attempts: set[Attempt] = attrs.field(factory=set)


@attrs.define(eq=False)
class Request:
    """One request of a client, or one batch item. Times are milliseconds of the trial."""

    kind: RequestKind
    record: RequestRecord
    parts: tuple[PromptPart, ...]
    tokens_out: int
    arrived_ms: float
    deadline_ms: float
    retries_left: int
    budget: AttemptBudget
    excluded: frozenset[str] = frozenset()
    events: int = 0
    last_event_ms: float = 0.0
    late: bool = False
    finished: bool = False


@attrs.define(eq=False)
class Attempt:
    """A request at a server."""

    id: str
    request: Request
    gateway: int
    server: Server
    call: EngineCall | None = None
    finished: bool = False
    last_received_ms: float = 0.0
