"""xDS resources in files: a bootstrap's `static_resources`, or resources as a path config source has them.

Sources: `envoy.config.bootstrap.v3.Bootstrap`; `envoy.config.core.v3.PathConfigSource`, whose files hold a
`DiscoveryResponse` in JSON or YAML and are moved into place. A file is taken whole or not at all.
"""

from __future__ import annotations

import asyncio
import json
import logging
import os
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import yaml
from envoy.config.bootstrap.v3 import bootstrap_pb2
from envoy.config.cluster.v3 import cluster_pb2
from envoy.config.endpoint.v3 import endpoint_pb2
from envoy.service.discovery.v3 import discovery_pb2
from google.protobuf import json_format

from loadbalancer.interface import Levels
from loadbalancer.xds.protocol import Served
from loadbalancer.xds.resources import (
    Assignment,
    Cluster,
    Kind,
    ResourceError,
    from_any,
    membership,
    read_assignment,
    read_cluster,
)

log = logging.getLogger("loadbalancer")

LOOK_S = 0.1  # between two looks at a file: well within the time in which a drain has to be kept
LARGEST = 64 * 1024 * 1024


class FileError(ValueError):
    """A file that can't be taken; each of `mistakes` is (line, place, what is wrong)."""

    def __init__(self, path: str, mistakes: list[tuple[int, str, str]]) -> None:
        super().__init__("; ".join(f"{path}:{line}: {place}: {wrong}" for line, place, wrong in mistakes))
        self.mistakes = mistakes


@dataclass(slots=True, frozen=True)
class Resources:
    """What a file holds."""

    clusters: dict[str, Cluster]
    assignments: dict[str, Assignment]
    version: str = ""


def parse(text: str, path: str) -> Resources:
    """Resources from JSON or YAML; FileError with every mistake of every resource."""
    try:
        data: Any = json.loads(text) if path.endswith(".json") else yaml.load(text, Loader=yaml.CSafeLoader)
    except json.JSONDecodeError as error:
        raise FileError(path, [(error.lineno, "the file", f"is not JSON: {error.msg}")]) from error
    except (yaml.YAMLError, RecursionError, ValueError) as error:
        mark = getattr(error, "problem_mark", None)
        said = " ".join(str(getattr(error, "problem", None) or error).split())
        raise FileError(path, [(mark.line + 1 if mark else 1, "the file", f"is not YAML: {said}")]) from error
    if not isinstance(data, dict):
        raise FileError(path, [(1, "the file", "holds no table")])
    mistakes: list[tuple[int, str, str]] = []
    clusters: dict[str, Cluster] = {}
    assignments: dict[str, Assignment] = {}
    if "static_resources" in data or "node" in data or "dynamic_resources" in data:
        bootstrap = _message(data, bootstrap_pb2.Bootstrap(), path)
        found: list[Any] = [*bootstrap.static_resources.clusters]
        version = ""
    else:
        response = _message(data, discovery_pb2.DiscoveryResponse(), path)
        found, version = [*response.resources], response.version_info
    for at, item in enumerate(found):
        try:
            resource = _resource(item)
        except ResourceError as error:
            line = _line_of(text, error.resource)
            mistakes.append((line, f"{error.resource}.{error.place}", error.why))
            continue
        held: dict[str, Any] = clusters if isinstance(resource, Cluster) else assignments
        name = resource.name if isinstance(resource, Cluster) else resource.cluster
        if name in held:
            mistakes.append((_line_of(text, name), f"{name} (number {at})", "stands twice"))
        held[name] = resource
    if mistakes:
        raise FileError(path, mistakes)
    return Resources(clusters, assignments, version)


def _message(data: Any, message: Any, path: str) -> Any:
    try:
        return json_format.ParseDict(data, message)
    except (json_format.ParseError, ValueError, TypeError, RecursionError) as error:
        raise FileError(path, [(1, "the file", " ".join(str(error).split()))]) from error


def _resource(item: Any) -> Cluster | Assignment:
    if isinstance(item, cluster_pb2.Cluster):
        return read_cluster(item)
    if isinstance(item, endpoint_pb2.ClusterLoadAssignment):
        return read_assignment(item)
    return from_any(item)


