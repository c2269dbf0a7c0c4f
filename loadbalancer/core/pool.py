"""A pool: one decision module, the requests it was told of, and the back that carries their attempts."""

from __future__ import annotations

import asyncio
import logging
from collections import Counter, deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace
from typing import Any

from loadbalancer import interface as api
from loadbalancer.balancer import Balancer
from loadbalancer.core.address import Address
from loadbalancer.core.clock import Clock
from loadbalancer.core.turns import turns_of
from loadbalancer.core.types import Answer, Attempt, Back, Cause, Kind, Room

log = logging.getLogger("loadbalancer")

BACKSTOP_S = 0.005  # after which a request that the module left unanswered is answered for it
FAULT_PAUSE_S = 0.5  # before an alarm or a watch is tried again that a fault of the module has lost


@dataclass(slots=True, eq=False)
class Job:
    """A request that the module knows of, until it is over and all its attempts have ended."""

    id: str
    message: Any  # what the back sends, and what the front knows the request by
    deliver: Callable[[Job, Answer], None]
    give_up_at: float  # by the loop's clock
    kind: str = ""  # its class's name
    backstop: asyncio.TimerHandle | None = None
    done: bool = False
    attempts: list[Attempt | None] = field(default_factory=list)
    out: int = 0
    last: api.Result | None = None
    may_have_run: bool = False  # by an attempt that has ended
    first: api.Earlier | None = None  # the first attempt that may have run, ended or not
    reply: Any = None  # the last error that a server answered with


