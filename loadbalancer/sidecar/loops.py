"""Loops that several files make together: a request that is passed on along them comes back to where it was.

Two things lead from one file to another: a list that names the other's listener, and a pool that one calls and the
other says its own boxes are of (`serves`). What applications call beside their sidecars, and lists that come from
discovery or a control plane, no file tells; such loops show only while they run.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from loadbalancer.core.address import parse_address
from loadbalancer.sidecar.load import Document
from loadbalancer.sidecar.locate import Path
from loadbalancer.sidecar.models import Application, Catalogue, Configuration


@dataclass(slots=True, frozen=True)
class Step:
    """From one file to another, and the place in one of them that makes it."""

    to: int
    document: int
    path: Path


def _called(document: Document, catalogues: Sequence[Catalogue]) -> set[str]:
    """The pools that requests through it go to."""
    model = document.model
    if isinstance(model, Configuration):
        return {item.pool for item in model.classes}
    assert isinstance(model, Application)
    wanted = {call.service for call in model.calls}
    return {item.pool for cat in catalogues for item in cat.classes if item.name in wanted}


def _addresses(model: object) -> Iterable[tuple[Path, tuple[str, int]]]:
    if isinstance(model, Configuration):
        for at, pool in enumerate(model.pools):
            source = pool.servers_from
            for number, item in enumerate(source.servers if source is not None else []):
                yield ("pools", at, "list", "servers", number, "address"), parse_address(item.address)


def steps_of(documents: Sequence[Document]) -> list[list[Step]]:
    """Where requests may go from each file."""
    catalogues = [item.model for item in documents if isinstance(item.model, Catalogue)]
    listening: dict[tuple[str, int], int] = {}
    serving: dict[str, list[tuple[int, Path]]] = {}
    for number, document in enumerate(documents):
        model = document.model
        if isinstance(model, Configuration):
            for listener in model.listeners:
                address = parse_address(listener.address)
                if address[1]:
                    listening.setdefault(address, number)
        if isinstance(model, Configuration | Application):
            for at, name in enumerate(model.serves):
                serving.setdefault(name, []).append((number, ("serves", at)))
    steps: list[list[Step]] = []
    for number, document in enumerate(documents):
        found: list[Step] = []
        if isinstance(document.model, Configuration | Application):
            for path, address in _addresses(document.model):
                # A file that names a listener of its own is told where it is checked alone.
                if address in listening and listening[address] != number:
                    found.append(Step(listening[address], number, path))
            for pool in sorted(_called(document, catalogues)):
                found += [Step(other, other, path) for other, path in serving.get(pool, [])]
        steps.append(found)
    return steps


def _revisits(document: Document, catalogues: Sequence[Catalogue]) -> int:
    if isinstance(document.model, Configuration):
        return document.model.budget.revisits if document.model.budget is not None else 0
    return max((cat.budget.revisits for cat in catalogues if cat.budget is not None), default=0)


def find_loops(documents: Sequence[Document]) -> None:
    """Add a mistake for each way on which a request comes back to a file, unless that file allows for it."""
    catalogues = [item.model for item in documents if isinstance(item.model, Catalogue)]
    steps = steps_of(documents)
    told: set[frozenset[int]] = set()
    for start, document in enumerate(documents):
        if document.model is None or _revisits(document, catalogues) > 0:
            continue
        way = _back(steps, start)
        if way is None:
            continue
        members = frozenset({start, *(step.to for step in way)})
        if members in told:
            continue
        told.add(members)
        names = [document.name, *(documents[step.to].name for step in way)]
        last = way[-1]
        documents[last.document].add(
            last.path,
            f"requests come back to where they were: {' -> '.join(names)}",
            "a way that ends at a box, or budget.revisits where coming back is meant",
        )
        documents[last.document].mistakes.sort()


def _back(steps: Sequence[Sequence[Step]], start: int) -> list[Step] | None:
    """The shortest way from a file to itself."""
    ways: list[list[Step]] = [[step] for step in steps[start]]
    seen = {start}
    for way in ways:  # grows while it is gone through: breadth first
        here = way[-1].to
        if here == start:
            return way
        if here not in seen:
            seen.add(here)
            ways += [[*way, step] for step in steps[here]]
    return None
