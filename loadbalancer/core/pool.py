"""A pool: one balancer, its open requests, and the upstream that sends their attempts."""

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

BACKSTOP_S = 0.005  # past its deadline, a request that the balancer left unanswered is failed here
FAULT_PAUSE_S = 0.5  # before an alarm or a watch that an exception in the balancer has lost is repeated


@dataclass(slots=True, eq=False)
class OpenRequest:
    """A request submitted to the balancer, until it is answered and all its attempts have ended."""

    id: str
    message: Message  # sent by the upstream; the frontend finds its caller in it
    deliver: Callable[[OpenRequest, Answer], None]
    give_up_at: float  # by the loop's clock
    kind: str = ""  # its class's name
    backstop: asyncio.TimerHandle | None = None
    done: bool = False
    attempts: list[Attempt | None] = field(default_factory=list)
    attempts_in_flight: int = 0
    last_result: api.Result | None = None
    may_have_run: bool = False  # an attempt that has ended may have executed it
    first_attempt: api.Earlier | None = None  # the first attempt that may have run, ended or not
    last_error_reply: Reply = None  # the last error that a server answered with

    @property
    def error_reply(self) -> Reply:
        """The server's error answer if the last attempt ended in one, else None."""
        return self.last_error_reply if self.last_result is api.Result.ERROR else None


@dataclass(slots=True, frozen=True)
class _Sent:
    """A send action of the balancer, and the attempt made for it."""

    action: api.Send
    number: int  # of the attempt
    open_request: OpenRequest | None
    began: float  # by the loop's clock


