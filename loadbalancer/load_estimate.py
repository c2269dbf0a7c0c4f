"""The load of a pool, from latencies, reported utilisation and rejections; part of the decision module.

Latencies are relative: measured latency over the latency target of the class.
"""

from __future__ import annotations

from loadbalancer.interface import Settings

BASELINE_MIN_OUTCOMES = 20  # outcomes from which the quiet baseline is first taken
BASELINE_FALL_GAIN = 0.1  # how fast the quiet baseline follows a lower period,
BASELINE_RISE_GAIN = 0.01  # and a higher one
QUIET_LEVEL = 0.1  # relative latency under which no latency is load, whatever it was before
QUIET_MIN_OUTCOMES = 8  # answers that are enough to know a pool in its first period
LEVEL_HALF_WEIGHT_OUTCOMES = 20.0  # outcomes that give a period half the say in the smoothed latency
JAMMED_LEVEL = 0.6  # a smoothed relative latency over this also counts in a period without answers
SLACK = 0.11  # target level: quiet baseline plus this share of the way from there to the latency target
UNCROWDED_SLACK = 0.3  # the same while servers are far from crowded: latency is then mostly chance
# The same where utilisation is reported: latency then stands for the tiers below only.
UTILISATION_SLACK = 0.35
CROWDED_CALLS = 5.0  # calls in flight a server, of all siblings, from which it may be crowded
UTILISATION_TARGET = 0.97  # target of the median reported utilisation,
UTILISATION_MARGIN = 0.03  # less this much where many balancers, each seeing little, load servers unevenly,
FEW_SIBLINGS = 8.0  # that is, where there are more than this many
REJECTED_SHARE_TARGET = 0.05  # target share of attempts that servers reject
RATE_SMOOTHING_MS = 1000.0  # smoothing of the completion rate
PEAK_DECAY_MS = 15_000.0  # how slowly the rate's peak is forgotten
TARGET_GAIN = 0.03  # smoothing of the mean latency target, per good answer


