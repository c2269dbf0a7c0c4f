"""Executes calls at the model servers: live requests with retries, batch items with one attempt each."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from itertools import count
from typing import Protocol

from emberring.admission.attempts import AttemptBudget
from emberring.admission.types import Admitted, CallInfo, CallOutcome, Decision, NoServer, Refused
from emberring.configuration.model import Route
from emberring.configuration.service_choice import choose_service
from emberring.errors import BadRequestError
from emberring.gateway.attempt import Attempt, AttemptContext, AttemptResult, Receiver, UpstreamCall
from emberring.gateway.calls import read_milliseconds, read_prefix_parts, read_token_count
from emberring.gateway.connection_pool import ConnectionPool
from emberring.gateway.items import ItemReceiver, declines_item, item_outcome, item_request
from emberring.gateway.messages import ClientRequest, ResponseHead
from emberring.gateway.ports import AdmissionPort
from emberring.gateway.response import ResponseTimeouts, ServerActivity
from emberring.gateway.responses import DEFAULT_RETRY_AFTER_S, NOT_EXECUTED_STATUSES, GatewayResponse
from emberring.gateway.routable_servers import RoutableServers
from emberring.jobs.items import ItemCall, ItemEvent, ItemOutcome, OutcomeKind

# For calls that may be retried at another server. Clients disconnect after 2 s without data at the earliest. A server
# that sends on other connections is still processing earlier requests, so it gets more time.
LIVE_RESPONSE_TIMEOUTS = ResponseTimeouts(unresponsive_server_s=1.1, active_server_s=10.0)
ITEM_RESPONSE_TIMEOUTS = ResponseTimeouts(unresponsive_server_s=2.5, active_server_s=10.0)
ISOLATED_AFTER_S = 1.0  # without a byte from any server while connections fail
ITEM_LIMIT_S = 60.0  # an attempt of a batch item is cancelled after this time; the item is retried later


class LiveReceiver(Receiver, Protocol):
    """The destination of the response to a live request."""

    async def send_response(self, head: ResponseHead, body: bytes) -> None:
        """Send a complete response of a server; only while nothing was forwarded."""

    def abort_response(self) -> None:
        """End a partly sent response so that the client detects that it is incomplete."""


class Executor:
    """Runs all calls of this process. A call counts in admission from `offer` until its attempt has ended."""

    def __init__(self, admission: AdmissionPort, pool: ConnectionPool, servers: RoutableServers) -> None:
        self._admission = admission
        self._servers = servers
        self._pool = pool
        self._activity = ServerActivity()
        self._context = AttemptContext(pool, admission, self._activity, servers.routable)
        self._call_numbers = count(1)
        self.on_misdirected: Callable[[], None] = lambda: None

    # ----------------------------------------------------------------- live requests

    async def run_live(
        self, request: ClientRequest, route: Route, receiver: LiveReceiver
    ) -> GatewayResponse | None:
        """Execute a live request.

        Returns a response of the gateway itself that must still be sent; None if the receiver got the response.
        """
        call = self._live_call(request, route)
        progress = _AttemptProgress(AttemptBudget(route.max_attempts, route.may_repeat))
        try:
            async with asyncio.timeout_at(call.deadline_s):
                return await self._run_attempts(call, route, receiver, progress)
        except TimeoutError:
            if receiver.started:
                receiver.abort_response()
                return None
            if progress.value.certainly_not_executed and not call.possibly_sent:
                return GatewayResponse(503, "no server took it in time", DEFAULT_RETRY_AFTER_S)
            return GatewayResponse(504, "no answer in time")

    def _live_call(self, request: ClientRequest, route: Route) -> UpstreamCall:
        limit_ms = route.timeout_ms
        deadline_ms = read_milliseconds(request.header(b"deadline-ms"))
        if deadline_ms is not None:
            limit_ms = min(limit_ms, deadline_ms)
        resume_after = request.header(b"last-event-id")
        return UpstreamCall(
            id=f"r{next(self._call_numbers)}",
            request=request,
            idempotent=route.may_repeat,
            deadline_s=request.arrived_s + limit_ms / 1000.0,
            last_event_id=int(resume_after) if resume_after and resume_after.isdigit() else None,
        )

    async def _run_attempts(
        self, call: UpstreamCall, route: Route, receiver: LiveReceiver, progress: _AttemptProgress
    ) -> GatewayResponse | None:
        excluded: set[str] = set()
        broken_servers: set[str] = set()  # excluded servers that may be used again if no other server is left
        last: AttemptResult | None = None
        while True:
            decision = self._offer(call, route, excluded, admitted=last is not None)
            if isinstance(decision, NoServer) and broken_servers:
                excluded -= broken_servers
                broken_servers.clear()
                decision = self._offer(call, route, excluded, admitted=True)
            if not isinstance(decision, Admitted):
                return await self._respond_to_failure(receiver, progress, last, decision)
            excluded.add(decision.server_id)
            last = await self._attempt(
                call, decision.server_id, receiver, self._response_timeouts(route, progress)
            )
            if last.outcome is CallOutcome.COMPLETED:
                await self._finish_response(receiver, last)
                return None
            if last.outcome is CallOutcome.BROKEN:
                broken_servers.add(decision.server_id)
            progress.value = progress.value.after(last.outcome)
            resumable = not receiver.started or (route.resumable and call.continuable)
            if not resumable or not progress.value.allows_another(last.outcome):
                return await self._respond_to_failure(receiver, progress, last, None)
            call.resumed = receiver.started

    def _offer(self, call: UpstreamCall, route: Route, excluded: set[str], admitted: bool) -> Decision:
        """Offer an attempt of a live request to admission."""
        info = self._call_info(call, route, excluded, admitted)
        return self._admission.offer(asyncio.get_running_loop().time(), info)

    @staticmethod
    async def _finish_response(receiver: LiveReceiver, result: AttemptResult) -> None:
        """Finish the response after an attempt to which the server sent a complete response."""
        if result.head is None:
            return  # a success, which the attempt has forwarded to its end
        if receiver.started:
            # Guard: a failure joined to the events of an earlier attempt would look like a complete stream.
            receiver.abort_response()
            return
        await receiver.send_response(result.head, result.body)

    @staticmethod
    def _response_timeouts(route: Route, progress: _AttemptProgress) -> ResponseTimeouts | None:
        """Return the timeouts of the next attempt; None if no retry is possible after it."""
        retry_possible = route.may_repeat and progress.value.executed + 1 < route.max_attempts
        return LIVE_RESPONSE_TIMEOUTS if retry_possible else None

    async def _respond_to_failure(
        self,
        receiver: LiveReceiver,
        progress: _AttemptProgress,
        last: AttemptResult | None,
        decision: Decision | None,
    ) -> GatewayResponse | None:
        if receiver.started:
            receiver.abort_response()
            return None
        if progress.value.certainly_not_executed:
            return GatewayResponse(503, "not taken", _retry_after_s(decision, last))
        failed = last.head if last is not None and last.outcome is CallOutcome.FAILED else None
        # The client reads such a status as "not executed", which the server did not guarantee.
        if last is not None and failed is not None and failed.status not in NOT_EXECUTED_STATUSES:
            await receiver.send_response(failed, last.body)
            return None
        if last is not None and last.outcome is CallOutcome.SILENT:
            return GatewayResponse(504, "the server fell silent")
        return GatewayResponse(502, "the server's answer broke off or was none")

    def isolated(self, now_s: float) -> bool:
        """Return whether connections fail and no server has sent a byte for `ISOLATED_AFTER_S`."""
        return (
            self._pool.last_unreachable_s > self._activity.latest_s
            and now_s - self._activity.latest_s > ISOLATED_AFTER_S
        )

    # ---------------------------------------------------------------- batch items

    def batch_capacity(self) -> dict[str, int]:
        """Return how many more batch items would be admitted now, by each service that has servers."""
        capacity = self._admission.batch_capacity(asyncio.get_running_loop().time())
        return {service: capacity.get(service, 0) for service in self._servers.services()}

    async def run_item(self, item: ItemCall, on_events: Callable[[list[ItemEvent]], None]) -> ItemOutcome:
        """Run one attempt of a batch item; an item that can't be written as a request is impossible."""
        loop = asyncio.get_running_loop()
        try:
            request = item_request(item, loop.time())
        except BadRequestError:
            return ItemOutcome(OutcomeKind.IMPOSSIBLE_422)
        call = UpstreamCall(
            id=f"i{next(self._call_numbers)}",
            request=request,
            idempotent=True,
            deadline_s=loop.time() + ITEM_LIMIT_S,
            allowed=item.still_allowed,
            send_deadline=False,
            stream_only=True,
            last_event_id=item.resume_after,
            resumed=item.resume_after is not None,
        )
        info = self._call_info(call, item.route, set(), due_s=item.due_s)
        service = info.service or None
        decision = self._admission.offer(loop.time(), info)
        if not isinstance(decision, Admitted):
            return ItemOutcome(OutcomeKind.NOT_RUN, service)
        try:
            async with asyncio.timeout_at(call.deadline_s):
                result = await self._attempt(
                    call, decision.server_id, ItemReceiver(on_events), ITEM_RESPONSE_TIMEOUTS
                )
        except TimeoutError:
            return ItemOutcome(OutcomeKind.BROKEN, service)
        return ItemOutcome(item_outcome(result), service, declines_item(result))

    # ---------------------------------------------------------------- both

    def _call_info(
        self,
        call: UpstreamCall,
        route: Route,
        excluded: set[str],
        admitted: bool = False,
        due_s: float | None = None,
    ) -> CallInfo:
        """Return what admission needs to know; `due_s` is when a batch item is due, and None for a live request."""
        request = call.request
        batch = due_s is not None
        service = choose_service(route, request.request_id, self._servers.has_servers)
        tokens_in, tokens_out = read_token_count(request.header(b"token-count"))
        return CallInfo(
            id=call.id,
            service=service or "",
            route=route.name,
            priority=route.priority,
            batch=batch,
            tokens_in=tokens_in,
            tokens_out=tokens_out,
            parts=read_prefix_parts(request.header(b"prefix-hash")),
            latency_target_ms=route.target_latency_ms,
            deadline_s=call.deadline_s if due_s is None else due_s,
            target_s=route.completion_target_ms / 1000.0 if batch else 0.0,
            excluded=frozenset(excluded),
            admitted=admitted,
        )

    async def _attempt(
        self, call: UpstreamCall, server_id: str, receiver: Receiver, timeouts: ResponseTimeouts | None
    ) -> AttemptResult:
        server = self._servers.routable(server_id)
        if server is None:
            self._admission.finished(asyncio.get_running_loop().time(), call.id, CallOutcome.NOT_SENT)
            return AttemptResult(CallOutcome.NOT_SENT)
        result = await Attempt(self._context, call, server, receiver, timeouts).run()
        if result.outcome is CallOutcome.WRONG_SERVER:
            self._servers.mark_misdirected(server_id)
            self._pool.close_idle(server_id)
            self.on_misdirected()
        return result

    def forget_absent(self, present: set[str]) -> None:
        """Remove the state of servers that no longer exist."""
        self._activity.keep_only(present)


class _AttemptProgress:
    """The attempt budget of a live request, mutable so that the timeout handler of `run_live` sees its latest value."""

    def __init__(self, value: AttemptBudget) -> None:
        self.value = value


def _retry_after_s(decision: Decision | None, last: AttemptResult | None) -> float:
    """Return after how many seconds the client may retry a refused request."""
    if isinstance(decision, Refused):
        return max(0.001, decision.retry_after_s)
    retry_after = last.head.header(b"retry-after") if last is not None and last.head is not None else None
    try:
        return max(0.001, float(retry_after)) if retry_after is not None else DEFAULT_RETRY_AFTER_S
    except ValueError:
        return DEFAULT_RETRY_AFTER_S
