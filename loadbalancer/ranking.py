"""Ranking of the servers, and the pick for an attempt; part of the decision module.

A rank is smoothed latency times queue; less goes first. A server whose rank may keep it from being sent calls
gets trial calls whatever its rank.
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

LATENCY_DRIFT_MS = 8000.0  # the latency of a server without answers drifts back to the mean at this pace
REPORTED_QUEUE_DECAY_MS = 500.0  # a reported queue is believed for about this long
JITTER = 0.1  # width of the draw that parts equal ranks
ZONE_WEIGHT = 64.0  # calls in the queue that a crossing of zones counts as, per unit of its price
TRIAL_SHARE = 0.2  # of an average server's calls: what a server that needs trial calls gets of them
TRIAL_INTERVAL_MS = 500.0  # the least time between two such calls; doubled for each failure in a row,
TRIAL_INTERVAL_DOUBLINGS = 3  # so many times at most
UNREPEATABLE_INTERVAL_FACTOR = 4.0  # what may not be repeated goes there only if nothing else does


class Ranking:
    """Picks servers for attempts."""

    def __init__(
        self, rng: Random, servers: ServerTable, slow_start: SlowStart, latencies: ClassLatencies
    ) -> None:
        self.cfg = slow_start.cfg
        self.lag_ms = 0.0  # what came within it may not have been read yet
        self.list_validity = ListValidity(self.cfg.list_expires_ms)
        self._rng = rng
        self._servers = servers
        self._slow_start = slow_start
        self._latencies = latencies

    def pick(self, now: float, request: RequestState) -> tuple[TrackedServer | None, bool]:
        """Return the server for the next attempt, and whether this is a trial call."""
        allowed, bound = self._allowed_group(now, request)
        if not allowed:
            return None, False
        tried = [attempt.server for attempt in request.attempts]
        effective = self._slow_start.effective_servers(now, len(self._servers.ready))
        for servers in self._candidate_groups(now):
            untried = [item for item in servers if item not in tried]
            candidates = [item for item in untried if bound in (None, replica_group(request.kind, item))]
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
        """Return whether an attempt may go out, and the group to which it is bound (None: any server)."""
        ran, effect = request.may_have_run(), request.kind.effect
        bound = replica_group(request.kind, ran[0].server) if ran and effect is Effect.KEYED else None
        earlier = request.request.earlier if effect is Effect.KEYED else None
        if earlier is not None:
            # A caller's second attempt with its key went to any server, also to one of a group that had never
            # received it, or that had forgotten it since.
            known = self._servers.by_address.get(earlier.server)
            if known is not None:
                bound = bound or replica_group(request.kind, known)
            elif request.kind.scope is not Scope.ALL:
                return False, None
        if ran and effect is Effect.UNSAFE:
            return False, None
        forgotten = effect is Effect.KEYED and now - request.first_sent_ms(ran) >= request.kind.memory_ms
        return not forgotten, bound

    def _candidate_groups(self, now: float) -> list[list[TrackedServer]]:
        """Return the servers to rank: those usable now, or the group drawn by its share, then the others."""
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
        """Return the server of the least rank to which slow start allows a call."""
        best, best_rank = None, math.inf
        sibling_calls: float | None = None
        for server in servers:
            rank, warmth = self._rank(now, server), self._slow_start.warmth(now, server)
            if warmth < 1.0:
                # Of many balancers each saw some warm server idle, and the cold ones, a third of what the
                # pool could do, got a twentieth of the calls while the warm ones were jammed.
                if sibling_calls is None:  # in flight at a server by all siblings, taken to be like ours
                    calls = (self.cfg.siblings - 1) * self._servers.in_flight()
                    sibling_calls = calls / max(1.0, effective)
                rank *= min(1.0, 1.0 / (warmth * (1.0 + sibling_calls)))
            if rank < best_rank and self._slow_start.allows(warmth, effective):
                best, best_rank = server, rank
        return best

    def _trial(
        self, now: float, request: RequestState, servers: list[TrackedServer], effective: float
    ) -> TrackedServer | None:
        """Return the one of these servers that is to get a trial call now whatever its rank."""
        # A server whose calls had failed was never sent one again while another one was idle; where each
        # balancer has few calls that was always, and a zone that had come back stood idle for good.
        server = min(servers, key=lambda item: item.last_sent_ms)
        wait_ms = 0.0
        if not server.reinstating:
            wait_ms = TRIAL_INTERVAL_MS * 2.0 ** min(TRIAL_INTERVAL_DOUBLINGS, server.failures)
        if not request.may_be_retried(self.cfg):
            wait_ms *= UNREPEATABLE_INTERVAL_FACTOR
        if now - server.last_sent_ms < wait_ms:
            return None
        return server if self._slow_start.allows(self._slow_start.warmth(now, server), effective) else None

    def _rank(self, now: float, server: TrackedServer) -> float:
        """Return smoothed latency x (queue + 1), over the server's weight and share of good answers."""
        queue = 0.0
        if server.reported_queue:
            decay = math.exp((server.reported_ms - now) / REPORTED_QUEUE_DECAY_MS)
            queue = server.reported_queue * decay
        crossing = ZONE_WEIGHT * self.cfg.cross_zone_price if server.info.zone != self.cfg.zone else 0.0
        length = (server.load + queue + 1.0 + crossing) / server.info.weight
        good = 1.0 - min(0.9, server.error_share)
        factor = self._latency_factor(now, server)
        return factor * length / good * (1.0 + JITTER * (self._rng.random() - 0.5))

    def _latency_factor(self, now: float, server: TrackedServer) -> float:
        """Return its latency over the mean of the others, which is 1; without answers it drifts there."""
        factor = 1.0
        if server.latency_factor is not None:
            factor += (server.latency_factor - 1.0) * math.exp((server.measured_ms - now) / LATENCY_DRIFT_MS)
        if server.pending:
            # A server that hangs shows in its oldest unanswered attempt long before a time-out.
            oldest = next(iter(server.pending.values()))
            silent = server.measured_ms <= oldest.sent_ms
            mean_ms = self._latencies.mean_ms.get(oldest.service_class) if silent else None
            if mean_ms:
                # While the host was busy every server looked as if it hung.
                waited_ms = now - self.lag_ms - oldest.sent_ms
                factor = max(factor, relative_latency(waited_ms, mean_ms, self.cfg.near_ms))
        return factor

    def survey(self, now: float) -> list[tuple[Server, float, float, float]]:
        """Return each server's line of the list, rank, calls in flight and share of errors."""
        state = self._rng.getstate()  # To look must not change what is drawn next.
        rows = []
        for server in self._servers.by_address.values():
            rank = self._rank(now, server) if server.info.weight > 0.0 else math.inf
            rows.append((server.info, rank, server.load, server.error_share))
        self._rng.setstate(state)
        return rows
