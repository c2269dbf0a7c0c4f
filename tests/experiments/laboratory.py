"""Helpers of the tests in this folder."""

from __future__ import annotations

from typing import Any

from loadbalancer.experiments.experiment import Experiment


def plan(**more: Any) -> Experiment:
    """A small experiment, with some keys replaced."""
    row = {
        "kind": "experiment",
        "version": 1,
        "name": "t",
        "seconds": 4,
        "warm_s": 1,
        "fleet": {"servers": 6, "cores": 2, "nodes": 2},
        "load": {"of_capacity": 0.6},
    }
    return Experiment.model_validate(row | more)
