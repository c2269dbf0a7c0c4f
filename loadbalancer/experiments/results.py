"""Results that last: a folder a run, written whole or not at all, never overwritten.

`manifest.json` says what was run: the program's version, the digest of the experiment (SHA-256 of its canonical JSON),
policy, seed, what was swept, machine. `figures.json` holds counts, samples by second and latencies as HDR histograms
in their own compressed form (HdrHistogram V2, base64). Both are JSON with sorted keys; the figures of one seed are the
same bytes each time.
"""

from __future__ import annotations

import hashlib
import importlib.metadata
import os
import platform
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import orjson

from loadbalancer.experiments.experiment import Experiment

MANIFEST, FIGURES = "manifest.json", "figures.json"
SORTED = orjson.OPT_SORT_KEYS | orjson.OPT_APPEND_NEWLINE


class ResultError(Exception):
    """A folder that holds no run, or one that holds another already."""


def digest(plan: Experiment) -> str:
    """Of an experiment, whatever its file's layout; without seeds, policies and sweep, which say how much was run."""
    data = plan.model_dump(mode="json", exclude={"seeds", "policies", "sweep", "title"})
    return hashlib.sha256(orjson.dumps(data, option=orjson.OPT_SORT_KEYS)).hexdigest()


@dataclass(frozen=True, slots=True)
class Job:
    """One run: a variant of an experiment, a policy, a seed."""

    plan: Experiment
    swept: tuple[tuple[str, Any], ...]
    policy: int  # its place in the plan
    seed: int

    @property
    def folder(self) -> str:
        """Its name under the sweep's folder; the same job has the same."""
        words = [self.plan.name, self.plan.policies[self.policy].name, f"seed{self.seed}"]
        told = orjson.dumps([self.swept, digest(self.plan), self.plan.policies[self.policy].model_dump()])
        return "-".join([*words, hashlib.sha256(told).hexdigest()[:10]])


def jobs(plan: Experiment) -> list[Job]:
    """All runs that an experiment asks for, in the order of its file."""
    return [
        Job(variant, tuple(sorted(swept.items())), policy, seed)
        for swept, variant in plan.variants()
        for policy in range(len(variant.policies))
        for seed in variant.seeds
    ]


def manifest(job: Job, engine: str, took_s: float) -> dict[str, Any]:
    return {
        "format": 1,
        "program": importlib.metadata.version("emberring"),
        "experiment": job.plan.name,
        "digest": digest(job.plan),
        "policy": job.plan.policies[job.policy].model_dump(mode="json"),
        "seed": job.seed,
        "swept": dict(job.swept),
        "engine": engine,
        "took_s": round(took_s, 3),
        "machine": {
            "system": platform.system(),
            "architecture": platform.machine(),
            "cores": len(os.sched_getaffinity(0)) if hasattr(os, "sched_getaffinity") else os.cpu_count(),
            "python": platform.python_version(),
        },
        "plan": job.plan.model_dump(mode="json"),
    }


def write(folder: Path, about: dict[str, Any], figures: dict[str, Any]) -> None:
    """A run's folder, put in place by one rename; ResultError where it is there already."""
    if folder.exists():
        raise ResultError(f"{folder}: is there already, and results are never overwritten")
    # Guard: a sweep that was killed while it wrote left a folder that looked like a run.
    fresh = folder.with_name(f".{folder.name}.{os.getpid()}")
    fresh.mkdir(parents=True, exist_ok=True)
    (fresh / FIGURES).write_bytes(orjson.dumps(figures, option=SORTED))
    (fresh / MANIFEST).write_bytes(orjson.dumps(about, option=SORTED))
    fresh.rename(folder)


@dataclass(frozen=True, slots=True)
class Run:
    """One that was kept."""

    folder: Path
    manifest: dict[str, Any]
    figures: dict[str, Any]

    @property
    def policy(self) -> str:
        return str(self.manifest["policy"]["name"])

    @property
    def setting(self) -> tuple[str, str]:
        """What two runs must share to be compared: the experiment's digest, and what was swept."""
        return self.manifest["digest"], orjson.dumps(
            self.manifest["swept"], option=orjson.OPT_SORT_KEYS
        ).decode()


def read(folder: Path) -> Run:
    try:
        about, figures = (orjson.loads((folder / name).read_bytes()) for name in (MANIFEST, FIGURES))
    except (OSError, ValueError) as error:
        raise ResultError(f"{folder}: holds no run: {error}") from error
    if not isinstance(about, dict) or about.get("format") != 1:
        raise ResultError(
            f"{folder / MANIFEST}: format {about.get('format')!r} is not one that this program reads (1)"
        )
    return Run(folder, about, figures)


def runs(folder: Path) -> Iterator[Run]:
    """The run of a folder, or all that are right below it, by name."""
    if (folder / MANIFEST).exists():
        yield read(folder)
        return
    found = sorted(
        path.parent for path in folder.glob(f"*/{MANIFEST}") if not path.parent.name.startswith(".")
    )
    if not found:
        raise ResultError(f"{folder}: holds no runs")
    for path in found:
        yield read(path)