class Pool:
    """Feeds the balancer with events and carries out the actions that it returns."""

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
        self.max_open: int | None = None  # limit of `open`, where the server list sets one
        self.up: set[str] = set()
        self.counts: Counter[str] = Counter()
        self.timers: dict[str, asyncio.TimerHandle] = {}
        self.good_answers = 0  # successful attempts since the start
        # Their total duration: the parts spent in this process and in servers.
        self.own_ms = self.server_ms = 0.0
        self._events: deque[api.Event] = deque()
        self._deciding = False

    def close(self) -> None:
        """Close the connections and stop all timers."""
        self.back.close()
        for timer in self.timers.values():
            timer.cancel()

    def handle(self, event: api.Event) -> None:
        """Pass an event to the balancer and carry out its actions; events caused by these are queued behind it."""
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
            # An exception in the balancer must not leave a caller without an answer, nor stop alarms and watches.
            log.exception("the balancer raised an exception on %s", type(event).__name__)
            self.counts["faults"] += 1
            self._recover(event)
            return []

    def _recover(self, event: api.Event) -> None:
        """Make up for an event on which the balancer raised: answer its request, or repeat its alarm or watch."""
        if isinstance(event, api.Request | api.Outcome):
            open_request = self.requests.get(event.id)
            if open_request is not None and not open_request.done and not open_request.attempts_in_flight:
                self.answer(open_request, Answer(AnswerKind.FAILED, AnswerCause.FAULT))
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
            answer = Answer(AnswerKind.REFUSED, self._cause(found), found.error_reply, action.retry_after_ms)
            self.answer(found, answer)

    def _fail(self, action: api.Fail) -> None:
        open_request = self.requests.get(action.id)
        if open_request is not None:
            timed_out = open_request.last_result is api.Result.TIMEOUT
            cause = AnswerCause.TIMEOUT if timed_out else AnswerCause.BROKEN
            self.answer(open_request, Answer(AnswerKind.FAILED, cause, open_request.error_reply))

    def _cancel(self, action: api.Cancel) -> None:
        open_request = self.requests.get(action.id)
        if open_request is None or action.attempt >= len(open_request.attempts):
            return
        attempt = open_request.attempts[action.attempt]
        if attempt is not None:
            attempt.cancel()

    def _cause(self, open_request: OpenRequest) -> AnswerCause:
        """Return the limit that caused a rejection."""
        if open_request.last_result is api.Result.NO_ROOM:
            return AnswerCause.NO_ROOM
        return AnswerCause.SHED if self.up else AnswerCause.NO_SERVER

    def _wake(self, delay_s: float, name: str) -> None:
        if (earlier := self.timers.get(name)) is not None:
            earlier.cancel()  # else the first alarm would remove the entry of the second one of that name
        self.timers[name] = self.loop.call_later(delay_s, self._on_alarm, name)

    def _on_alarm(self, name: str) -> None:
        del self.timers[name]  # alarms of requests have unique names, so the entries would pile up
        self.handle(api.Alarm(name))

    @property
    def full(self) -> bool:
        """Whether the pool or the process has reached its limit of open requests."""
        return self.capacity.full or (self.max_open is not None and self.open >= self.max_open)

    def extend_warm_up(self, cold_ms: float) -> None:
        """Use the warm-up time from a server list, unless the settings have a longer one.

        With a shorter one, all nodes together could overload a cold server.
        """
        if cold_ms > self.settings.cold_ms:
            self.balancer.replace_settings(replace(self.balancer.cfg, cold_ms=cold_ms))

    def rejection(self, request: api.Request) -> Answer | None:
        """Return the rejection of a request that the threshold table does not admit; None: it may be submitted."""
        refusal = self.balancer.reject_if_over_threshold(self.clock.ms(), request)
        if refusal is None:
            request.admitted = True
            return None
        cause = AnswerCause.SHED if self.up else AnswerCause.NO_SERVER
        return Answer(AnswerKind.REFUSED, cause, None, refusal.retry_after_ms)

    def submit(
        self,
        request: api.Request,
        give_up_at: float,
        message: Message,
        deliver: Callable[[OpenRequest, Answer], None],
    ) -> OpenRequest:
        """Submit a request, whose id must be unique among the open requests of this pool.

        `deliver` is called once, possibly before this returns, and never after `abandon`.
        """
        open_request = OpenRequest(request.id, message, deliver, give_up_at, request.service)
        self.requests[request.id] = open_request
        self.capacity.open += 1
        self.open += 1
        open_request.backstop = self.loop.call_at(give_up_at + BACKSTOP_S, self._on_backstop, open_request)
        self.handle(request)
        return open_request

    def abandon(self, open_request: OpenRequest) -> None:
        """End a request whose caller has disconnected."""
        if not open_request.done:
            self.counts["gone"] += 1
            self._end(open_request)
            self.handle(api.Lapsed(open_request.id))

    def answer_all(self, cause: AnswerCause) -> None:
        """Answer all open requests with a failure; they may have taken effect."""
        for open_request in [request for request in self.requests.values() if not request.done]:
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
        # Without this, where the settings forbid cancelling calls, an attempt that waits for a connection would be sent
        # after its caller has left. No server has received an unwritten attempt in full, so it may always be withdrawn.
        for attempt in open_request.attempts:
            if attempt is not None:
                attempt.give_up_unwritten()
        self._forget(open_request)

    def _forget(self, open_request: OpenRequest) -> None:
        if open_request.done and not open_request.attempts_in_flight:
            self.requests.pop(open_request.id, None)

    def _on_backstop(self, open_request: OpenRequest) -> None:
        # The caller gets an answer while it still waits, even if the balancer never decides.
        if not open_request.done:
            self.counts["backstop"] += 1
            self.answer(open_request, Answer(AnswerKind.FAILED, AnswerCause.LATE))
            self.handle(api.Lapsed(open_request.id))

    def _send(self, action: api.Send) -> None:
        open_request = self.requests.get(action.id)
        number = len(open_request.attempts) if open_request is not None else 0
        began = self.loop.time()
        attempt_sent = _Sent(action, number, open_request, began)
        expired = open_request is None or open_request.done or open_request.give_up_at <= began
        if open_request is not None:
            open_request.attempts.append(None)  # a send that is not carried out takes a number too
        if open_request is None or expired or number >= self.settings.max_attempts:
            self._outcome(attempt_sent, api.Result.MOOT)
            return
        left_s = open_request.give_up_at - began
        timeout_s = min(left_s, action.timeout_ms / 1000.0) if action.timeout_ms > 0.0 else left_s
        open_request.attempts_in_flight += 1

        sent = api.Earlier(action.server, self.clock.ms(began))
        open_request.first_attempt = open_request.first_attempt or sent
        begin_timer: asyncio.TimerHandle | None = None

        def on_end(
            result: api.Result, reply: Reply, report: dict[str, float] | None, server_s: float = 0.0
        ) -> None:
            if begin_timer is not None:
                # The timer's delay may be minutes (the servers' memory of keys); it would keep the request alive.
                begin_timer.cancel()
            open_request.attempts_in_flight -= 1
            open_request.attempts[number] = None
            if result.never_ran and open_request.first_attempt is sent:
                open_request.first_attempt = None
            self._outcome(attempt_sent, result, reply, report, server_s)

        attempt = self.back.send(action.server, open_request.message, timeout_s, on_end)
        if attempt is None:
            on_end(api.Result.CONNECT_FAILED, None, None)
        else:
            open_request.attempts[number] = attempt
            if action.begin_within_ms > 0.0:
                begin_timer = self.loop.call_later(action.begin_within_ms / 1000.0, attempt.give_up_unwritten)

    def _outcome(
        self,
        sent: _Sent,
        result: api.Result,
        reply: Reply = None,
        report: dict[str, float] | None = None,
        server_s: float = 0.0,
    ) -> None:
        """Report the one outcome of a send; the first successful answer is delivered and ends the request."""
        self.counts[result.value] += 1
        action, open_request = sent.action, sent.open_request
        if open_request is not None:
            open_request.last_result = result
            open_request.may_have_run = open_request.may_have_run or not result.never_ran
            if result is api.Result.OK and reply is not None:
                self.answer(open_request, Answer(AnswerKind.SERVED, AnswerCause.ANSWERED, reply))
            elif result is api.Result.ERROR:
                open_request.last_error_reply = reply
            self._forget(open_request)
        done = open_request is None or open_request.done
        latency_ms = server_s * 1000.0
        # Measured from the send: lost CPU time between the attempt's end and here must not count as server latency.
        own_ms = max(0.0, (self.loop.time() - sent.began) * 1000.0 - latency_ms)
        if result is api.Result.OK:
            self.good_answers += 1
            self.own_ms += own_ms
            self.server_ms += latency_ms
        self.handle(
            api.Outcome(action.id, sent.number, action.server, result, latency_ms, done, report, own_ms)
        )

    def on_list_failed(self, complete_until_ms: float | None) -> None:
        """Note that discovery failed; the list is complete up to this Unix time in ms (None: now)."""
        self.counts[f"list {api.ListForm.FAILED.value}"] += 1
        self.handle(api.Membership(api.ListForm.FAILED, complete_until_ms=complete_until_ms))

    def on_server_list(
        self,
        form: api.ListForm,
        servers: tuple[api.Server, ...] = (),
        endpoints: Mapping[str, Address] | None = None,
        levels: api.Levels | None = None,
    ) -> None:
        """Apply an update of the server list; `endpoints` has the address of each server that may get requests."""
        if form is api.ListForm.FAILED:
            self.on_list_failed(None)
            return
        self.counts[f"list {form.value}"] += 1
        endpoints = endpoints or {}
        # The balancer is notified first, so that it resends by the new list the attempts that are ended here.
        self.handle(api.Membership(form, servers, levels))
        if levels is None:
            up = {server.address for server in servers if server.state is api.ServerState.UP}
        else:  # with priority levels the balancer decides: in panic mode unhealthy servers get requests too
            up = {peer.info.address for peer in self.balancer.ready}
        for server in servers:
            if server.address in up:
                self.back.add(server.address, endpoints[server.address], server.launched_ms)
        gone = {server.address for server in servers} - up if form is api.ListForm.DELTA else self.up - up
        for name in gone:
            self.back.remove(name)
        self.up = (self.up | up) - gone
