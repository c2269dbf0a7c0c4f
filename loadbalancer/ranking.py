"""Ranks servers and selects one for an attempt. Part of the decision module.

A rank is smoothed latency times queue length; the lowest rank is selected. A server that may get no calls by
rank gets trial calls regardless of its rank.
"""

from __future__ import annotations

import math
from random import Random

from loadbalancer.attempts import ReplicaGroup, RequestState, replica_group
from loadbalancer.class_latency import ClassLatencies, relative_latency
from loadbalancer.interface import Effect, Scope, Server
from loadbalancer.list_validity import ListValidity
from loadbalancer.outlier_detection import TrackedServer
from loadbalancer.server_table import ServerTable
from loadbalancer.slow_start import SlowStart

LATENCY_DRIFT_MS = 8000.0  # time constant with which a latency without new responses returns to the mean
REPORTED_QUEUE_DECAY_MS = 500.0  # time constant with which a reported queue decays
JITTER = 0.1  # relative width of the random tie-break between equal ranks
ZONE_WEIGHT = 64.0  # queue length that a call to another zone counts as, per unit of its price
TRIAL_SHARE = 0.2  # rate of trial calls, as a share of an average server's calls
TRIAL_INTERVAL_MS = 500.0  # minimum time between trial calls; doubled for each consecutive failure,
TRIAL_INTERVAL_DOUBLINGS = 3  # this many times at most
UNREPEATABLE_INTERVAL_FACTOR = 4.0  # longer interval for calls that may not be retried