def upper_median(values: list[float]) -> float | None:
    """Return the median, the upper one of an even number of values; None without values."""
    return sorted(values)[len(values) // 2] if values else None


class LoadEstimate:
    """Collects a period's outcomes; `close_period` turns them into a load, which is 1 at the target."""

    def __init__(self, settings: Settings, period_ms: float) -> None:
        self.period_ms = period_ms
        self.periods = 0
        self.relative_latencies: list[float] = []  # of this period
        self.level = 0.0  # smoothed relative latency
        self.baseline: float | None = None  # the same without load; None until known
        self.load, self.target_level = 0.0, 1.0  # of the last period; the level from which latency is load
        self.completion_rate = self.peak_rate = 0.0  # completed units per ms
        # The most calls in flight beside which one was answered in quiet, since there was load.
        self.quiet_in_flight = 0.0
        self.mean_target_ms = sum(kind.aim_ms for kind in settings.classes) / len(settings.classes)
        self._siblings = settings.siblings
        self._first_latencies: list[float] = []  # relative ones, up to BASELINE_MIN_OUTCOMES or a few more
        self._outcomes_since_step = LEVEL_HALF_WEIGHT_OUTCOMES  # since the cursor last went right
        self._completed = self._ended = self._rejected = 0.0  # in this period

    @property
    def quiet(self) -> bool:
        """Whether latency is known and is no load, however it compares with what it was."""
        if self.baseline is None:  # All of a burst at the start came before the first period was over.
            latencies = self.relative_latencies
            return len(latencies) >= QUIET_MIN_OUTCOMES and max(latencies) < QUIET_LEVEL
        return self.level < QUIET_LEVEL

    def note_ended(self, rejected: bool) -> None:
        """Count an attempt that a server ended; `rejected`: for want of capacity, there or below."""
        self._ended += 1
        self._rejected += rejected

    def note_latency(self, latency_ms: float, target_ms: float) -> None:
        """Count a latency against its class's target."""
        self.relative_latencies.append(latency_ms / target_ms)

    def note_completed(self, latency_ms: float, target_ms: float, units: float, in_flight: float) -> None:
        """Count a good answer of this weight, beside so many calls in flight when its request came."""
        if latency_ms < QUIET_LEVEL * target_ms:
            self.quiet_in_flight = max(self.quiet_in_flight, in_flight)
        self._completed += units
        self.mean_target_ms += TARGET_GAIN * (target_ms - self.mean_target_ms)

    def close_period(
        self, servers: int, in_flight: float, utilisation: float | None, table_open: bool
    ) -> int:
        """End the period; returns the cursor's step: 1 to shed more, -1 to shed less, 0 to wait."""
        # Takes the servers in use, our calls in flight there by weight, the median of their fresh reports of
        # utilisation, and whether the cursor is at the left of its table.
        if self.relative_latencies:
            self._follow_latency(table_open)
        self.load = self._period_load(servers, in_flight, utilisation)
        self._outcomes_since_step += self._ended
        step = self._cursor_step()
        if step > 0:
            self._outcomes_since_step = self.quiet_in_flight = 0.0
        self._follow_rate()
        self.relative_latencies, self._completed, self._ended, self._rejected = [], 0.0, 0.0, 0.0
        return step

    def _follow_latency(self, table_open: bool) -> None:
        """Move smoothed latency and baseline by this period's median, which resists one slow server."""
        median = upper_median(self.relative_latencies) or 0.0
        # Classes differ in quiet latency over target, and short calls end first; a baseline from one early
        # outcome lay a third too low, and an idle pool was held to be over its target for good.
        if self.baseline is None or len(self._first_latencies) < BASELINE_MIN_OUTCOMES:
            self._first_latencies += self.relative_latencies
            self.level = self.baseline = upper_median(self._first_latencies) or 0.0
        else:  # a period with few outcomes says little
            count = len(self.relative_latencies)
            self.level += count / (count + LEVEL_HALF_WEIGHT_OUTCOMES) * (median - self.level)
        if self.level < self.baseline:
            self.baseline += BASELINE_FALL_GAIN * (self.level - self.baseline)
        elif table_open:  # never learned under load
            self.baseline += BASELINE_RISE_GAIN * (self.level - self.baseline)

    def _period_load(self, servers: int, in_flight: float, utilisation: float | None) -> float:
        """Return the highest of the loads that latency, utilisation and rejections tell."""
        load = 0.0
        # With less than an answer a period, each silent period moved the cursor left and a jam stayed.
        jammed = self.level > JAMMED_LEVEL and in_flight > 0.0
        if self.baseline is not None and (self.relative_latencies or jammed):
            # A strict target over few outcomes shed work that servers had capacity for; a loose one let
            # crowded servers turn slow.
            crowded = self._siblings * in_flight >= CROWDED_CALLS * servers
            slack = SLACK if crowded else UNCROWDED_SLACK
            slack = slack if utilisation is None else UTILISATION_SLACK
            self.target_level = self.baseline + slack * (1.0 - self.baseline)
            load = self.level / self.target_level
        if utilisation is not None:
            # At size the servers over the median were jammed one by one while it was under 0.97.
            margin = UTILISATION_MARGIN * (1.0 - min(1.0, FEW_SIBLINGS / self._siblings))
            load = max(load, utilisation / (UTILISATION_TARGET - margin))
        if self._ended:
            load = max(load, self._rejected / self._ended / REJECTED_SHARE_TARGET)
        return load

    def _cursor_step(self) -> int:
        if self.load <= 1.0:
            return -1
        if self.level > JAMMED_LEVEL:
            return 1
        # Answers tell of calls sent before; where few come in a period, the cursor went 6 to 10 steps right
        # before the first one showed, at all siblings alike, and servers stood half empty. So a step is given
        # as many outcomes as the smoothed latency remembers. It covers any late sign of load, and hurts where
        # load grows faster than answers come: a jam doesn't wait.
        return int(self._outcomes_since_step >= LEVEL_HALF_WEIGHT_OUTCOMES)

    def _follow_rate(self) -> None:
        gain = min(1.0, self.period_ms / RATE_SMOOTHING_MS)
        self.completion_rate += gain * (self._completed / self.period_ms - self.completion_rate)
        decayed = self.peak_rate * (1.0 - min(1.0, self.period_ms / PEAK_DECAY_MS))
        self.peak_rate = max(self.completion_rate, decayed)
