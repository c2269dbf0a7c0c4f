"""Plays seeded schedules of troubles in a simulator and prints what fails, shortest schedule first."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable, Iterator
from concurrent.futures import ProcessPoolExecutor
from typing import Any, Protocol, TypeVar

from emberring.cli.printing import ExitCode, complain, leave, print_json, print_line

TELL_EVERY_S = 10.0
SEEDS_AT_ONCE = 4  # that a process gets


class SomeVerdict(Protocol):
    """What this module needs of a simulator's verdict."""

    @property
    def mistakes(self) -> tuple[str, ...]: ...
    @property
    def schedule(self) -> Any: ...
    @property
    def events(self) -> int: ...


Verdict = TypeVar("Verdict", bound=SomeVerdict)


def played(play_seed: Callable[[int], Verdict], first: int, seeds: int, jobs: int) -> Iterator[Verdict]:
    """The verdicts of so many seeds, in their order, played by so many processes."""
    wanted = range(first, first + seeds)
    if jobs == 1:
        yield from map(play_seed, wanted)
        return
    with ProcessPoolExecutor(jobs) as pool:
        yield from pool.map(play_seed, wanted, chunksize=SEEDS_AT_ONCE)


def run_check(
    what: str,
    verdicts: Iterable[Verdict],
    shorten: Callable[[Verdict], Verdict],
    describe: Callable[[Verdict], str],
    most_shown: int,
    as_json: bool,
) -> None:
    """Go through the verdicts; ends with exit code 1 where a schedule was wrong."""
    began = told = time.monotonic()
    count = events = 0
    failing: list[Verdict] = []
    for verdict in verdicts:
        count += 1
        events += verdict.events
        if verdict.mistakes:
            failing.append(verdict)
            complain(f"seed {verdict.schedule.seed}: {verdict.mistakes[0]}")
        if time.monotonic() - told > TELL_EVERY_S and not as_json:
            told = time.monotonic()
            print_line(f"{count} schedules played, {len(failing)} wrong")
    took_s = time.monotonic() - began
    shown = sorted((shorten(verdict) for verdict in failing[:most_shown]), key=_length)
    if as_json:
        print_json(
            {
                "Checked": what,
                "Schedules": count,
                "Events": events,
                "Seconds": round(took_s, 1),
                "WrongSeeds": [verdict.schedule.seed for verdict in failing],
                "Shortest": [describe(verdict) for verdict in shown],
            }
        )
    else:
        for verdict in shown:
            print_line(describe(verdict))
        print_line(f"{what}: {count} schedules, {events} events, {len(failing)} wrong, in {took_s:.1f} s")
    if failing:
        leave(ExitCode.REFUSED)


def _length(verdict: SomeVerdict) -> int:
    return len(verdict.schedule.steps)
