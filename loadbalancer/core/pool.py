"""A pool: one balancer, the open requests it knows of, and the upstream that carries their attempts."""

from __future__ import annotations

import asyncio
import logging
from collections import Counter, deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace

from loadbalancer import interface as api
from loadbalancer.balancer import Balancer
from loadbalancer.core.address import Address
from loadbalancer.core.clock import Clock
from loadbalancer.core.turns import turns_of
from loadbalancer.core.types import (
    Answer,
    AnswerCause,
    AnswerKind,
    Attempt,
    Message,
    Reply,
    RequestCapacity,
    Upstream,
)

log = logging.getLogger("loadbalancer")

BACKSTOP_S = 0.005  # after its deadline, a request that the balancer left unanswered is answered for it
FAULT_PAUSE_S = 0.5  # before an alarm or a watch is made up for that a fault of the balancer has lost


@dataclass(slots=True, eq=False)
class OpenRequest:
    """A request that the balancer knows of, until it is answered and all its attempts have ended."""

    id: str
    message: Message  # what the upstream sends, and what the front knows the request by
    deliver: Callable[[OpenRequest, Answer], None]
    give_up_at: float  # by the loop's clock
    kind: str = ""  # its class's name
    backstop: asyncio.TimerHandle | None = None
    done: bool = False
    attempts: list[Attempt | None] = field(default_factory=list)
    out: int = 0
    last: api.Result | None = None
    may_have_run: bool = False  # by an attempt that has ended
    first: api.Earlier | None = None  # the first attempt that may have run, ended or not
    reply: Reply = None  # the last error that a server answered with

    @property
    def error_reply(self) -> Reply:
        """The server's answer if the last attempt ended in an error, else None."""
        return self.reply if self.last is api.Result.ERROR else None


@dataclass(slots=True, frozen=True)
class _Sent:
    """A send of the balancer, and what it was for."""

    action: api.Send
    number: int  # of the attempt
    open_request: OpenRequest | None
    began: float  # by the loop's clock


