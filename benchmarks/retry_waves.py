"""Retries of a thousand nodes in simulated time: do they form waves, and do they end once their cause has ended?

    python benchmarks/retry_waves.py

Each node has its own instance of the production decision module and a list of ten of a hundred servers; nodes share no
state. Servers have cores and a queue; clients retry up to three times after a refusal or a failure, immediately or
after Retry-After, and wait one second in total. Three troubles, with and without retry budgets:

- `cut`: all servers accept requests for 0.9 s without answering, then reset all of them at once;
- `fails`: for 4 s all servers answer with an error immediately;
- `stalls`: for 4 s all servers accept requests and never answer them.

Printed for each: attempts in the busiest tenth of a second after the trouble began relative to the mean before it, the
periodicity of attempts in the 12 s after its end (the highest autocorrelation of 100 ms counts over lags of 0.2 to 3 s,
and the same for the time before it), attempts per request, and the time until requests succeeded as before.
"""

from __future__ import annotations

import argparse
import heapq
import math
import os
import platform
import statistics
import sys
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any

from loadbalancer import interface as api
from loadbalancer.balancer import Balancer
from loadbalancer.sidecar.models import BudgetModel

BASELINE_S, AFTER_TROUBLE_S = 15.0, 14.0
TROUBLES = {"cut": 0.9, "fails": 4.0, "stalls": 4.0}
SERVERS, SERVERS_PER_NODE = 100, 10
CORES, WORK_MS, MAX_QUEUE = 2, 20.0, 200
NETWORK_MS = 1.0
CLIENT_TIMEOUT_MS = 1000.0
MAX_ATTEMPTS = 4
SLICE_MS = 100.0


@dataclass(slots=True, eq=False)
class Attempt:
    node: Node
    job: Job
    number: int
    server: Server
    sent: float
    ended: bool = False


@dataclass(slots=True, eq=False)
class Job:
    id: str
    client: Client
    done: bool = False
    attempts: list[Attempt] = field(default_factory=list)


@dataclass(slots=True, eq=False)
class Client:
    """One client request with all its retries."""

    node: Node
    first_sent_ms: float
    attempt_count: int = 0
    succeeded: bool = False


@dataclass(slots=True, eq=False)
class Server:
    name: str
    busy: int = 0
    waiting: deque[Attempt] = field(default_factory=deque)
    unanswered: list[Attempt] = field(default_factory=list)


@dataclass(slots=True, eq=False)
class Node:
    balancer: Balancer
    jobs: dict[str, Job] = field(default_factory=dict)


