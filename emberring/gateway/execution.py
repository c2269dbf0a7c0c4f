"""Runs calls against the model servers: live requests through all their attempts, items of lots one attempt each."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from itertools import count
from typing import Protocol

from emberring.admission.attempts import AttemptBudget
from emberring.admission.types import Admitted, CallInfo, CallOutcome, Decision, NoServer, Refused
from emberring.configuration.model import Route
from emberring.gateway.answers import PROMISES, RETRY_SOON_S, OwnAnswer
from emberring.gateway.attempt import Attempt, Call, Ended, Means, Receiver
from emberring.gateway.calls import choose_service, read_milliseconds, read_parts, read_token_count
from emberring.gateway.items import ItemReceiver, item_outcome, item_request
from emberring.gateway.messages import ClientRequest
from emberring.gateway.pool import ServerPool
from emberring.gateway.ports import AdmissionPort
from emberring.gateway.reply import Hearing, Patience
from emberring.gateway.servers import ServerBook
from emberring.jobs.items import ItemCall, ItemEvent, ItemOutcome, OutcomeKind

# With calls that may go to another server. Clients leave after 2 s of silence at the earliest; a server that is heard
# elsewhere is at work on what came before.
LIVE_PATIENCE = Patience(dark_s=1.1, alive_s=10.0)
ITEM_PATIENCE = Patience(dark_s=2.5, alive_s=10.0)
CUT_OFF_S = 1.0  # without a word from any server, while connections to them fail
ITEM_LIMIT_S = 60.0  # an item that still speaks after so long is begun anew later


class LiveReceiver(Receiver, Protocol):
    """The client's end of a live request."""

    def break_off(self) -> None:
        """End an answer that was begun so that it can't look complete."""


