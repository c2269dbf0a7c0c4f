"""The load of a pool, from latencies, reported utilisation and rejections. Part of the decision module.

Latencies are relative: measured latency over the latency target of the class. The baseline is the smoothed
relative latency without load.
"""

from __future__ import annotations

from loadbalancer.interface import Settings

BASELINE_MIN_OUTCOMES = 20  # outcomes from which the first baseline is computed
BASELINE_FALL_GAIN = 0.1  # smoothing factor of the baseline towards a lower latency,
BASELINE_RISE_GAIN = 0.01  # and towards a higher one
UNLOADED_LEVEL = 0.1  # a relative latency below this is never load, regardless of the baseline
QUIET_MIN_OUTCOMES = 8  # responses needed to judge the pool before its first period has ended
LEVEL_HALF_WEIGHT_OUTCOMES = 20.0  # outcomes with which a period gets half the weight in the smoothed latency
OVERLOADED_LEVEL = 0.6  # overload: a smoothed latency above this counts even in a period without responses
CROWDED_SLACK = 0.11  # target level: baseline plus this share of the distance to the latency target
LIGHT_LOAD_SLACK = 0.3  # the same at low load, where differences in latency are mostly noise
# The same if utilisation is reported: latency then only shows the load of the tiers below.
UTILISATION_SLACK = 0.35
CROWDED_CALLS_PER_SERVER = 5.0  # in flight, over all siblings, from which servers may be crowded
UTILISATION_TARGET = 0.97  # target of the median reported utilisation,
UTILISATION_MARGIN = (
    0.03  # less up to this, because many balancers with little traffic each load servers unevenly,
)
FEW_SIBLINGS = 8.0  # which starts with more balancers than this
REJECTED_SHARE_TARGET = 0.05  # target share of attempts that servers reject
RATE_SMOOTHING_MS = 1000.0  # time constant of the completion rate
PEAK_DECAY_MS = 15_000.0  # time constant with which the peak rate decays
TARGET_GAIN = 0.03  # smoothing factor of the mean latency target, per successful response


