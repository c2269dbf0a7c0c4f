"""The experiments that are shipped, by name, and reading one from a file."""

from __future__ import annotations

from importlib.resources import files
from pathlib import Path

from loadbalancer.experiments.experiment import Experiment
from loadbalancer.sidecar.load import Document, read

KINDS = {"experiment": Experiment}


class ExperimentError(Exception):
    """Each line is a mistake: where, what is wrong, and what would be right."""


def shipped() -> dict[str, Path]:
    """Name and file of each."""
    folder = Path(str(files("loadbalancer.experiments") / "definitions"))
    return {path.stem: path for path in sorted(folder.glob("*.toml"))}


def load(name: str) -> Experiment:
    """The experiment of a file, or a shipped one by its name; ExperimentError with all that is wrong."""
    known = shipped()
    path = str(known[name]) if name in known else name
    document: Document = read(path, KINDS)
    if document.mistakes:
        raise ExperimentError("\n".join(str(mistake) for mistake in document.mistakes))
    plan: Experiment = document.model
    try:
        plan.variants()
    except ValueError as error:
        raise ExperimentError(f"{document.at(('sweep',))}: {error}") from error
    return plan
