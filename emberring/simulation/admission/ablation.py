"""Ablation of admission: disables one mechanism at a time and compares it on the same requests as the full policy.

A mechanism is disabled by a patch of one name for the duration of a trial, in the process of the trial; the gateway
itself has no such switches. Effects that the model does not cover (opening of connections, zones) are not measured.
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

SEED_STEP = 100  # difference between the seeds of the gateways of a trial
SILENT_SERVER_SHARE = 0.2  # share of servers that become unresponsive
UNLIMITED = 1e9  # a limit that is never reached


class Mechanism(Enum):
    """The mechanisms of admission that can be disabled."""

    THRESHOLD_CURSOR = "cursor"
    LIVE_THRESHOLDS = "live-rows"
    BATCH_FLOOR = "never-held"
    LIVE_FLOOR = "never-refused"
    EVEN_SHARES = "even-shares"
    JOB_PRESSURE = "lot-pressure"
    PROMPT_PACING = "prompt-pacing"
    WEIGHTED_SAMPLING = "draw-by-room"
    ESTIMATED_LOAD = "likely-load"
    CONCURRENCY_COST = "crowd"
    PREFERRED_SERVERS = "homes"
    SECOND_PREFERRED_SERVER = "second-home"
    PREFIX_CACHE_ESTIMATE = "prefix-memory"
    RECOMPUTE_COST = "reading-anew"
    KV_PRESSURE = "memory-pressure"
    EVENT_GAPS = "pauses"
    SLOWDOWN_PENALTY = "slow-handicap"
    FAILURE_COSTS = "failure-costs"
    EJECTION = "avoidance"
    UNRESPONSIVE_DETECTION = "silence"
    REINSTATEMENT = "way-back"


def _never_move(self: ThresholdTable, over_target: bool) -> None:
    """Do not move the cursor."""


def _without_even_shares(self: Pool, now_s: float, servers: list[ServerView]) -> float:
    limit = slots(servers) * self._batch_share(now_s)
    return limit - self.calls.other_calls_at(servers)


def _own_calls_alone(self: ServerView, gateways: int) -> float:
    return float(len(self.calls))


def _no_cached_parts(self: PrefixCacheEstimate, parts: Sequence[Any]) -> int:
    return 0


def _never_unresponsive(now_s: float, one: ServerView, usual_event_gap_ms: float) -> bool:
    return False


def _never_failing(one: ServerView) -> bool:
    return False


_PATCHES: dict[Mechanism, tuple[tuple[Any, str, object], ...]] = {
    Mechanism.THRESHOLD_CURSOR: ((ThresholdTable, "move", _never_move),),
    Mechanism.LIVE_THRESHOLDS: ((ThresholdTable, "live_share", lambda self, priority: 1.0),),
    Mechanism.BATCH_FLOOR: ((pool, "BATCH_FLOOR_SHARE", 0.0),),
    Mechanism.LIVE_FLOOR: ((pool, "LIVE_FLOOR_SHARE", 0.0),),
    Mechanism.EVEN_SHARES: ((Pool, "_batch_threshold", _without_even_shares),),
    Mechanism.JOB_PRESSURE: ((job_pressure.JobPressure, "slot_share", lambda self, now_s: 0.85),),
    Mechanism.PROMPT_PACING: ((pool, "BATCH_PROMPTS_PER_SERVER", UNLIMITED),),
    Mechanism.WEIGHTED_SAMPLING: ((candidates, "MIN_SAMPLING_WEIGHT", UNLIMITED),),
    Mechanism.ESTIMATED_LOAD: ((ServerView, "estimated_load", _own_calls_alone),),
    Mechanism.CONCURRENCY_COST: ((ranking, "CONCURRENCY_COST_MS", 0.0),),
    Mechanism.PREFERRED_SERVERS: ((placement, "PREFERRED_SERVERS", 0),),
    Mechanism.SECOND_PREFERRED_SERVER: ((placement, "PREFERRED_SERVERS", 1),),
    Mechanism.PREFIX_CACHE_ESTIMATE: ((PrefixCacheEstimate, "cached_parts", _no_cached_parts),),
    Mechanism.RECOMPUTE_COST: ((ranking, "RECOMPUTE_COST_SHARE", 0.0),),
    Mechanism.KV_PRESSURE: ((ranking, "KV_PRESSURE_COST_MS", 0.0),),
    Mechanism.EVENT_GAPS: ((ranking, "EVENT_GAP_WEIGHT", 0.0),),
    Mechanism.SLOWDOWN_PENALTY: ((server, "SLOWDOWN_TOLERANCE", UNLIMITED),),
    Mechanism.FAILURE_COSTS: ((failure_rate, "FAILURE_COST_MS", 0.0),),
    Mechanism.EJECTION: ((eligibility, "EJECTION_MAX_S", 0.0),),
    Mechanism.UNRESPONSIVE_DETECTION: ((eligibility, "unresponsive", _never_unresponsive),),
    Mechanism.REINSTATEMENT: ((eligibility, "failing", _never_failing),),
}


@contextlib.contextmanager
def without(mechanism: Mechanism | None) -> Iterator[None]:
    """Run the block without this mechanism; None disables nothing."""
    with contextlib.ExitStack() as stack:
        for owner, name, value in _PATCHES[mechanism] if mechanism is not None else ():
            stack.enter_context(mock.patch.object(owner, name, value))
        yield


@attrs.frozen
class Case:
    """A trial under stress: batch jobs arrive six times as often for 3 s, then a fifth of the servers hangs for 3 s."""

    site: Site
    seconds: float = 9.0
    factor: float = 1.0

    def bursts(self) -> list[Burst]:
        """Return the burst of batch jobs."""
        jobs = next(kind.name for kind in self.site.kinds if kind.items_per_job is not None)
        return [Burst(jobs, 1.0, 3.0, 6.0)]

    def crashes(self) -> list[Crash]:
        """Return the crashes of servers that become unresponsive."""
        silent = max(1, round(self.site.servers * SILENT_SERVER_SHARE))
        return [Crash(position, 5.0, 3.0, silent=True) for position in range(silent)]


def full_admission(world: object, index: int) -> Admission:
    """Return the admission policy of one gateway of a trial, with its own seed."""
    return Admission(AdmissionSettings(), seed=index * SEED_STEP)


def play(case: Case, mechanism: Mechanism | None, seed: int) -> Figures:
    """Run one trial without this mechanism; None runs the full policy."""
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
    """The value of a mechanism over the seeds: earned value of the full policy minus that without the mechanism."""

    mechanism: Mechanism
    mean: float
    least: float
    most: float


def mechanism_value(
    mechanism: Mechanism, complete: Sequence[Figures], without_it: Sequence[Figures]
) -> MechanismValue:
    """Return the value of a mechanism from two lists of trials in the same order of seeds."""
    differences = [one.worth - other.worth for one, other in zip(complete, without_it, strict=True)]
    return MechanismValue(mechanism, sum(differences) / len(differences), min(differences), max(differences))