class Executor:
    """All calls of this process. A call is in admission's count from `offer` until its attempt is over."""

    def __init__(self, admission: AdmissionPort, pool: ServerPool, book: ServerBook) -> None:
        self._admission = admission
        self._book = book
        self._pool = pool
        self._hearing = Hearing()
        self._means = Means(pool, admission, self._hearing, book.sendable)
        self._numbers = count(1)
        self.on_misdirected: Callable[[], None] = lambda: None

    # ----------------------------------------------------------------- live requests

    async def run_live(
        self, request: ClientRequest, route: Route, receiver: LiveReceiver
    ) -> OwnAnswer | None:
        """Carry a request out. What is returned is still to be sent; None: the receiver has got its answer."""
        call = self._live_call(request, route)
        budget = _Progress(AttemptBudget(route.max_attempts, route.may_repeat))
        try:
            async with asyncio.timeout_at(call.end_s):
                return await self._serve(call, route, receiver, budget)
        except TimeoutError:
            if receiver.started:
                receiver.break_off()
                return None
            if budget.value.certainly_not_executed and not call.sent:
                return OwnAnswer(503, "no server took it in time", RETRY_SOON_S)
            return OwnAnswer(504, "no answer in time")

    def _live_call(self, request: ClientRequest, route: Route) -> Call:
        limit_ms = route.timeout_ms
        deadline_ms = read_milliseconds(request.header(b"deadline-ms"))
        if deadline_ms is not None:
            limit_ms = min(limit_ms, deadline_ms)
        asked_after = request.header(b"last-event-id")
        return Call(
            id=f"r{next(self._numbers)}",
            request=request,
            may_repeat=route.may_repeat,
            end_s=request.arrived_s + limit_ms / 1000.0,
            last_event_id=int(asked_after) if asked_after and asked_after.isdigit() else None,
        )

    async def _serve(
        self, call: Call, route: Route, receiver: LiveReceiver, progress: _Progress
    ) -> OwnAnswer | None:
        excluded: set[str] = set()
        broken: set[str] = (
            set()
        )  # of these, those that answered and may be asked again where there is no other
        last: Ended | None = None
        while True:
            decision = self._offer(call, route, excluded, batch=False, admitted=last is not None)
            if isinstance(decision, NoServer) and broken:
                excluded -= broken
                broken.clear()
                decision = self._offer(call, route, excluded, batch=False, admitted=True)
            if not isinstance(decision, Admitted):
                return await self._give_up(call, receiver, progress, last, decision)
            excluded.add(decision.server_id)
            last = await self._attempt(call, decision.server_id, receiver, self._patience(route, progress))
            if last.outcome is CallOutcome.COMPLETED:
                if last.head is not None:
                    await receiver.end(last.head, last.body)
                return None
            if last.outcome is CallOutcome.BROKEN:
                broken.add(decision.server_id)
            progress.value = progress.value.after(last.outcome)
            resumable = not receiver.started or (route.resumable and call.last_event_id is not None)
            if not resumable or not progress.value.allows_another(last.outcome):
                return await self._give_up(call, receiver, progress, last, None)
            call.resumed = receiver.started

    @staticmethod
    def _patience(route: Route, progress: _Progress) -> Patience | None:
        """A silence is given up only while another server may be asked."""
        another = route.may_repeat and progress.value.executed + 1 < route.max_attempts
        return LIVE_PATIENCE if another else None

    async def _give_up(
        self,
        call: Call,
        receiver: LiveReceiver,
        progress: _Progress,
        last: Ended | None,
        decision: Decision | None,
    ) -> OwnAnswer | None:
        if receiver.started:
            receiver.break_off()
            return None
        if progress.value.certainly_not_executed:
            return OwnAnswer(503, "not taken", _retry_after_s(decision, last))
        failed = last.head if last is not None and last.outcome is CallOutcome.FAILED else None
        # A status that promises what the server did not promise is not passed on.
        if last is not None and failed is not None and failed.status not in PROMISES:
            await receiver.end(failed, last.body)
            return None
        if last is not None and last.outcome is CallOutcome.SILENT:
            return OwnAnswer(504, "the server fell silent")
        return OwnAnswer(502, "the server's answer broke off or was none")

    def cut_off(self, now_s: float) -> bool:
        """Whether connections to servers fail and none was heard since, for a while."""
        return self._pool.unreachable_s > self._hearing.latest and now_s - self._hearing.latest > CUT_OFF_S

    # ---------------------------------------------------------------- items of lots

    def batch_room(self) -> int:
        """How many more items admission would take now."""
        return self._admission.batch_room(asyncio.get_running_loop().time())

    async def run_item(self, item: ItemCall, on_events: Callable[[list[ItemEvent]], None]) -> ItemOutcome:
        """Run an item once, at one server."""
        loop = asyncio.get_running_loop()
        call = Call(
            id=f"i{next(self._numbers)}",
            request=item_request(item, loop.time()),
            may_repeat=True,
            end_s=loop.time() + ITEM_LIMIT_S,
            allowed=item.still_allowed,
            tell_deadline=False,
            stream_only=True,
            last_event_id=item.resume_after,
            resumed=item.resume_after is not None,
        )
        decision = self._offer(call, item.route, set(), batch=True, due_s=item.due_s)
        if not isinstance(decision, Admitted):
            return ItemOutcome(OutcomeKind.NOT_RUN)
        try:
            async with asyncio.timeout_at(call.end_s):
                ended = await self._attempt(call, decision.server_id, ItemReceiver(on_events), ITEM_PATIENCE)
        except TimeoutError:
            return ItemOutcome(OutcomeKind.BROKEN)
        return item_outcome(ended)

    # -------------------------------------------------------------------------- both

    def _offer(
        self,
        call: Call,
        route: Route,
        excluded: set[str],
        batch: bool,
        admitted: bool = False,
        due_s: float | None = None,
    ) -> Decision:
        request = call.request
        service = choose_service(route, request.request_id, self._book.has_servers)
        tokens_in, tokens_out = read_token_count(request.header(b"token-count"))
        info = CallInfo(
            id=call.id,
            service=service or "",
            route=route.name,
            priority=route.priority,
            batch=batch,
            tokens_in=tokens_in,
            tokens_out=tokens_out,
            parts=read_parts(request.header(b"prefix-hash")),
            latency_target_ms=route.target_latency_ms,
            deadline_s=call.end_s if due_s is None else due_s,
            target_s=route.completion_target_ms / 1000.0 if batch else 0.0,
            excluded=frozenset(excluded),
            admitted=admitted,
        )
        return self._admission.offer(asyncio.get_running_loop().time(), info)

    async def _attempt(
        self, call: Call, server_id: str, receiver: Receiver, patience: Patience | None
    ) -> Ended:
        server = self._book.sendable(server_id)
        if server is None:
            self._admission.finished(asyncio.get_running_loop().time(), call.id, CallOutcome.NOT_SENT)
            return Ended(CallOutcome.NOT_SENT)
        ended = await Attempt(self._means, call, server, receiver, patience).run()
        if ended.outcome is CallOutcome.WRONG_SERVER and ended.head is not None:
            answered_by = ended.head.header(b"instance-id")
            if answered_by is not None and answered_by != server_id.encode("latin-1"):
                self._book.misdirect(server_id)
                self._pool.forget(server_id)
                self.on_misdirected()
        return ended

    def forget_absent(self, present: set[str]) -> None:
        """Drop what is kept about servers that are gone."""
        self._hearing.keep_only(present)


class _Progress:
    """The budget of a live request, kept where the end of its time can read it."""

    def __init__(self, value: AttemptBudget) -> None:
        self.value = value


def _retry_after_s(decision: Decision | None, last: Ended | None) -> float:
    """When a refused request may come back (seconds)."""
    if isinstance(decision, Refused):
        return max(0.001, decision.retry_after_s)
    told = last.head.header(b"retry-after") if last is not None and last.head is not None else None
    try:
        return max(0.001, float(told)) if told is not None else RETRY_SOON_S
    except ValueError:
        return RETRY_SOON_S
