"""Running what an experiment asks for: one run, or a sweep over all cores that goes on where it was stopped."""

from __future__ import annotations

import gc
import time
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor, as_completed
from multiprocessing import get_context
from pathlib import Path
from typing import Any

from loadbalancer.experiments.results import FIGURES, Job, manifest, write
from loadbalancer.experiments.world import World

SIMULATED = "simulated time"


class RunError(Exception):
    """A policy or the model has raised; the run is told by name."""


def simulate(job: Job) -> dict[str, Any]:
    """The figures of one run in simulated time; RunError where something in it raised."""
    # A run makes no cycles that it lets go of, and the collector took a fifth of its time.
    was = gc.isenabled()
    gc.disable()
    try:
        return World(job.plan, job.plan.policies[job.policy], job.seed).run()
    except Exception as error:
        raise RunError(f"{job.folder}: {type(error).__name__}: {error}") from error
    finally:
        if was:
            gc.enable()


def keep(job: Job, under: Path) -> Path:
    """Run one and keep it; one that is there already is left as it is."""
    folder = under / job.folder
    if not (folder / FIGURES).exists():
        began = time.perf_counter()
        figures = simulate(job)
        write(folder, manifest(job, SIMULATED, time.perf_counter() - began), figures)
    return folder


def workers(cores: int) -> ProcessPoolExecutor:
    """Processes for runs beside one another."""
    # Guard: a fork of a process with threads may hang; each worker begins anew.
    return ProcessPoolExecutor(max_workers=max(1, cores), mp_context=get_context("spawn"))


def sweep(jobs: list[Job], under: Path, cores: int) -> Iterator[tuple[Job, Path | None, str]]:
    """Each job as it is done, with its folder, or None and why; what has been kept before is not run again."""
    under.mkdir(parents=True, exist_ok=True)
    with workers(cores) as pool:
        asked = {pool.submit(keep, job, under): job for job in jobs}
        for done in as_completed(asked):
            job = asked[done]
            try:
                yield job, done.result(), ""
            except Exception as error:
                yield job, None, str(error)
