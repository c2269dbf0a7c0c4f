"""Finds routing loops across several files: cycles on which a request would return to a sidecar it has passed.

One file leads to another in two ways: its server list contains the other's listener, or it calls a pool that the other
names in `serves`. Calls that bypass the sidecars, and lists from discovery or a control plane, are in no file; such
loops are detected only at run time.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from loadbalancer.core.address import parse_address
from loadbalancer.sidecar.load import Document
from loadbalancer.sidecar.locate import Path
from loadbalancer.sidecar.models import Application, Catalogue, Configuration


@dataclass(slots=True, frozen=True)
class Edge:
    """An edge from one file to another, and the document and path that cause it."""

    to: int
    document: int
    path: Path


def _called_pools(document: Document, catalogues: Sequence[Catalogue]) -> set[str]:
    """The pools that the file's requests go to."""
    model = document.model
    if isinstance(model, Configuration):
        return {item.pool for item in model.classes}
    assert isinstance(model, Application)
    called_classes = {call.service for call in model.calls}
    return {
        item.pool for catalogue in catalogues for item in catalogue.classes if item.name in called_classes
    }


def _listed_addresses(model: object) -> Iterable[tuple[Path, tuple[str, int]]]:
    if isinstance(model, Configuration):
        for index, pool in enumerate(model.pools):
            source = pool.servers_from
            for number, item in enumerate(source.servers if source is not None else []):
                yield ("pools", index, "list", "servers", number, "address"), parse_address(item.address)


def edges_of(documents: Sequence[Document]) -> list[list[Edge]]:
    """The edges that leave each file, by the file's index."""
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
            for index, name in enumerate(model.serves):
                serving.setdefault(name, []).append((number, ("serves", index)))
    edges: list[list[Edge]] = []
    for number, document in enumerate(documents):
        file_edges: list[Edge] = []
        if isinstance(document.model, Configuration | Application):
            for path, address in _listed_addresses(document.model):
                # A file that lists its own listener is reported by the check of that file alone.
                if address in listening and listening[address] != number:
                    file_edges.append(Edge(listening[address], number, path))
            for pool in sorted(_called_pools(document, catalogues)):
                file_edges += [Edge(other, other, path) for other, path in serving.get(pool, [])]
        edges.append(file_edges)
    return edges


def _revisits(document: Document, catalogues: Sequence[Catalogue]) -> int:
    if isinstance(document.model, Configuration):
        return document.model.budget.revisits if document.model.budget is not None else 0
    return max(
        (catalogue.budget.revisits for catalogue in catalogues if catalogue.budget is not None), default=0
    )


def find_loops(documents: Sequence[Document]) -> None:
    """Add a mistake for each loop, except where the file it returns to allows revisits."""
    catalogues = [item.model for item in documents if isinstance(item.model, Catalogue)]
    edges = edges_of(documents)
    reported: set[frozenset[int]] = set()
    for start, document in enumerate(documents):
        if document.model is None or _revisits(document, catalogues) > 0:
            continue
        cycle = _shortest_cycle(edges, start)
        if cycle is None:
            continue
        members = frozenset({start, *(edge.to for edge in cycle)})
        if members in reported:
            continue
        reported.add(members)
        names = [document.name, *(documents[edge.to].name for edge in cycle)]
        last = cycle[-1]
        documents[last.document].add(
            last.path,
            f"requests loop: {' -> '.join(names)}",
            "end the path at a server, or set budget.revisits where the loop is intended",
        )
        documents[last.document].mistakes.sort()


def _shortest_cycle(edges: Sequence[Sequence[Edge]], start: int) -> list[Edge] | None:
    """The shortest cycle from a file back to itself; None if there is none."""
    paths: list[list[Edge]] = [[edge] for edge in edges[start]]
    visited = {start}
    for path in paths:  # breadth first: the list grows while it is iterated
        current = path[-1].to
        if current == start:
            return path
        if current not in visited:
            visited.add(current)
            paths += [[*path, edge] for edge in edges[current]]
    return None
