"""Runs experiments: a single run, or a sweep over several cores that can be resumed."""

from __future__ import annotations

import gc
import time
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor, as_completed
from multiprocessing import get_context
from pathlib import Path
from typing import Any

from loadbalancer.experiments.results import FIGURES, Job, manifest, write_run
from loadbalancer.experiments.world import World

SIMULATED = "simulated time"


class RunError(Exception):
    """A policy or the model raised an exception; the message names the run."""


def simulate(job: Job) -> dict[str, Any]:
    """Simulate one run and return its figures; RunError if anything in it raised."""
    # A run releases no reference cycles, and garbage collection took a fifth of its time.
    collector_enabled = gc.isenabled()
    gc.disable()
    try:
        return World(job.plan, job.plan.policies[job.policy], job.seed).run()
    except Exception as error:
        raise RunError(f"{job.folder}: {type(error).__name__}: {error}") from error
    finally:
        if collector_enabled:
            gc.enable()


def run_and_store(job: Job, results_folder: Path) -> Path:
    """Run a job and store its result; a stored result is left unchanged and not run again."""
    folder = results_folder / job.folder
    if not (folder / FIGURES).exists():
        started_s = time.perf_counter()
        figures = simulate(job)
        write_run(folder, manifest(job, SIMULATED, time.perf_counter() - started_s), figures)
    return folder


def worker_pool(cores: int) -> ProcessPoolExecutor:
    """A pool of processes for parallel runs."""
    # Guard: forking a process that has threads can deadlock; workers are spawned instead.
    return ProcessPoolExecutor(max_workers=max(1, cores), mp_context=get_context("spawn"))


def sweep(jobs: list[Job], results_folder: Path, cores: int) -> Iterator[tuple[Job, Path | None, str]]:
    """Yield each job as it finishes, with its folder, or None and the error; stored jobs are not run again."""
    results_folder.mkdir(parents=True, exist_ok=True)
    with worker_pool(cores) as pool:
        futures = {pool.submit(run_and_store, job, results_folder): job for job in jobs}
        for future in as_completed(futures):
            job = futures[future]
            try:
                yield job, future.result(), ""
            except Exception as error:
                yield job, None, str(error)