def _line_of(text: str, name: str) -> int:
    """The first line that names a resource, as the parsers tell no lines of fields."""
    return next((number for number, line in enumerate(text.split("\n"), 1) if name in line), 1)


def load(path: str) -> Resources:
    """Resources of a file; FileError or OSError if it can't be taken."""
    with open(path, "rb") as file:
        data = file.read(LARGEST + 1)
    if len(data) > LARGEST:
        raise FileError(path, [(1, "the file", f"is larger than {LARGEST} bytes")])
    try:
        return parse(data.decode(), path)
    except UnicodeDecodeError as error:
        raise FileError(
            path, [(data.count(b"\n", 0, error.start) + 1, "the file", "is not UTF-8")]
        ) from error


def served_of(cluster: Cluster, endpoints: Resources | None) -> Served | None:
    """A cluster as it is served from files; None while its endpoints have not come."""
    assignment = cluster.assignment
    if cluster.kind is Kind.EDS:
        assignment = endpoints.assignments.get(cluster.service) if endpoints is not None else None
    if assignment is None:
        return None
    entries, levels = membership(cluster, assignment)
    return Served(cluster, entries, levels)


class FileClient:
    """Follows a cluster in a file, and its endpoints in the file that it names. What was last taken stays in
    force while a file is missing, half written or wrong."""

    def __init__(
        self, path: str, cluster: str, now_ms: Callable[[], float], on_change: Callable[[], None]
    ) -> None:
        self.path, self.cluster = path, cluster
        self.last_news_ms: float | None = None
        self.rejected: dict[str, str] = {}
        self._now_ms = now_ms
        self._on_change = on_change
        self._stamps: dict[str, tuple[int, int, int]] = {}
        self._taken: dict[str, Resources] = {}
        self._served: Served | None = None
        self._task: asyncio.Task[None] | None = None

    @property
    def connected(self) -> bool:
        return self.path in self._taken

    def start(self) -> None:
        self._task = asyncio.create_task(self._follow())

    def close(self) -> None:
        if self._task is not None:
            self._task.cancel()

    def served(self, name: str) -> Served | None:
        return self._served if name == self.cluster else None

    def rows(self, now_ms: float) -> list[dict[str, Any]]:
        return [
            {
                "type": "file",
                "name": path,
                "version": self._taken[path].version if path in self._taken else "",
                "rejected": self.rejected.get(path),
            }
            for path in sorted({*self._taken, *self.rejected})
        ]

    async def _follow(self) -> None:
        while True:
            try:
                if self.look():
                    self._on_change()
            except Exception:
                # Guard: a fault of ours would end the following for good, and no drain be heard any more.
                log.exception("xds: %s could not be followed", self.path)
            await asyncio.sleep(LOOK_S)

    def look(self) -> bool:
        """Read what has been replaced since the last look; whether the cluster has changed by it."""
        news = self._read(self.path)
        cluster = self._taken[self.path].clusters.get(self.cluster) if self.path in self._taken else None
        if cluster is not None and cluster.eds_path is not None:
            path = str(Path(self.path).parent / cluster.eds_path)
            news = self._read(path) or news
            endpoints = self._taken.get(path)
        else:
            endpoints = self._taken.get(self.path)
        if not news:
            return False
        before = self._served
        if cluster is None:
            self._served = Served(None, (), Levels()) if before is not None else None
        else:
            # Make before break: a cluster whose endpoints are not there yet goes on with those that it had.
            self._served = served_of(cluster, endpoints) or before
        return self._served != before

    def _read(self, path: str) -> bool:
        try:
            found = os.stat(path)
            stamp = (found.st_mtime_ns, found.st_size, found.st_ino)
            if self._stamps.get(path) == stamp:
                return False
            resources = load(path)
            after = os.stat(path)
            if (after.st_mtime_ns, after.st_size, after.st_ino) != stamp:
                return False  # replaced while it was read: the next look takes it
        except (OSError, FileError) as error:
            if self.rejected.get(path) != str(error):
                log.error("xds: the last good resources stay: %s", error)
            self.rejected[path] = str(error)
            return False
        self._stamps[path] = stamp
        self._taken[path] = resources
        self.rejected.pop(path, None)
        self.last_news_ms = self._now_ms()
        return True