class Pool:
    """Owns the decision module: makes events of what happens and carries out the actions it returns."""

    def __init__(
        self,
        settings: api.Settings,
        seed: int,
        clock: Clock,
        back: Back,
        room: Room,
        watch: Callable[[], None] = lambda: None,
    ) -> None:
        """`watch` is called when the module wants news of the server list."""
        self.loop = asyncio.get_running_loop()
        self.turns = turns_of(self.loop)
        self.settings = settings
        self.classes = {kind.name: kind for kind in settings.classes}
        self.clock = clock
        self.back = back
        self.room = room
        self.watch = watch
        self.balancer = Balancer(settings, seed, clock.ms())
        self.jobs: dict[str, Job] = {}
        self.open = 0  # requests of this pool without a final answer
        self.most_open: int | None = None  # of these, where the list states a limit
        self.up: set[str] = set()
        self.counts: Counter[str] = Counter()
        self.timers: dict[str, asyncio.TimerHandle] = {}
        self.good = 0  # answers, since the start, and of all of them:
        self.own_ms = self.server_ms = 0.0  # what this process took, and what servers did
        self._events: deque[api.Event] = deque()
        self._deciding = False

    def close(self) -> None:
        self.back.close()
        for timer in self.timers.values():
            timer.cancel()

    # ----------------------------------------------------------------- the module

    def tell(self, event: api.Event) -> None:
        """Give the module an event and carry out what it says; events that come of that wait their turn."""
        self._events.append(event)
        if self._deciding:
            return
        self._deciding = True
        try:
            while self._events:
                event = self._events.popleft()
                for action in self._decide(event):
                    self.act(action)
        finally:
            self._deciding = False

    def _decide(self, event: api.Event) -> list[api.Action]:
        try:
            now = self.loop.time()
            return self.balancer.handle(self.clock.ms(now), event, self.turns.lag(now) * 1000.0)
        except Exception:
            # Guard: a fault of the module must leave no caller without an answer, nor stop its clockwork.
            log.exception("the decision module failed on %s", type(event).__name__)
            self.counts["faults"] += 1
            if isinstance(event, api.Request | api.Outcome):
                job = self.jobs.get(event.id)
                if job is not None and not job.done and not job.out:
                    self.answer(job, Answer(Kind.FAILED, Cause.FAULT))
                    self._events.append(api.Lapsed(event.id))
            elif isinstance(event, api.Alarm):
                self._wake(FAULT_PAUSE_S, event.name)
            elif isinstance(event, api.Membership) and event.form is api.ListForm.FAILED:
                self.loop.call_later(FAULT_PAUSE_S, self.watch)
            return []

    def act(self, action: api.Action) -> None:
        match action:
            case api.Send():
                self._send(action)
            case api.Refuse():
                job = self.jobs.get(action.id)
                if job is not None:
                    reply = job.reply if job.last is api.Result.ERROR else None
                    self.answer(job, Answer(Kind.REFUSED, self._why(job), reply, action.retry_after_ms))
            case api.Fail():
                job = self.jobs.get(action.id)
                if job is not None:
                    cause = Cause.TIMEOUT if job.last is api.Result.TIMEOUT else Cause.BROKEN
                    reply = job.reply if job.last is api.Result.ERROR else None
                    self.answer(job, Answer(Kind.FAILED, cause, reply))
            case api.Cancel():
                job = self.jobs.get(action.id)
                attempt = job.attempts[action.attempt] if job and action.attempt < len(job.attempts) else None
                if attempt is not None:
                    attempt.cancel()
            case api.Wake():
                self._wake(action.delay_ms / 1000.0, action.name)
            case api.Watch():
                self.watch()

    def _why(self, job: Job) -> Cause:
        """Whose limit a refusal comes from."""
        if job.last is api.Result.NO_ROOM:
            return Cause.NO_ROOM
        return Cause.SHED if self.up else Cause.NO_SERVER

    def _wake(self, delay_s: float, name: str) -> None:
        if (earlier := self.timers.get(name)) is not None:
            earlier.cancel()  # Guard: the second of two alarms of one name found its place empty, and was lost
        self.timers[name] = self.loop.call_later(delay_s, self._on_alarm, name)

    def _on_alarm(self, name: str) -> None:
        del self.timers[name]  # Guard: alarms are of requests too, and would be kept for good
        self.tell(api.Alarm(name))

    # ------------------------------------------------------------------- requests

    @property
    def full(self) -> bool:
        """Whether one more request is too many, here or in the process."""
        return self.room.full or (self.most_open is not None and self.open >= self.most_open)

    def warm_up(self, cold_ms: float) -> None:
        """Take a list's word for how long a server is cold, unless the settings have it for longer.

        Guard: a shorter one would let all nodes together push a cold server over.
        """
        if cold_ms > self.settings.cold_ms:
            self.balancer.replace_settings(replace(self.balancer.cfg, cold_ms=cold_ms))

    def turned_away(self, request: api.Request) -> Answer | None:
        """The refusal of a request that the table does not let in; None: it is to be taken."""
        found = self.balancer.turns_away(self.clock.ms(), request)
        if found is None:
            request.admitted = True
            return None
        cause = Cause.SHED if self.up else Cause.NO_SERVER
        return Answer(Kind.REFUSED, cause, None, found.retry_after_ms)

    def take(
        self, request: api.Request, give_up_at: float, message: Any, deliver: Callable[[Job, Answer], None]
    ) -> Job:
        """Take a request, whose id no open one of this pool may have. `deliver` is called once, perhaps
        before this returns, and never after `leave`."""
        job = Job(request.id, message, deliver, give_up_at, request.service)
        self.jobs[request.id] = job
        self.room.open += 1
        self.open += 1
        job.backstop = self.loop.call_at(give_up_at + BACKSTOP_S, self._on_backstop, job)
        self.tell(request)
        return job

    def leave(self, job: Job) -> None:
        """Its caller has gone."""
        if not job.done:
            self.counts["gone"] += 1
            self._end(job)
            self.tell(api.Lapsed(job.id))

    def answer_all(self, cause: Cause) -> None:
        """End what is open; nothing is promised about its effects."""
        for job in [job for job in self.jobs.values() if not job.done]:
            self.answer(job, Answer(Kind.FAILED, cause))
            self.tell(api.Lapsed(job.id))

    def answer(self, job: Job, answer: Answer) -> None:
        """The one final answer; a second one is ignored."""
        if not job.done:
            self._end(job)
            job.deliver(job, answer)

    def _end(self, job: Job) -> None:
        job.done = True
        self.room.open -= 1
        self.open -= 1
        if job.backstop is not None:
            job.backstop.cancel()
        # Guard: where calls may not be cancelled, what waited to connect was written after its caller had gone. What
        # has not been written whole is this process's own, whatever the settings allow.
        for attempt in job.attempts:
            if attempt is not None:
                attempt.recall()
        self._forget(job)

    def _forget(self, job: Job) -> None:
        if job.done and not job.out:
            self.jobs.pop(job.id, None)

    def _on_backstop(self, job: Job) -> None:
        # Guard: whatever the module does, the caller gets an answer while it still waits.
        if not job.done:
            self.counts["backstop"] += 1
            self.answer(job, Answer(Kind.FAILED, Cause.LATE))
            self.tell(api.Lapsed(job.id))

    # ------------------------------------------------------------------- attempts

    def _send(self, action: api.Send) -> None:
        job = self.jobs.get(action.id)
        number = len(job.attempts) if job is not None else 0
        began = self.loop.time()
        over = job is None or job.done or job.give_up_at <= began
        if job is not None:
            job.attempts.append(None)  # a moot send has a number too
        if job is None or over or number >= self.settings.max_attempts:
            self._outcome(action, number, job, api.Result.MOOT, began)
            return
        left = job.give_up_at - began
        timeout = min(left, action.timeout_ms / 1000.0) if action.timeout_ms > 0.0 else left
        job.out += 1

        sent = api.Earlier(action.server, self.clock.ms(began))
        job.first = job.first or sent
        window: asyncio.TimerHandle | None = None

        def on_end(
            result: api.Result, reply: Any, report: dict[str, float] | None, server_s: float = 0.0
        ) -> None:
            if window is not None:
                window.cancel()  # Guard: as long as the servers' memory, it kept each repeat with its body
            job.out -= 1
            job.attempts[number] = None
            if result.never_ran and job.first is sent:
                job.first = None
            self._outcome(action, number, job, result, began, reply, report, server_s)

        attempt = self.back.send(action.server, job.message, timeout, on_end)
        if attempt is None:
            on_end(api.Result.CONNECT_FAILED, None, None)
        else:
            job.attempts[number] = attempt
            if action.begin_within_ms > 0.0:
                window = self.loop.call_later(action.begin_within_ms / 1000.0, attempt.recall)

    def _outcome(
        self,
        action: api.Send,
        number: int,
        job: Job | None,
        result: api.Result,
        began: float,
        reply: Any = None,
        report: dict[str, float] | None = None,
        server_s: float = 0.0,
    ) -> None:
        """The one outcome of a send. The first good answer goes to the caller and ends its request."""
        self.counts[result.value] += 1
        if job is not None:
            job.last = result
            job.may_have_run = job.may_have_run or not result.never_ran
            if result is api.Result.OK and reply is not None:
                self.answer(job, Answer(Kind.SERVED, Cause.ANSWERED, reply))
            elif result is api.Result.ERROR:
                job.reply = reply
            self._forget(job)
        done = job is None or job.done
        latency = server_s * 1000.0
        # Guard: a core that was away between an attempt's end and here was taken for a slow server.
        own_ms = max(0.0, (self.loop.time() - began) * 1000.0 - latency)
        if result is api.Result.OK:
            self.good += 1
            self.own_ms += own_ms
            self.server_ms += latency
        self.tell(api.Outcome(action.id, number, action.server, result, latency, done, report, own_ms))

    # ------------------------------------------------------------ the server list

    def on_list(
        self,
        form: api.ListForm,
        servers: tuple[api.Server, ...] = (),
        endpoints: Mapping[str, Address] | None = None,
        levels: api.Levels | None = None,
    ) -> None:
        """News of the server list; `endpoints` has the address of each server that may get something new."""
        self.counts[f"list {form.value}"] += 1
        if form is api.ListForm.FAILED:
            self.tell(api.Membership(form))
            return
        endpoints = endpoints or {}
        # The module hears of it first, so that what is withdrawn here is sent on by the new list.
        self.tell(api.Membership(form, servers, levels))
        if levels is None:
            up = {server.address for server in servers if server.state is api.ServerState.UP}
        else:  # of levels the module says which servers may get something, as sick ones may in a panic
            up = {peer.info.address for peer in self.balancer.ready}
        for server in servers:
            if server.address in up:
                self.back.add(server.address, endpoints[server.address], server.launched_ms)
        gone = {server.address for server in servers} - up if form is api.ListForm.DELTA else self.up - up
        for name in gone:
            self.back.remove(name)
        self.up = (self.up | up) - gone
