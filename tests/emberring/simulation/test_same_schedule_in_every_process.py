"""A seed is one schedule in every process: the order of a set of texts, which differs, must not decide anything."""

from __future__ import annotations

import os
import subprocess
import sys

import pytest

PLAY = """
import attrs, importlib, sys
simulator = importlib.import_module(f"emberring.simulation.{sys.argv[1]}.simulator")
for seed in range(int(sys.argv[2]), int(sys.argv[3])):
    print(attrs.asdict(simulator.play_seed(seed)))
"""


def verdicts(simulator: str, first: int, seeds: int, hash_seed: int) -> str:
    """The verdicts of these seeds in a process of its own with this seed of the hashes of texts."""
    environment = {**os.environ, "PYTHONHASHSEED": str(hash_seed)}
    command = [sys.executable, "-c", PLAY, simulator, str(first), str(first + seeds)]
    played = subprocess.run(command, env=environment, capture_output=True, text=True, check=True)
    return played.stdout


# Before the merge of inventories kept their order, 2004 of the jobs had 23,108 events in one process and 24,377 in
# another.
@pytest.mark.parametrize(
    ("simulator", "first", "seeds"), [("jobs", 2000, 8), ("control_plane", 2000, 4), ("register", 2000, 8)]
)
def test_a_seed_gives_the_same_verdict_whatever_the_hashes_of_texts(
    simulator: str, first: int, seeds: int
) -> None:
    found = {verdicts(simulator, first, seeds, hash_seed) for hash_seed in (1, 2)}
    assert len(found) == 1
    assert found.pop().count("\n") == seeds
