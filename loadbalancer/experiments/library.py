"""The shipped experiments by name, and loading an experiment from a file."""

from __future__ import annotations

from importlib.resources import files
from pathlib import Path

from loadbalancer.experiments.experiment import Experiment
from loadbalancer.sidecar.load import Document, read

KINDS = {"experiment": Experiment}


class ExperimentError(Exception):
    """An invalid experiment file. Each line of the message is one mistake: its place, the problem and a correction."""


def shipped() -> dict[str, Path]:
    """The names and files of the shipped experiments."""
    folder = Path(str(files("loadbalancer.experiments") / "definitions"))
    return {path.stem: path for path in sorted(folder.glob("*.toml"))}


def load(name: str) -> Experiment:
    """Load a shipped experiment by name, or one from a file; ExperimentError lists all mistakes."""
    shipped_files = shipped()
    path = str(shipped_files[name]) if name in shipped_files else name
    document: Document = read(path, KINDS)
    if document.mistakes:
        raise ExperimentError("\n".join(str(mistake) for mistake in document.mistakes))
    plan: Experiment = document.model
    try:
        plan.variants()
    except ValueError as error:
        raise ExperimentError(f"{document.at(('sweep',))}: {error}") from error
    return plan