class World:
    def __init__(self, nodes: int, rate: float, trouble: str, budget: dict[str, Any], seed: int) -> None:
        self.rng = Random(seed)
        self.now = 0.0
        self.queue: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.order = 0
        self.trouble = ""
        self.kind = trouble
        self.trouble_start_ms = BASELINE_S * 1000.0
        self.trouble_end_ms = self.trouble_start_ms + TROUBLES[trouble] * 1000.0
        self.run_end_ms = self.trouble_end_ms + AFTER_TROUBLE_S * 1000.0
        self.servers = {f"s{at}": Server(f"s{at}") for at in range(SERVERS)}
        kind = api.ServiceClass("read", aim_ms=1000.0, give_up_ms=1000.0, worth=1.0, effect=api.Effect.SAFE)
        settings = api.Settings(
            classes=(kind,),
            siblings=nodes,
            may_cancel=True,
            retry_after=True,
            max_retry_after_ms=2000.0,
            max_attempts=3,
            **budget,
        )
        self.nodes = []
        for _ in range(nodes):
            node = Node(Balancer(settings, self.rng.getrandbits(64), 0.0))
            self.nodes.append(node)
            mine = self.rng.sample(sorted(self.servers), SERVERS_PER_NODE)
            self.handle_event(node, api.Membership(api.ListForm.CACHED, tuple(map(api.Server, mine))))
        self.rate = rate
        self.number = 0
        self.clients: list[Client] = []
        self.slices: list[int] = [0] * (int(self.run_end_ms / SLICE_MS) + 40)
        self.attempts = 0

    # -------------------------------------------------------------------- the clock

    def schedule(self, when: float, what: Callable[..., None], *more: Any) -> None:
        self.order += 1
        heapq.heappush(self.queue, (when, self.order, what, more))

    def run(self) -> None:
        self.schedule(self.rng.expovariate(self.rate / 1000.0), self.arrive)
        self.schedule(self.trouble_start_ms, self.set_trouble, True)
        self.schedule(self.trouble_end_ms, self.set_trouble, False)
        while self.queue and self.queue[0][0] < self.run_end_ms:
            self.now, _, what, more = heapq.heappop(self.queue)
            what(*more)

    def set_trouble(self, begins: bool) -> None:
        self.trouble = self.kind if begins else ""
        for server in self.servers.values():
            if not begins:
                unanswered, server.unanswered = server.unanswered, []
                for attempt in unanswered:
                    if self.kind == "cut":
                        self.end(attempt, api.Result.RESET)

    # ------------------------------------------------------------------- the modules

    def handle_event(self, node: Node, event: api.Event) -> None:
        for act in node.balancer.handle(self.now, event):
            if isinstance(act, api.Send):
                self.send(node, act)
            elif isinstance(act, api.Refuse | api.Fail):
                job = node.jobs.pop(act.id)
                job.done = True
                wait = act.retry_after_ms if isinstance(act, api.Refuse) else 0.0
                self.schedule(self.now + NETWORK_MS + wait, self.send_request, job.client)
            elif isinstance(act, api.Cancel):
                pass
            elif isinstance(act, api.Wake):
                self.schedule(self.now + act.delay_ms, self.handle_event, node, api.Alarm(act.name))

    def send(self, node: Node, act: api.Send) -> None:
        job = node.jobs[act.id]
        attempt = Attempt(node, job, len(job.attempts), self.servers[act.server], self.now)
        job.attempts.append(attempt)
        self.attempts += 1
        self.slices[int(self.now / SLICE_MS)] += 1
        self.schedule(self.now + NETWORK_MS, self.on_arrival, attempt)
        self.schedule(self.now + act.timeout_ms, self.end, attempt, api.Result.TIMEOUT)

    def end(self, attempt: Attempt, result: api.Result) -> None:
        if attempt.ended:
            return
        attempt.ended = True
        job, node = attempt.job, attempt.node
        if result is api.Result.OK and not job.done:
            job.done = job.client.succeeded = True
            node.jobs.pop(job.id, None)
        latency = self.now - attempt.sent
        self.handle_event(
            node, api.Outcome(job.id, attempt.number, attempt.server.name, result, latency, job.done, None)
        )

    # -------------------------------------------------------------------- the servers

    def on_arrival(self, attempt: Attempt) -> None:
        server = attempt.server
        if self.trouble == "fails":
            self.schedule(self.now + NETWORK_MS, self.end, attempt, api.Result.ERROR)
        elif self.trouble:
            server.unanswered.append(attempt)
        elif len(server.waiting) >= MAX_QUEUE:
            self.schedule(self.now + NETWORK_MS, self.end, attempt, api.Result.FULL)
        else:
            server.waiting.append(attempt)
            self.begin(server)

    def begin(self, server: Server) -> None:
        while server.waiting and server.busy < CORES:
            attempt = server.waiting.popleft()
            if attempt.ended:
                continue
            server.busy += 1
            self.schedule(self.now + self.rng.expovariate(1.0 / WORK_MS), self.on_work_done, server, attempt)

    def on_work_done(self, server: Server, attempt: Attempt) -> None:
        server.busy -= 1
        self.schedule(self.now + NETWORK_MS, self.end, attempt, api.Result.OK)
        self.begin(server)

    # -------------------------------------------------------------------- the clients

    def arrive(self) -> None:
        client = Client(self.rng.choice(self.nodes), self.now)
        self.clients.append(client)
        self.send_request(client)
        self.schedule(self.now + self.rng.expovariate(self.rate / 1000.0), self.arrive)

    def send_request(self, client: Client) -> None:
        left = client.first_sent_ms + CLIENT_TIMEOUT_MS - self.now
        if client.succeeded or left <= 1.0 or client.attempt_count >= MAX_ATTEMPTS:
            return
        client.attempt_count += 1
        self.number += 1
        job = Job(f"r{self.number}", client)
        client.node.jobs[job.id] = job
        again = client.attempt_count > 1
        self.handle_event(client.node, api.Request(job.id, "read", self.now + left, is_retry=again))