def upper_median(values: list[float]) -> float | None:
    """Return the median (the upper of the two middle values if their number is even); None without values."""
    return sorted(values)[len(values) // 2] if values else None


class LoadEstimate:
    """Collects the outcomes of a period; `close_period` computes the load from them (1: at the target)."""

    def __init__(self, settings: Settings, period_ms: float) -> None:
        self.period_ms = period_ms
        self.periods = 0
        self.relative_latencies: list[float] = []  # of this period
        self.level = 0.0  # smoothed relative latency
        self.baseline: float | None = None  # the level without load; None until known
        self.load, self.target_level = 0.0, 1.0  # of the last period; the level above which latency is load
        self.completion_rate = self.peak_rate = 0.0  # completed units per ms
        # Maximum number of calls in flight with a latency below UNLOADED_LEVEL, since the last step of the
        # cursor.
        self.low_latency_in_flight = 0.0
        self.mean_target_ms = sum(kind.aim_ms for kind in settings.classes) / len(settings.classes)
        self._siblings = settings.siblings
        self._first_latencies: list[float] = []  # relative, at least BASELINE_MIN_OUTCOMES of them
        self._outcomes_since_step = LEVEL_HALF_WEIGHT_OUTCOMES  # since the cursor last moved right
        self._completed = self._ended = self._rejected = 0.0  # in this period

    @property
    def quiet(self) -> bool:
        """Whether latency is known to be so low that it is no load, regardless of the baseline."""
        if self.baseline is None:  # A burst at the start may arrive within the first period.
            latencies = self.relative_latencies
            return len(latencies) >= QUIET_MIN_OUTCOMES and max(latencies) < UNLOADED_LEVEL
        return self.level < UNLOADED_LEVEL

    def note_ended(self, rejected: bool) -> None:
        """Count an attempt that a server ended; `rejected`: for lack of capacity there or in a lower tier."""
        self._ended += 1
        self._rejected += rejected

    def note_latency(self, latency_ms: float, target_ms: float) -> None:
        """Record a latency relative to its class's target."""
        self.relative_latencies.append(latency_ms / target_ms)

    def note_completed(
        self, latency_ms: float, target_ms: float, queue_weight: float, in_flight: float
    ) -> None:
        """Count a success; `in_flight` is the weight in flight when the request arrived."""
        if latency_ms < UNLOADED_LEVEL * target_ms:
            self.low_latency_in_flight = max(self.low_latency_in_flight, in_flight)
        self._completed += queue_weight
        self.mean_target_ms += TARGET_GAIN * (target_ms - self.mean_target_ms)

    def close_period(
        self, servers: int, in_flight: float, utilisation: float | None, table_open: bool
    ) -> int:
        """End the period; returns the cursor's step: 1 to shed more, -1 to shed less, 0 to wait."""
        # `servers` are in use, with `in_flight` calls of this balancer by weight and a median `utilisation`
        # of recent reports. `table_open`: the cursor is at the start of the table, so nothing is shed.
        if self.relative_latencies:
            self._update_latency(table_open)
        self.load = self._period_load(servers, in_flight, utilisation)
        self._outcomes_since_step += self._ended
        step = self._cursor_step()
        if step > 0:
            self._outcomes_since_step = self.low_latency_in_flight = 0.0
        self._update_completion_rate()
        self.relative_latencies, self._completed, self._ended, self._rejected = [], 0.0, 0.0, 0.0
        return step

    def _update_latency(self, table_open: bool) -> None:
        """Update smoothed latency and baseline by the period's median, which is robust to one slow server."""
        median = upper_median(self.relative_latencies) or 0.0
        # Classes differ in relative latency without load, and short calls end first. A baseline from one
        # early outcome may be a third too low, and an idle pool would then exceed its target forever.
        if self.baseline is None or len(self._first_latencies) < BASELINE_MIN_OUTCOMES:
            self._first_latencies += self.relative_latencies
            self.level = self.baseline = upper_median(self._first_latencies) or 0.0
        else:  # a period with few outcomes gets little weight
            count = len(self.relative_latencies)
            self.level += count / (count + LEVEL_HALF_WEIGHT_OUTCOMES) * (median - self.level)
        if self.level < self.baseline:
            self.baseline += BASELINE_FALL_GAIN * (self.level - self.baseline)
        elif table_open:  # only without shedding, so that load does not raise the baseline
            self.baseline += BASELINE_RISE_GAIN * (self.level - self.baseline)

    def _period_load(self, servers: int, in_flight: float, utilisation: float | None) -> float:
        """Return the highest of the loads by latency, utilisation and rejections."""
        load = 0.0
        # With less than one response per period, each empty period would move the cursor left and the
        # overload would persist.
        overloaded = self.level > OVERLOADED_LEVEL and in_flight > 0.0
        if self.baseline is not None and (self.relative_latencies or overloaded):
            # A strict target with few outcomes sheds work that servers have capacity for; a loose one lets
            # crowded servers become slow.
            crowded = self._siblings * in_flight >= CROWDED_CALLS_PER_SERVER * servers
            slack = CROWDED_SLACK if crowded else LIGHT_LOAD_SLACK
            slack = slack if utilisation is None else UTILISATION_SLACK
            self.target_level = self.baseline + slack * (1.0 - self.baseline)
            load = self.level / self.target_level
        if utilisation is not None:
            # With many balancers, servers above the median become overloaded while it is still under 0.97.
            margin = UTILISATION_MARGIN * (1.0 - min(1.0, FEW_SIBLINGS / self._siblings))
            load = max(load, utilisation / (UTILISATION_TARGET - margin))
        if self._ended:
            load = max(load, self._rejected / self._ended / REJECTED_SHARE_TARGET)
        return load

    def _cursor_step(self) -> int:
        if self.load <= 1.0:
            return -1
        if self.level > OVERLOADED_LEVEL:
            return 1
        # The effect of a step only shows in responses to calls sent after it. With few responses per period,
        # the cursors of all siblings would move 6 to 10 steps right before that, and leave servers half idle.
        # So the next step waits for as many outcomes as the smoothed latency spans, except in overload, where
        # load may grow faster than responses arrive.
        return int(self._outcomes_since_step >= LEVEL_HALF_WEIGHT_OUTCOMES)

    def _update_completion_rate(self) -> None:
        gain = min(1.0, self.period_ms / RATE_SMOOTHING_MS)
        self.completion_rate += gain * (self._completed / self.period_ms - self.completion_rate)
        decayed = self.peak_rate * (1.0 - min(1.0, self.period_ms / PEAK_DECAY_MS))
        self.peak_rate = max(self.completion_rate, decayed)
