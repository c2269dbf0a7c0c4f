"""An emulated client of live streams: it reads events as they arrive and retries only requests that did not run."""

from __future__ import annotations

import asyncio
import random
import secrets
from collections.abc import Callable
from enum import Enum

import attrs
import httpcore

from emberring.emulator.configurations import HOST
from emberring.emulator.events import EventReader, StreamEvent
from emberring.emulator.http_calls import headers_by_name, timeout_extension

NOT_EXECUTED_STATUSES = frozenset({408, 421, 429, 503})
CONNECT_TIMEOUT_S = 1.0
READ_TIMEOUT_S = 2.0


class StreamEnd(Enum):
    """How a stream ended for its client."""

    SERVED = "served"
    REJECTED = "refused"  # a status that guarantees that the request was not executed
    FAILED = "failed"  # 500, 502 or 504: the request may have been executed
    CLIENT_ERROR = "denied"  # another 4xx status
    BROKEN = "broken"  # the connection ended early
    TIMED_OUT = "silent"
    NOT_REACHED = "not reached"  # no connection was established


RETRYABLE_ENDS = frozenset({StreamEnd.REJECTED, StreamEnd.NOT_REACHED})


@attrs.frozen
class StreamCall:
    """A client's call; the last part of its prompt is not shared with other calls."""

    path: str
    body: bytes
    prompt_parts: tuple[tuple[str, int], ...]
    output_tokens: int
    deadline_s: float = 5.0
    host: str = HOST


@attrs.frozen
class StreamResult:
    """The result of one attempt: `first_s` is the delay of the first event, `gap_s` the longest pause after it (s)."""

    request_id: str
    end: StreamEnd
    status: int
    signature: str
    events: tuple[StreamEvent, ...]
    started_s: float
    first_s: float
    gap_s: float
    duration_s: float
    retry_after_s: float = 0.0
    detail: str = ""


def stream_headers(call: StreamCall, request_id: str, remaining_s: float) -> list[tuple[str, str]]:
    """Return the headers of a generation request."""
    prompt = sum(tokens for _, tokens in call.prompt_parts)
    return [
        ("Host", call.host),
        ("Request-Id", request_id),
        ("Model", "m"),
        ("Token-Count", f"{prompt},{call.output_tokens}"),
        ("Prefix-Hash", ",".join(f"{name}:{tokens}" for name, tokens in call.prompt_parts)),
        ("Deadline-Ms", str(max(1, int(remaining_s * 1000)))),
    ]


class _ResponseState:
    """The state of one attempt while its response arrives."""

    def __init__(self, request_id: str, now: float) -> None:
        self.request_id = request_id
        self.started_s = now
        self.status = 0
        self.headers: dict[str, str] = {}
        self.reader = EventReader()
        self.events: list[StreamEvent] = []
        self.first_s = 0.0
        self.gap_s = 0.0
        self._last = now

    def feed(self, data: bytes, now: float) -> None:
        """Parse bytes of a successful response."""
        new_events = self.reader.feed(data)
        if not new_events:
            return
        if self.events:
            self.gap_s = max(self.gap_s, now - self._last)
        else:
            self.first_s = now - self.started_s
        self._last = now
        self.events += new_events

    def result(self, end: StreamEnd, now: float, detail: str = "") -> StreamResult:
        """Return the result of the attempt."""
        retry_after = self.headers.get("retry-after", "0")
        return StreamResult(
            request_id=self.request_id,
            end=end,
            status=self.status,
            signature=self.headers.get("response-signature", ""),
            events=tuple(self.events),
            started_s=self.started_s,
            first_s=self.first_s,
            gap_s=self.gap_s,
            duration_s=now - self.started_s,
            retry_after_s=float(retry_after or 0),
            detail=detail,
        )


def _end_of(status: int) -> StreamEnd:
    if 200 <= status < 300:
        return StreamEnd.SERVED
    if status in NOT_EXECUTED_STATUSES:
        return StreamEnd.REJECTED
    return StreamEnd.CLIENT_ERROR if 400 <= status < 500 else StreamEnd.FAILED


async def attempt_stream(frontend: str, call: StreamCall, remaining_s: float) -> StreamResult:
    """Make one attempt on its own connection, for at most `remaining_s` seconds."""
    loop = asyncio.get_running_loop()
    response_state = _ResponseState(secrets.token_hex(8), loop.time())
    try:
        async with asyncio.timeout(remaining_s):
            await _read_response(frontend, call, remaining_s, response_state)
    except TimeoutError:
        return response_state.result(StreamEnd.TIMED_OUT, loop.time(), "deadline")
    except (httpcore.ConnectError, httpcore.ConnectTimeout) as error:
        return response_state.result(StreamEnd.NOT_REACHED, loop.time(), str(error))
    except httpcore.TimeoutException as error:
        return response_state.result(StreamEnd.TIMED_OUT, loop.time(), type(error).__name__)
    except (httpcore.NetworkError, httpcore.ProtocolError, ValueError) as error:
        return response_state.result(StreamEnd.BROKEN, loop.time(), f"{type(error).__name__}: {error}")
    return response_state.result(_end_of(response_state.status), loop.time())


async def _read_response(
    frontend: str, call: StreamCall, remaining_s: float, response_state: _ResponseState
) -> None:
    loop = asyncio.get_running_loop()
    timeouts = timeout_extension(READ_TIMEOUT_S)
    timeouts["timeout"]["connect"] = CONNECT_TIMEOUT_S
    async with (
        httpcore.AsyncConnectionPool(max_keepalive_connections=0, retries=0) as pool,
        pool.stream(
            "POST",
            f"http://{frontend}{call.path}",
            headers=stream_headers(call, response_state.request_id, remaining_s),
            content=call.body,
            extensions=timeouts,
        ) as response,
    ):
        response_state.status = response.status
        response_state.headers = headers_by_name(response.headers)
        async for data in response.aiter_stream():
            if response.status == 200:
                response_state.feed(data, loop.time())


class LiveClient:
    """Requests streams from the gateways, as clients do. `frontends` returns their addresses at each attempt."""

    def __init__(self, frontends: Callable[[], list[str]], seed: int, retries: int = 1) -> None:
        self._frontends = frontends
        self._random = random.Random(seed)
        self._retries = retries

    async def ask(self, call: StreamCall) -> tuple[StreamResult, ...]:
        """Make a call with retries; return the results of all attempts, the final one last."""
        loop = asyncio.get_running_loop()
        deadline_at_s = loop.time() + call.deadline_s
        results: list[StreamResult] = []
        for attempt in range(1 + self._retries):
            addresses = self._frontends()
            if not addresses or loop.time() >= deadline_at_s:
                break
            result = await attempt_stream(self._random.choice(addresses), call, deadline_at_s - loop.time())
            results.append(result)
            if result.end not in RETRYABLE_ENDS or attempt == self._retries:
                break
            pause_s = min(result.retry_after_s, (deadline_at_s - loop.time()) / 3)
            await asyncio.sleep(max(0.0, pause_s))
        return tuple(results)