class Ranking:
    """Selects servers for attempts."""

    def __init__(
        self, rng: Random, servers: ServerTable, slow_start: SlowStart, latencies: ClassLatencies
    ) -> None:
        self.cfg = slow_start.cfg
        self.lag_ms = 0.0  # responses that arrived within this time may not have been read yet
        self.list_validity = ListValidity(self.cfg.list_expires_ms)
        self._rng = rng
        self._servers = servers
        self._slow_start = slow_start
        self._latencies = latencies

    def pick(self, now: float, request: RequestState) -> tuple[TrackedServer | None, bool]:
        """Return the server for the next attempt (None: no server), and whether it is a trial call."""
        allowed, required_group = self._allowed_group(now, request)
        if not allowed:
            return None, False
        tried = [attempt.server for attempt in request.attempts]
        effective = self._slow_start.effective_servers(now, len(self._servers.ready))
        for servers in self._candidate_groups(now):
            untried = [item for item in servers if item not in tried]
            candidates = [
                item for item in untried if required_group in (None, replica_group(request.kind, item))
            ]
            best = self._best(now, candidates, effective)
            on_trial = [item for item in candidates if not item.pending and item.needs_trial(now)]
            if not tried and on_trial and self._rng.random() * effective < TRIAL_SHARE * len(on_trial):
                server = self._trial(now, request, on_trial, effective)
                if server is not None:
                    return server, True
            if best is not None:
                return best, False
        return None, False

    def _allowed_group(self, now: float, request: RequestState) -> tuple[bool, ReplicaGroup | None]:
        """Return whether an attempt is allowed, and the group it is restricted to (None: any server)."""
        ran, effect = request.may_have_run(), request.kind.effect
        required_group = (
            replica_group(request.kind, ran[0].server) if ran and effect is Effect.KEYED else None
        )
        earlier = request.request.earlier if effect is Effect.KEYED else None
        if earlier is not None:
            # A caller's retry with the same key must go to the group that received the first request: another
            # group would not deduplicate it.
            known = self._servers.by_address.get(earlier.server)
            if known is not None:
                required_group = required_group or replica_group(request.kind, known)
            elif request.kind.scope is not Scope.ALL:
                return False, None
        if ran and effect is Effect.UNSAFE:
            return False, None
        forgotten = effect is Effect.KEYED and now - request.first_sent_ms(ran) >= request.kind.memory_ms
        return not forgotten, required_group

    def _candidate_groups(self, now: float) -> list[list[TrackedServer]]:
        """Return the servers to rank: all usable ones, or with levels a drawn group, then the rest."""
        groups = self._servers.groups
        if self._servers.levels is None:
            return [self.list_validity.usable(now, self._servers.ready)]
        draw = self._rng.random()
        for at, group in enumerate(groups):
            draw -= group.share
            if draw < 0.0 and group.share > 0.0:
                others = groups[:at] + groups[at + 1 :]
                return [group.members, *(other.members for other in others)]
        return [group.members for group in groups]

    def _best(self, now: float, servers: list[TrackedServer], effective: float) -> TrackedServer | None:
        """Return the server with the lowest rank among those to which slow start allows a call."""
        best, best_rank = None, math.inf
        sibling_calls: float | None = None
        for server in servers:
            rank, warmth = self._rank(now, server), self._slow_start.warmth(now, server)
            if warmth < 1.0:
                # Each of many balancers sees some warm server idle. Without this factor, cold servers with a
                # third of the pool's capacity got a twentieth of the calls while warm ones were overloaded.
                if sibling_calls is None:  # estimate of the siblings' calls in flight per server, from ours
                    calls = (self.cfg.siblings - 1) * self._servers.in_flight()
                    sibling_calls = calls / max(1.0, effective)
                rank *= min(1.0, 1.0 / (warmth * (1.0 + sibling_calls)))
            if rank < best_rank and self._slow_start.allows(warmth, effective):
                best, best_rank = server, rank
        return best

    def _trial(
        self, now: float, request: RequestState, servers: list[TrackedServer], effective: float
    ) -> TrackedServer | None:
        """Return the server that gets a trial call now, regardless of its rank; None: none is due."""
        # By rank alone, a failed server gets no call while another one is idle. If each balancer has few
        # calls, another one is always idle, and a recovered zone would never be used again.
        server = min(servers, key=lambda item: item.last_sent_ms)
        wait_ms = 0.0
        if not server.reinstating:
            wait_ms = TRIAL_INTERVAL_MS * 2.0 ** min(TRIAL_INTERVAL_DOUBLINGS, server.consecutive_failures)
        if not request.may_be_retried(self.cfg):
            wait_ms *= UNREPEATABLE_INTERVAL_FACTOR
        if now - server.last_sent_ms < wait_ms:
            return None
        return server if self._slow_start.allows(self._slow_start.warmth(now, server), effective) else None

    def _rank(self, now: float, server: TrackedServer) -> float:
        """Return smoothed latency x (queue + 1), divided by the server's weight and success share."""
        queue = 0.0
        if server.reported_queue:
            decay = math.exp((server.reported_ms - now) / REPORTED_QUEUE_DECAY_MS)
            queue = server.reported_queue * decay
        zone_penalty = ZONE_WEIGHT * self.cfg.cross_zone_price if server.info.zone != self.cfg.zone else 0.0
        queue_length = (server.load + queue + 1.0 + zone_penalty) / server.info.weight
        success_share = 1.0 - min(0.9, server.error_share)
        factor = self._latency_factor(now, server)
        return factor * queue_length / success_share * (1.0 + JITTER * (self._rng.random() - 0.5))

    def _latency_factor(self, now: float, server: TrackedServer) -> float:
        """Return its latency as a multiple of the mean; without new responses it decays towards 1."""
        factor = 1.0
        if server.latency_factor is not None:
            factor += (server.latency_factor - 1.0) * math.exp(
                (server.latency_measured_ms - now) / LATENCY_DRIFT_MS
            )
        if server.pending:
            # The oldest pending attempt reveals a hanging server long before its timeout.
            oldest = next(iter(server.pending.values()))
            unanswered = server.latency_measured_ms <= oldest.sent_ms
            mean_ms = self._latencies.mean_ms.get(oldest.service_class) if unanswered else None
            if mean_ms:
                # Without `lag_ms`, all servers would seem to hang while this process is busy.
                waited_ms = now - self.lag_ms - oldest.sent_ms
                factor = max(factor, relative_latency(waited_ms, mean_ms, self.cfg.near_ms))
        return factor

    def server_status(self, now: float) -> list[tuple[Server, float, float, float]]:
        """Return each server's list entry, rank, load in flight and error share, without side effects."""
        state = self._rng.getstate()  # This method must not affect later random draws.
        rows = []
        for server in self._servers.by_address.values():
            rank = self._rank(now, server) if server.info.weight > 0.0 else math.inf
            rows.append((server.info, rank, server.load, server.error_share))
        self._rng.setstate(state)
        return rows
