"""Reads xDS resources from files: the `static_resources` of a bootstrap, or the file of a path config source.

Sources: `envoy.config.bootstrap.v3.Bootstrap`; `envoy.config.core.v3.PathConfigSource`, whose files contain a
`DiscoveryResponse` in JSON or YAML and are replaced by a rename. A file is accepted completely or rejected.
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
from loadbalancer.xds.protocol import ActiveCluster
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

POLL_INTERVAL_S = 0.1  # of a file; well below the time within which a drain must take effect
MAX_FILE_BYTES = 64 * 1024 * 1024


class FileError(ValueError):
    """A file was rejected; each of `mistakes` is (line, place, reason)."""

    def __init__(self, path: str, mistakes: list[tuple[int, str, str]]) -> None:
        super().__init__("; ".join(f"{path}:{line}: {place}: {reason}" for line, place, reason in mistakes))
        self.mistakes = mistakes


@dataclass(slots=True, frozen=True)
class Resources:
    """The contents of a file."""

    clusters: dict[str, Cluster]
    assignments: dict[str, Assignment]
    version: str = ""


def parse(text: str, path: str) -> Resources:
    """Parse resources from JSON or YAML; FileError with the mistakes of all rejected resources."""
    try:
        data: Any = json.loads(text) if path.endswith(".json") else yaml.load(text, Loader=yaml.CSafeLoader)
    except json.JSONDecodeError as error:
        raise FileError(path, [(error.lineno, "the file", f"is not JSON: {error.msg}")]) from error
    except (yaml.YAMLError, RecursionError, ValueError) as error:
        mark = getattr(error, "problem_mark", None)
        problem = " ".join(str(getattr(error, "problem", None) or error).split())
        raise FileError(
            path, [(mark.line + 1 if mark else 1, "the file", f"is not YAML: {problem}")]
        ) from error
    if not isinstance(data, dict):
        raise FileError(path, [(1, "the file", "is not a mapping")])
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
            resource = _convert(item)
        except ResourceError as error:
            line = _line_of(text, error.resource)
            mistakes.append((line, f"{error.resource}.{error.field_path}", error.reason))
            continue
        by_name: dict[str, Any] = clusters if isinstance(resource, Cluster) else assignments
        name = resource.name if isinstance(resource, Cluster) else resource.cluster
        if name in by_name:
            mistakes.append((_line_of(text, name), f"{name} (number {at})", "is defined twice"))
        by_name[name] = resource
    if mistakes:
        raise FileError(path, mistakes)
    return Resources(clusters, assignments, version)


def _message(data: Any, message: Any, path: str) -> Any:
    try:
        return json_format.ParseDict(data, message)
    except (json_format.ParseError, ValueError, TypeError, RecursionError) as error:
        raise FileError(path, [(1, "the file", " ".join(str(error).split()))]) from error


def _convert(item: Any) -> Cluster | Assignment:
    if isinstance(item, cluster_pb2.Cluster):
        return read_cluster(item)
    if isinstance(item, endpoint_pb2.ClusterLoadAssignment):
        return read_assignment(item)
    return from_any(item)


def _line_of(text: str, name: str) -> int:
    """The first line that contains the name of a resource, as the parsers don't report the lines of fields."""
    return next((number for number, line in enumerate(text.split("\n"), 1) if name in line), 1)


def load(path: str) -> Resources:
    """Read the resources of a file; FileError or OSError if it is rejected."""
    with open(path, "rb") as file:
        data = file.read(MAX_FILE_BYTES + 1)
    if len(data) > MAX_FILE_BYTES:
        raise FileError(path, [(1, "the file", f"is larger than {MAX_FILE_BYTES} bytes")])
    try:
        return parse(data.decode(), path)
    except UnicodeDecodeError as error:
        raise FileError(
            path, [(data.count(b"\n", 0, error.start) + 1, "the file", "is not UTF-8")]
        ) from error


def served_from_files(cluster: Cluster, endpoints: Resources | None) -> ActiveCluster | None:
    """The active form of a cluster read from files; None while its endpoints are missing."""
    assignment = cluster.assignment
    if cluster.kind is Kind.EDS:
        assignment = endpoints.assignments.get(cluster.service) if endpoints is not None else None
    if assignment is None:
        return None
    entries, levels = membership(cluster, assignment)
    return ActiveCluster(cluster, entries, levels)


class FileClient:
    """Watches the file of a cluster and the file of its endpoints, if it names one. The last accepted contents stay
    active while a file is missing, incomplete or invalid."""

    def __init__(
        self, path: str, cluster: str, now_ms: Callable[[], float], on_change: Callable[[], None]
    ) -> None:
        self.path, self.cluster = path, cluster
        self.last_update_ms: float | None = None
        self.rejected: dict[str, str] = {}
        self._now_ms = now_ms
        self._on_change = on_change
        self._file_stamps: dict[str, tuple[int, int, int]] = {}
        self._loaded: dict[str, Resources] = {}
        self._served: ActiveCluster | None = None
        self._task: asyncio.Task[None] | None = None

    @property
    def connected(self) -> bool:
        return self.path in self._loaded

    def start(self) -> None:
        self._task = asyncio.create_task(self._watch())

    def close(self) -> None:
        if self._task is not None:
            self._task.cancel()

    def served(self, name: str) -> ActiveCluster | None:
        return self._served if name == self.cluster else None

    def rows(self, now_ms: float) -> list[dict[str, Any]]:
        return [
            {
                "type": "file",
                "name": path,
                "version": self._loaded[path].version if path in self._loaded else "",
                "rejected": self.rejected.get(path),
            }
            for path in sorted({*self._loaded, *self.rejected})
        ]

    async def _watch(self) -> None:
        while True:
            try:
                if self.poll():
                    self._on_change()
            except Exception:
                # Guard: an unexpected exception would end this task for good, and later drains would be missed.
                log.exception("xds: watching %s failed; continuing", self.path)
            await asyncio.sleep(POLL_INTERVAL_S)

    def poll(self) -> bool:
        """Reload the files that were replaced since the last call; returns whether the cluster changed."""
        changed = self._load_if_changed(self.path)
        cluster = self._loaded[self.path].clusters.get(self.cluster) if self.path in self._loaded else None
        if cluster is not None and cluster.eds_path is not None:
            path = str(Path(self.path).parent / cluster.eds_path)
            changed = self._load_if_changed(path) or changed
            endpoints = self._loaded.get(path)
        else:
            endpoints = self._loaded.get(self.path)
        if not changed:
            return False
        before = self._served
        if cluster is None:
            self._served = ActiveCluster(None, (), Levels()) if before is not None else None
        else:
            # Make before break: while the new endpoints are missing, the cluster keeps its old ones.
            self._served = served_from_files(cluster, endpoints) or before
        return self._served != before

    def _load_if_changed(self, path: str) -> bool:
        try:
            found = os.stat(path)
            stamp = (found.st_mtime_ns, found.st_size, found.st_ino)
            if self._file_stamps.get(path) == stamp:
                return False
            resources = load(path)
            after = os.stat(path)
            if (after.st_mtime_ns, after.st_size, after.st_ino) != stamp:
                return False  # replaced during the read; the next poll loads it
        except (OSError, FileError) as error:
            if self.rejected.get(path) != str(error):
                log.error("xds: file rejected, the last valid resources stay active: %s", error)
            self.rejected[path] = str(error)
            return False
        self._file_stamps[path] = stamp
        self._loaded[path] = resources
        self.rejected.pop(path, None)
        self.last_update_ms = self._now_ms()
        return True
