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
    """A broken rule: its name, the id of the request or job, and what was observed."""

    rule: str
    id: str
    detail: str


def check_stream(
    call: StreamCall, result: StreamResult, observations: Observations, stride: int, *, retryable: bool
) -> list[Violation]:
    """The rules broken by one attempt of a client."""
    found: list[Violation] = []
    runs = observations.runs.get(result.request_id, [])
    if not retryable and len(runs) > 1:
        found.append(Violation("TWICE", result.request_id, f"ran on {[run.server_id for run in runs]}"))
    if result.end is StreamEnd.REJECTED and runs and not retryable:
        found.append(Violation("REFUSED", result.request_id, f"{result.status}, yet it ran"))
    texts = tuple(event.data for event in result.events)
    expected = complete_output(call.path, call.body, event_count(call.output_tokens, stride))
    if texts != expected[: len(texts)]:
        found.append(Violation("ORDER", result.request_id, f"events {texts[:3]}, not {expected[:3]}"))
    if result.end is StreamEnd.SERVED:
        if len(texts) < len(expected):
            found.append(Violation("ORDER", result.request_id, f"{len(texts)} of {len(expected)} events"))
        if observations.signatures.get(result.signature) != result.request_id:
            found.append(Violation("MIXED", result.request_id, f"signature {result.signature!r}"))
    return found


def check_job(history: JobHistory, observations: Observations, stride: int) -> list[Violation]:
    """The rules broken by the results that a client read of a batch job."""
    job = history.job
    found = [Violation("TWICE", job.id, f"position {at} has changed") for at in history.changed]
    if history.wrong_total_count:
        found.append(Violation("MIXED", job.id, f"Total was {history.total}, not {len(job.items)}"))
    if history.failed_reads:
        found.append(Violation("LOST", job.id, f"{history.failed_reads} reads found nothing"))
    found += _check_results(history, stride)
    refused = not history.accepted and history.statuses
    if refused and all(status in (429, 503, 408, 421) for status in history.statuses):
        ran = [item.id for item in job.items if observations.runs.get(item.id)]
        found += [Violation("REFUSED", item_id, "ran though its lot was refused") for item_id in ran]
    return found


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
    """Requests that servers executed and no client sent."""
    sent = set(sent_ids)
    return [Violation("UNASKED", name, "no client sent it") for name in observations.runs if name not in sent]
