"""What a trial of admission is made of: servers, requests, and their attempts at servers."""

from __future__ import annotations

import attrs

from emberring.admission import AttemptBudget
from emberring.simulation.admission.engine_model import Engine, EngineCall, Part
from emberring.simulation.admission.site import Kind
from emberring.simulation.admission.trial import Asked


@attrs.define(eq=False)
class Server:
    """A server's incarnation in a trial."""

    id: str
    engine: Engine
    place: int
    since_ms: float
    up: bool = True
    dark: bool = False
    known: bool = True
    stepping: bool = False
    attempts: set[Attempt] = attrs.field(factory=set)


@attrs.define(eq=False)
class Request:
    """One try of a client, or one item."""

    kind: Kind
    asked: Asked
    parts: tuple[Part, ...]
    tokens_out: int
    from_ms: float
    until_ms: float
    tries_left: int
    budget: AttemptBudget
    excluded: frozenset[str] = frozenset()
    events: int = 0
    last_ms: float = 0.0
    late: bool = False
    over: bool = False


@attrs.define(eq=False)
class Attempt:
    """A request at a server."""

    id: str
    request: Request
    gateway: int
    server: Server
    call: EngineCall | None = None
    over: bool = False
    heard_ms: float = 0.0