def autocorrelation(counts: list[int]) -> float:
    """The highest autocorrelation over lags of 0.2 to 3 s."""
    mean = statistics.fmean(counts)
    rest = [count - mean for count in counts]
    power = sum(value * value for value in rest)
    if not power:
        return 0.0
    lags = range(2, min(31, len(rest) // 2))
    return max(sum(one * two for one, two in zip(rest, rest[lag:], strict=False)) / power for lag in lags)


def back_after(world: World) -> float | None:
    """Seconds from the trouble's end until the requests of one second succeed as often as before it; None: never."""
    quiet = [
        one.succeeded for one in world.clients if 3000.0 < one.first_sent_ms < world.trouble_start_ms - 1000.0
    ]
    usual = sum(quiet) / len(quiet)
    for tenth in range(int((AFTER_TROUBLE_S - 3.0) * 10)):
        start = world.trouble_end_ms + tenth * 100.0
        succeeded = [one.succeeded for one in world.clients if start <= one.first_sent_ms < start + 1000.0]
        if succeeded and sum(succeeded) / len(succeeded) >= 0.99 * usual:
            return tenth / 10
    return None


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--nodes", type=int, default=1000)
    parser.add_argument("--rate", type=float, default=5000.0, help="requests a second, over all nodes")
    ours = BudgetModel()  # the defaults of a catalogue
    parser.add_argument("--share", type=float, default=ours.share)
    parser.add_argument("--floor", type=float, default=ours.floor_per_s)
    parser.add_argument("--backoff-ms", type=float, default=ours.backoff_ms)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--troubles", default=",".join(TROUBLES))
    args = parser.parse_args()
    budget = {"retry_share": args.share, "retry_floor_per_s": args.floor, "backoff_ms": args.backoff_ms}
    budget["retry_after_spread"] = 0.5
    print(
        f"{platform.machine()}, {os.cpu_count()} cores, Python {platform.python_version()}; {args.nodes} nodes, "
        f"{SERVERS} servers, {args.rate:g} requests a second of {SERVERS * CORES / WORK_MS * 1000:g}"
    )
    print(f"{'trouble':<8}{'':<9}{'peak':>7}{'repeats':>9}{'quiet':>7}{'attempts':>10}{'back':>7}{'took':>8}")
    for trouble in args.troubles.split(","):
        for name, found in (("plain", {}), ("budgets", budget)):
            began = time.monotonic()
            world = World(args.nodes, args.rate, trouble, found, args.seed)
            world.run()
            first, last = int(world.trouble_start_ms / SLICE_MS), int(world.trouble_end_ms / SLICE_MS)
            usual = statistics.fmean(world.slices[30 : first - 1])
            peak = max(world.slices[first : int(world.run_end_ms / SLICE_MS) - 1]) / usual
            after = autocorrelation(world.slices[last + 2 : last + 122])
            before = autocorrelation(world.slices[30 : first - 1])
            requests = [one for one in world.clients if one.first_sent_ms < world.run_end_ms - 2000.0]
            back = back_after(world)
            shown = "never" if back is None else f"{back:.1f} s"
            print(
                f"{trouble:<8}{name:<9}{peak:>7.2f}{after:>9.2f}{before:>7.2f}"
                f"{world.attempts / max(1, len(requests)):>10.3f}{shown:>7}{time.monotonic() - began:>7.0f} s",
                flush=True,
            )
            assert math.isfinite(peak)
    return 0


if __name__ == "__main__":
    sys.exit(main())
