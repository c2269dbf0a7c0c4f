"""Checks the responses that clients received against the requests that servers executed."""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from emberring.emulator.job_client import JobHistory
from emberring.emulator.live_client import StreamCall, StreamEnd, StreamResult
from emberring.emulator.observations import Observations
from emberring.emulator.output import complete_output, event_count


@attrs.frozen
class Violation:
    """A violated invariant: its name, the id of the request or job, and the observation."""

    rule: str
    id: str
    detail: str


def check_stream(
    call: StreamCall, result: StreamResult, observations: Observations, stride: int, *, retryable: bool
) -> list[Violation]:
    """Return the invariants violated by one attempt of a client."""
    violations: list[Violation] = []
    runs = observations.runs.get(result.request_id, [])
    if not retryable and len(runs) > 1:
        violations.append(Violation("TWICE", result.request_id, f"ran on {[run.server_id for run in runs]}"))
    if result.end is StreamEnd.REJECTED and runs and not retryable:
        violations.append(Violation("REFUSED", result.request_id, f"{result.status}, yet it ran"))
    received = tuple(event.data for event in result.events)
    expected = complete_output(call.path, call.body, event_count(call.output_tokens, stride))
    if received != expected[: len(received)]:
        violations.append(Violation("ORDER", result.request_id, f"events {received[:3]}, not {expected[:3]}"))
    if result.end is StreamEnd.SERVED:
        if len(received) < len(expected):
            violations.append(
                Violation("ORDER", result.request_id, f"{len(received)} of {len(expected)} events")
            )
        if observations.signatures.get(result.signature) != result.request_id:
            violations.append(Violation("MIXED", result.request_id, f"signature {result.signature!r}"))
    return violations


def check_job(history: JobHistory, observations: Observations, stride: int) -> list[Violation]:
    """Return the invariants violated by the results of a batch job that a client has read."""
    job = history.job
    violations = [
        Violation("TWICE", job.id, f"position {position} has changed") for position in history.changed
    ]
    if history.wrong_total_count:
        violations.append(Violation("MIXED", job.id, f"Total was {history.total}, not {len(job.items)}"))
    if history.failed_reads:
        violations.append(Violation("LOST", job.id, f"{history.failed_reads} reads found nothing"))
    violations += _check_results(history, stride)
    rejected = not history.accepted and history.statuses
    if rejected and all(status in (429, 503, 408, 421) for status in history.statuses):
        executed_ids = [item.id for item in job.items if observations.runs.get(item.id)]
        violations += [
            Violation("REFUSED", item_id, "ran though its lot was refused") for item_id in executed_ids
        ]
    return violations


def _check_results(history: JobHistory, stride: int) -> Iterable[Violation]:
    items = {item.id: item for item in history.job.items}
    listed: set[str] = set()
    for position, result in enumerate(history.results):
        item = items.get(result.item_id)
        if item is None:
            yield Violation("MIXED", history.job.id, f"position {position} names {result.item_id!r}")
            continue
        if item.id in listed:
            yield Violation("TWICE", item.id, "stands at two positions")
        listed.add(item.id)
        events = complete_output(item.path, item.body, event_count(item.output_tokens, stride))
        if result.state == "completed" and result.message != "\n".join(events):
            yield Violation("MIXED", item.id, f"text {result.message[:60]!r}")


def check_unsent(sent_ids: Iterable[str], observations: Observations) -> list[Violation]:
    """Return a violation for each request that a server executed and no client sent."""
    sent = set(sent_ids)
    return [Violation("UNASKED", name, "no client sent it") for name in observations.runs if name not in sent]
