"""Stored results: one folder for each run, written atomically and never overwritten.

`manifest.json` describes the run: the program's version, the digest of the experiment (SHA-256 of its canonical JSON),
policy, seed, swept values and machine. `figures.json` contains counts, samples by second and latencies as compressed
HDR histograms (HdrHistogram V2, base64). Both are JSON with sorted keys; the figures of one seed are byte-identical in
every run.
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
JSON_OPTIONS = orjson.OPT_SORT_KEYS | orjson.OPT_APPEND_NEWLINE


class ResultError(Exception):
    """A folder contains no readable run, or already contains a run when one is to be written."""


def digest(plan: Experiment) -> str:
    """The digest of an experiment, independent of its file's layout; seeds, policies, sweep and title are excluded, as
    they do not change the setting of a run."""
    data = plan.model_dump(mode="json", exclude={"seeds", "policies", "sweep", "title"})
    return hashlib.sha256(orjson.dumps(data, option=orjson.OPT_SORT_KEYS)).hexdigest()


@dataclass(frozen=True, slots=True)
class Job:
    """One run: a variant of an experiment, a policy, a seed."""

    plan: Experiment
    swept: tuple[tuple[str, Any], ...]
    policy: int  # its index in the plan
    seed: int

    @property
    def folder(self) -> str:
        """The name of its result folder, determined by the job's contents."""
        name_parts = [self.plan.name, self.plan.policies[self.policy].name, f"seed{self.seed}"]
        identity = orjson.dumps([self.swept, digest(self.plan), self.plan.policies[self.policy].model_dump()])
        return "-".join([*name_parts, hashlib.sha256(identity).hexdigest()[:10]])


def jobs(plan: Experiment) -> list[Job]:
    """All runs of an experiment, in the order of its file."""
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


def write_run(folder: Path, manifest_row: dict[str, Any], figures: dict[str, Any]) -> None:
    """Write a run's folder and move it into place with one rename; ResultError if it exists."""
    if folder.exists():
        raise ResultError(f"{folder}: exists already, and results are never overwritten")
    # Guard: a sweep killed while writing would leave a partial folder that looks like a run.
    partial = folder.with_name(f".{folder.name}.{os.getpid()}")
    partial.mkdir(parents=True, exist_ok=True)
    (partial / FIGURES).write_bytes(orjson.dumps(figures, option=JSON_OPTIONS))
    (partial / MANIFEST).write_bytes(orjson.dumps(manifest_row, option=JSON_OPTIONS))
    partial.rename(folder)


@dataclass(frozen=True, slots=True)
class Run:
    """One stored run."""

    folder: Path
    manifest: dict[str, Any]
    figures: dict[str, Any]

    @property
    def policy(self) -> str:
        return str(self.manifest["policy"]["name"])

    @property
    def setting(self) -> tuple[str, str]:
        """The experiment's digest and the swept values; only runs with equal settings are compared."""
        return self.manifest["digest"], orjson.dumps(
            self.manifest["swept"], option=orjson.OPT_SORT_KEYS
        ).decode()


def read(folder: Path) -> Run:
    try:
        manifest_row, figures = (orjson.loads((folder / name).read_bytes()) for name in (MANIFEST, FIGURES))
    except (OSError, ValueError) as error:
        raise ResultError(f"{folder}: holds no run: {error}") from error
    if not isinstance(manifest_row, dict) or manifest_row.get("format") != 1:
        raise ResultError(
            f"{folder / MANIFEST}: format {manifest_row.get('format')!r} is not supported; this program reads format 1"
        )
    return Run(folder, manifest_row, figures)


def runs(folder: Path) -> Iterator[Run]:
    """The run in a folder, or all runs in its direct subfolders, ordered by name."""
    if (folder / MANIFEST).exists():
        yield read(folder)
        return
    folders = sorted(
        path.parent for path in folder.glob(f"*/{MANIFEST}") if not path.parent.name.startswith(".")
    )
    if not folders:
        raise ResultError(f"{folder}: holds no runs")
    for path in folders:
        yield read(path)
