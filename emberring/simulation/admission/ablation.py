"""Ablation of admission: each mechanism switched off by name, in trials on the same requests as complete ones.

A mechanism is switched off by a patch of one name for the duration of a trial, in the process of the trial: the gateway
has no such switches. What the model does not cover (connections that have to be opened, zones) cannot be judged here.
"""

from __future__ import annotations

import contextlib
from collections.abc import Iterator, Sequence
from enum import Enum
from typing import Any
from unittest import mock

import attrs

from emberring.admission import (
    Admission,
    AdmissionSettings,
    candidates,
    eligibility,
    failure_rate,
    job_pressure,
    placement,
    pool,
    ranking,
    server,
)
from emberring.admission.known_calls import slots
from emberring.admission.pool import Pool
from emberring.admission.prefix_cache import PrefixCacheEstimate
from emberring.admission.server import ServerView
from emberring.admission.threshold_table import ThresholdTable
from emberring.simulation.admission.simulator import TrialPlan, run_trial
from emberring.simulation.admission.site import Burst, Crash, Site
from emberring.simulation.admission.trial import Figures, figures_of

SEED_STEP = 100  # between the seeds of the gateways of one trial
SILENT_SERVER_SHARE = 0.2  # of the servers, in the hard case
UNLIMITED = 1e9  # a limit that is never reached


class Mechanism(Enum):
    """The mechanisms of admission that can be switched off."""

    CURSOR = "cursor"
    LIVE_ROWS = "live-rows"
    NEVER_HELD = "never-held"
    NEVER_REFUSED = "never-refused"
    EVEN_SHARES = "even-shares"
    JOB_PRESSURE = "lot-pressure"
    PROMPT_PACING = "prompt-pacing"
    DRAW_BY_ROOM = "draw-by-room"
    LIKELY_LOAD = "likely-load"
    CROWD = "crowd"
    HOMES = "homes"
    SECOND_HOME = "second-home"
    PREFIX_MEMORY = "prefix-memory"
    READING_ANEW = "reading-anew"
    MEMORY_PRESSURE = "memory-pressure"
    PAUSES = "pauses"
    SLOW_HANDICAP = "slow-handicap"
    FAILURE_COSTS = "failure-costs"
    AVOIDANCE = "avoidance"
    SILENCE = "silence"
    WAY_BACK = "way-back"


def _never_move(self: ThresholdTable, over_target: bool) -> None:
    """Keep the cursor where it is."""


def _without_even_shares(self: Pool, now_s: float, servers: list[ServerView]) -> float:
    limit = slots(servers) * self._batch_share(now_s)
    return limit - self.calls.other_calls_at(servers)


def _own_calls_alone(self: ServerView, gateways: int) -> float:
    return float(len(self.calls))


def _nothing_known(self: PrefixCacheEstimate, parts: Sequence[Any]) -> int:
    return 0


def _never_silent(now_s: float, one: ServerView, usual_event_gap_ms: float) -> bool:
    return False


def _never_failing(one: ServerView) -> bool:
    return False


_PATCHES: dict[Mechanism, tuple[tuple[Any, str, object], ...]] = {
    Mechanism.CURSOR: ((ThresholdTable, "move", _never_move),),
    Mechanism.LIVE_ROWS: ((ThresholdTable, "live_share", lambda self, priority: 1.0),),
    Mechanism.NEVER_HELD: ((pool, "BATCH_FLOOR_SHARE", 0.0),),
    Mechanism.NEVER_REFUSED: ((pool, "LIVE_FLOOR_SHARE", 0.0),),
    Mechanism.EVEN_SHARES: ((Pool, "_batch_threshold", _without_even_shares),),
    Mechanism.JOB_PRESSURE: ((job_pressure.JobPressure, "slot_share", lambda self, now_s: 0.85),),
    Mechanism.PROMPT_PACING: ((pool, "BATCH_PROMPTS_PER_SERVER", UNLIMITED),),
    Mechanism.DRAW_BY_ROOM: ((candidates, "MIN_SAMPLING_WEIGHT", UNLIMITED),),
    Mechanism.LIKELY_LOAD: ((ServerView, "estimated_load", _own_calls_alone),),
    Mechanism.CROWD: ((ranking, "CONCURRENCY_COST_MS", 0.0),),
    Mechanism.HOMES: ((placement, "PREFERRED_SERVERS", 0),),
    Mechanism.SECOND_HOME: ((placement, "PREFERRED_SERVERS", 1),),
    Mechanism.PREFIX_MEMORY: ((PrefixCacheEstimate, "cached_parts", _nothing_known),),
    Mechanism.READING_ANEW: ((ranking, "RECOMPUTE_COST_SHARE", 0.0),),
    Mechanism.MEMORY_PRESSURE: ((ranking, "KV_PRESSURE_COST_MS", 0.0),),
    Mechanism.PAUSES: ((ranking, "EVENT_GAP_WEIGHT", 0.0),),
    Mechanism.SLOW_HANDICAP: ((server, "SLOWDOWN_TOLERANCE", UNLIMITED),),
    Mechanism.FAILURE_COSTS: ((failure_rate, "FAILURE_COST_MS", 0.0),),
    Mechanism.AVOIDANCE: ((eligibility, "EJECTION_MAX_S", 0.0),),
    Mechanism.SILENCE: ((eligibility, "unresponsive", _never_silent),),
    Mechanism.WAY_BACK: ((eligibility, "failing", _never_failing),),
}


@contextlib.contextmanager
def without(mechanism: Mechanism | None) -> Iterator[None]:
    """Run the block without this mechanism; None switches nothing off."""
    with contextlib.ExitStack() as stack:
        for owner, name, value in _PATCHES[mechanism] if mechanism is not None else ():
            stack.enter_context(mock.patch.object(owner, name, value))
        yield


@attrs.frozen
class Case:
    """A hard trial: batch jobs arrive six times as often for 3 s, then a fifth of the servers turns silent for 3 s."""

    site: Site
    seconds: float = 9.0
    factor: float = 1.0

    def bursts(self) -> list[Burst]:
        """Return the burst of batch jobs."""
        jobs = next(kind.name for kind in self.site.kinds if kind.items_per_job is not None)
        return [Burst(jobs, 1.0, 3.0, 6.0)]

    def crashes(self) -> list[Crash]:
        """Return the servers that turn silent."""
        silent = max(1, round(self.site.servers * SILENT_SERVER_SHARE))
        return [Crash(position, 5.0, 3.0, silent=True) for position in range(silent)]


def full_admission(world: object, index: int) -> Admission:
    """Return the admission of one gateway of a trial, with a seed of its own."""
    return Admission(AdmissionSettings(), seed=index * SEED_STEP)


def play(case: Case, mechanism: Mechanism | None, seed: int) -> Figures:
    """Run one trial without this mechanism; None runs it complete."""
    with without(mechanism):
        record = run_trial(
            case.site,
            full_admission,
            seed,
            TrialPlan(case.seconds, case.factor, case.bursts(), case.crashes()),
        )
    return figures_of(record)


@attrs.frozen
class MechanismValue:
    """The value of a mechanism: the difference of earned value, complete less without, over the seeds."""

    mechanism: Mechanism
    mean: float
    least: float
    most: float


def mechanism_value(
    mechanism: Mechanism, complete: Sequence[Figures], without_it: Sequence[Figures]
) -> MechanismValue:
    """Return the value of a mechanism from trials in the same order of seeds."""
    differences = [one.worth - other.worth for one, other in zip(complete, without_it, strict=True)]
    return MechanismValue(mechanism, sum(differences) / len(differences), min(differences), max(differences))
