"""Runs seeded fault schedules in a simulator and prints the failing ones, the shortest first."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable, Iterator, Sized
from concurrent.futures import ProcessPoolExecutor
from typing import Any, Protocol, TypeVar

import attrs

from emberring.cli.printing import ExitCode, exit_with, print_error, print_json, print_line

PROGRESS_INTERVAL_S = 10.0
SEEDS_PER_BATCH = 4  # seeds in one task of the process pool


class SomeSchedule(Protocol):
    """The attributes of a simulator's fault schedule that this module uses."""

    @property
    def seed(self) -> int:
        """The seed that the schedule was made from."""

    @property
    def steps(self) -> Sized:
        """The steps of the schedule."""


class SomeVerdict(Protocol):
    """The attributes of a simulator's verdict that this module uses."""

    @property
    def violations(self) -> tuple[str, ...]:
        """The violated invariants."""

    @property
    def schedule(self) -> SomeSchedule:
        """The fault schedule of the run."""

    @property
    def events(self) -> int:
        """The number of simulated events."""


Verdict = TypeVar("Verdict", bound=SomeVerdict)


def play_seeds(play_seed: Callable[[int], Verdict], first: int, seeds: int, jobs: int) -> Iterator[Verdict]:
    """Yield the verdicts of `seeds` consecutive seeds from `first` on, in order, computed by `jobs` processes."""
    all_seeds = range(first, first + seeds)
    if jobs == 1:
        yield from map(play_seed, all_seeds)
        return
    with ProcessPoolExecutor(jobs) as pool:
        yield from pool.map(play_seed, all_seeds, chunksize=SEEDS_PER_BATCH)


@attrs.define
class _Tally:
    """Totals of the verdicts so far."""

    schedules: int = 0
    events: int = 0
    failing: list[Any] = attrs.field(factory=list)  # verdicts


def run_check(
    simulator_name: str,
    verdicts: Iterable[Verdict],
    shorten: Callable[[Verdict], Verdict],
    describe: Callable[[Verdict], str],
    max_shown: int,
    as_json: bool,
) -> None:
    """Consume the verdicts and print a summary; exits with code 1 if a schedule failed.

    At most `max_shown` failing schedules are shortened by `shorten` and printed by `describe`, the shortest first.
    """
    started_s = time.monotonic()
    tally = _tally_verdicts(verdicts, show_progress=not as_json)
    duration_s = time.monotonic() - started_s
    shortened = sorted((shorten(verdict) for verdict in tally.failing[:max_shown]), key=_step_count)
    descriptions = [describe(verdict) for verdict in shortened]
    if as_json:
        _print_json_summary(simulator_name, tally, duration_s, descriptions)
    else:
        _print_summary(simulator_name, tally, duration_s, descriptions)
    if tally.failing:
        exit_with(ExitCode.REFUSED)


def _tally_verdicts(verdicts: Iterable[SomeVerdict], *, show_progress: bool) -> _Tally:
    tally = _Tally()
    last_progress_s = time.monotonic()
    for verdict in verdicts:
        tally.schedules += 1
        tally.events += verdict.events
        if verdict.violations:
            tally.failing.append(verdict)
            print_error(f"seed {verdict.schedule.seed}: {verdict.violations[0]}")
        if show_progress and time.monotonic() - last_progress_s > PROGRESS_INTERVAL_S:
            last_progress_s = time.monotonic()
            print_line(f"{tally.schedules} schedules played, {len(tally.failing)} wrong")
    return tally


def _print_json_summary(name: str, tally: _Tally, duration_s: float, descriptions: list[str]) -> None:
    print_json(
        {
            "Checked": name,
            "Schedules": tally.schedules,
            "Events": tally.events,
            "Seconds": round(duration_s, 1),
            "WrongSeeds": [verdict.schedule.seed for verdict in tally.failing],
            "Shortest": descriptions,
        }
    )


def _print_summary(name: str, tally: _Tally, duration_s: float, descriptions: list[str]) -> None:
    for description in descriptions:
        print_line(description)
    print_line(
        f"{name}: {tally.schedules} schedules, {tally.events} events, {len(tally.failing)} wrong, in {duration_s:.1f} s"
    )


def _step_count(verdict: SomeVerdict) -> int:
    return len(verdict.schedule.steps)