class Pool:
    """Owns the balancer: makes events of what happens and carries out the actions it returns."""

    def __init__(
        self,
        settings: api.Settings,
        seed: int,
        clock: Clock,
        back: Upstream,
        capacity: RequestCapacity,
        watch: Callable[[], None] = lambda: None,
    ) -> None:
        """`watch` is called when the balancer asks for updates of the server list."""
        self.loop = asyncio.get_running_loop()
        self.turns = turns_of(self.loop)
        self.settings = settings
        self.classes = {kind.name: kind for kind in settings.classes}
        self.clock = clock
        self.back = back
        self.capacity = capacity
        self.watch = watch
        self.balancer = Balancer(settings, seed, clock.ms())
        self.requests: dict[str, OpenRequest] = {}
        self.open = 0  # requests of this pool without a final answer
        self.max_open: int | None = None  # of these, where the list states a limit
        self.up: set[str] = set()
        self.counts: Counter[str] = Counter()
        self.timers: dict[str, asyncio.TimerHandle] = {}
        self.good = 0  # answers, since the start, and of all of them:
        self.own_ms = self.server_ms = 0.0  # what this process took, and what servers did
        self._events: deque[api.Event] = deque()
        self._deciding = False

    def close(self) -> None:
        """Close the connections and stop all timers."""
        self.back.close()
        for timer in self.timers.values():
            timer.cancel()

    def handle(self, event: api.Event) -> None:
        """Hand the balancer an event and carry out its actions; events that come of these are handled after it."""
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
            # A fault of the balancer must leave no caller without an answer, nor stop its alarms and watches.
            log.exception("the decision module failed on %s", type(event).__name__)
            self.counts["faults"] += 1
            self._recover(event)
            return []

    def _recover(self, event: api.Event) -> None:
        """Do what an event of which the balancer has failed would have left undone."""
        if isinstance(event, api.Request | api.Outcome):
            found = self.requests.get(event.id)
            if found is not None and not found.done and not found.out:
                self.answer(found, Answer(AnswerKind.FAILED, AnswerCause.FAULT))
                self._events.append(api.Lapsed(event.id))
        elif isinstance(event, api.Alarm):
            self._wake(FAULT_PAUSE_S, event.name)
        elif isinstance(event, api.Membership) and event.form is api.ListForm.FAILED:
            self.loop.call_later(FAULT_PAUSE_S, self.watch)

    def act(self, action: api.Action) -> None:
        """Carry out an action of the balancer."""
        match action:
            case api.Send():
                self._send(action)
            case api.Refuse():
                self._refuse(action)
            case api.Fail():
                self._fail(action)
            case api.Cancel():
                self._cancel(action)
            case api.Wake():
                self._wake(action.delay_ms / 1000.0, action.name)
            case api.Watch():
                self.watch()

    def _refuse(self, action: api.Refuse) -> None:
        found = self.requests.get(action.id)
        if found is not None:
            answer = Answer(AnswerKind.REFUSED, self._why(found), found.error_reply, action.retry_after_ms)
            self.answer(found, answer)

    def _fail(self, action: api.Fail) -> None:
        found = self.requests.get(action.id)
        if found is not None:
            timed_out = found.last is api.Result.TIMEOUT
            cause = AnswerCause.TIMEOUT if timed_out else AnswerCause.BROKEN
            self.answer(found, Answer(AnswerKind.FAILED, cause, found.error_reply))

    def _cancel(self, action: api.Cancel) -> None:
        found = self.requests.get(action.id)
        if found is None or action.attempt >= len(found.attempts):
            return
        attempt = found.attempts[action.attempt]
        if attempt is not None:
            attempt.cancel()

    def _why(self, open_request: OpenRequest) -> AnswerCause:
        """Return which limit a rejection comes from."""
        if open_request.last is api.Result.NO_ROOM:
            return AnswerCause.NO_ROOM
        return AnswerCause.SHED if self.up else AnswerCause.NO_SERVER

    def _wake(self, delay_s: float, name: str) -> None:
        if (earlier := self.timers.get(name)) is not None:
            earlier.cancel()  # the second of two alarms of one name found its entry gone, and was lost
        self.timers[name] = self.loop.call_later(delay_s, self._on_alarm, name)

    def _on_alarm(self, name: str) -> None:
        del self.timers[name]  # alarms are of requests too, and would be kept for good
        self.handle(api.Alarm(name))

    @property
    def full(self) -> bool:
        """Whether one more request is too many, here or in the process."""
        return self.capacity.full or (self.max_open is not None and self.open >= self.max_open)

    def extend_warm_up(self, cold_ms: float) -> None:
        """Use a list's warm-up time of a server, unless the settings have a longer one.

        A shorter one would let all nodes together push a cold server over.
        """
        if cold_ms > self.settings.cold_ms:
            self.balancer.replace_settings(replace(self.balancer.cfg, cold_ms=cold_ms))

    def rejection(self, request: api.Request) -> Answer | None:
        """Return the rejection of a request that the table does not let in; None: it is to be submitted."""
        found = self.balancer.turns_away(self.clock.ms(), request)
        if found is None:
            request.admitted = True
            return None
        cause = AnswerCause.SHED if self.up else AnswerCause.NO_SERVER
        return Answer(AnswerKind.REFUSED, cause, None, found.retry_after_ms)

    def submit(
        self,
        request: api.Request,
        give_up_at: float,
        message: Message,
        deliver: Callable[[OpenRequest, Answer], None],
    ) -> OpenRequest:
        """Submit a request, whose id no open one of this pool may have.

        `deliver` is called once, perhaps before this returns, and never after `abandon`.
        """
        open_request = OpenRequest(request.id, message, deliver, give_up_at, request.service)
        self.requests[request.id] = open_request
        self.capacity.open += 1
        self.open += 1
        open_request.backstop = self.loop.call_at(give_up_at + BACKSTOP_S, self._on_backstop, open_request)
        self.handle(request)
        return open_request

    def abandon(self, open_request: OpenRequest) -> None:
        """Give up a request whose caller has gone."""
        if not open_request.done:
            self.counts["gone"] += 1
            self._end(open_request)
            self.handle(api.Lapsed(open_request.id))

    def answer_all(self, cause: AnswerCause) -> None:
        """Answer all open requests with a failure; nothing is promised about their effects."""
        for open_request in [found for found in self.requests.values() if not found.done]:
            self.answer(open_request, Answer(AnswerKind.FAILED, cause))
            self.handle(api.Lapsed(open_request.id))

    def answer(self, open_request: OpenRequest, answer: Answer) -> None:
        """Deliver the one final answer; a second one is ignored."""
        if not open_request.done:
            self._end(open_request)
            open_request.deliver(open_request, answer)

    def _end(self, open_request: OpenRequest) -> None:
        open_request.done = True
        self.capacity.open -= 1
        self.open -= 1
        if open_request.backstop is not None:
            open_request.backstop.cancel()
        # Where calls may not be cancelled, what waited to connect was written after its caller had gone. What
        # has not been written completely is this process's own, whatever the settings allow.
        for attempt in open_request.attempts:
            if attempt is not None:
                attempt.give_up_unwritten()
        self._forget(open_request)

    def _forget(self, open_request: OpenRequest) -> None:
        if open_request.done and not open_request.out:
            self.requests.pop(open_request.id, None)

    def _on_backstop(self, open_request: OpenRequest) -> None:
        # Whatever the balancer does, the caller gets an answer while it still waits.
        if not open_request.done:
            self.counts["backstop"] += 1
            self.answer(open_request, Answer(AnswerKind.FAILED, AnswerCause.LATE))
            self.handle(api.Lapsed(open_request.id))

    def _send(self, action: api.Send) -> None:
        open_request = self.requests.get(action.id)
        number = len(open_request.attempts) if open_request is not None else 0
        began = self.loop.time()
        attempt_sent = _Sent(action, number, open_request, began)
        over = open_request is None or open_request.done or open_request.give_up_at <= began
        if open_request is not None:
            open_request.attempts.append(None)  # a moot send has a number too
        if open_request is None or over or number >= self.settings.max_attempts:
            self._outcome(attempt_sent, api.Result.MOOT)
            return
        left = open_request.give_up_at - began
        timeout = min(left, action.timeout_ms / 1000.0) if action.timeout_ms > 0.0 else left
        open_request.out += 1

        sent = api.Earlier(action.server, self.clock.ms(began))
        open_request.first = open_request.first or sent
        window: asyncio.TimerHandle | None = None

        def on_end(
            result: api.Result, reply: Reply, report: dict[str, float] | None, server_s: float = 0.0
        ) -> None:
            if window is not None:
                window.cancel()  # as long as the servers' memory, it kept each repeat with its body
            open_request.out -= 1
            open_request.attempts[number] = None
            if result.never_ran and open_request.first is sent:
                open_request.first = None
            self._outcome(attempt_sent, result, reply, report, server_s)

        attempt = self.back.send(action.server, open_request.message, timeout, on_end)
        if attempt is None:
            on_end(api.Result.CONNECT_FAILED, None, None)
        else:
            open_request.attempts[number] = attempt
            if action.begin_within_ms > 0.0:
                window = self.loop.call_later(action.begin_within_ms / 1000.0, attempt.give_up_unwritten)

    def _outcome(
        self,
        sent: _Sent,
        result: api.Result,
        reply: Reply = None,
        report: dict[str, float] | None = None,
        server_s: float = 0.0,
    ) -> None:
        """Report the one outcome of a send; the first good answer goes to the caller and ends its request."""
        self.counts[result.value] += 1
        action, open_request = sent.action, sent.open_request
        if open_request is not None:
            open_request.last = result
            open_request.may_have_run = open_request.may_have_run or not result.never_ran
            if result is api.Result.OK and reply is not None:
                self.answer(open_request, Answer(AnswerKind.SERVED, AnswerCause.ANSWERED, reply))
            elif result is api.Result.ERROR:
                open_request.reply = reply
            self._forget(open_request)
        done = open_request is None or open_request.done
        latency = server_s * 1000.0
        # A core that was away between an attempt's end and here was taken for a slow server.
        own_ms = max(0.0, (self.loop.time() - sent.began) * 1000.0 - latency)
        if result is api.Result.OK:
            self.good += 1
            self.own_ms += own_ms
            self.server_ms += latency
        self.handle(api.Outcome(action.id, sent.number, action.server, result, latency, done, report, own_ms))

    def on_list_failed(self, complete_until_ms: float | None) -> None:
        """Note that discovery failed; the list lacks no change until that time (Unix, None: until now)."""
        self.counts[f"list {api.ListForm.FAILED.value}"] += 1
        self.handle(api.Membership(api.ListForm.FAILED, complete_until_ms=complete_until_ms))

    def on_server_list(
        self,
        form: api.ListForm,
        servers: tuple[api.Server, ...] = (),
        endpoints: Mapping[str, Address] | None = None,
        levels: api.Levels | None = None,
    ) -> None:
        """Take an update of the server list; `endpoints` has the address of each server that may get requests."""
        if form is api.ListForm.FAILED:
            self.on_list_failed(None)
            return
        self.counts[f"list {form.value}"] += 1
        endpoints = endpoints or {}
        # The balancer is notified first, so that what is given up here is sent elsewhere by the new list.
        self.handle(api.Membership(form, servers, levels))
        if levels is None:
            up = {server.address for server in servers if server.state is api.ServerState.UP}
        else:  # of levels the balancer says which servers may get requests, as unhealthy ones may in a panic
            up = {peer.info.address for peer in self.balancer.ready}
        for server in servers:
            if server.address in up:
                self.back.add(server.address, endpoints[server.address], server.launched_ms)
        gone = {server.address for server in servers} - up if form is api.ListForm.DELTA else self.up - up
        for name in gone:
            self.back.remove(name)
        self.up = (self.up | up) - gone
