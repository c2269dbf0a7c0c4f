"""Judges what clients were told by what servers saw: the rules that a trial on loopback can check."""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from emberring.emulator.job_client import JobHistory
from emberring.emulator.live_client import StreamCall, StreamEnd, StreamResult
from emberring.emulator.observations import Observations
from emberring.emulator.output import event_count, whole_output


@attrs.frozen
class Breach:
    """A broken rule, by its name in the pages, the id concerned and what was seen."""

    rule: str
    id: str
    detail: str


def judge_stream(
    call: StreamCall, result: StreamResult, seen: Observations, stride: int, *, may_repeat: bool
) -> list[Breach]:
    """The rules broken by one try of a client."""
    found: list[Breach] = []
    runs = seen.runs.get(result.request_id, [])
    if not may_repeat and len(runs) > 1:
        found.append(Breach("TWICE", result.request_id, f"ran on {[run.server_id for run in runs]}"))
    if result.end is StreamEnd.REFUSED and runs and not may_repeat:
        found.append(Breach("REFUSED", result.request_id, f"{result.status}, yet it ran"))
    texts = tuple(event.data for event in result.events)
    wanted = whole_output(call.path, call.body, event_count(call.output_tokens, stride))
    if texts != wanted[: len(texts)]:
        found.append(Breach("ORDER", result.request_id, f"events {texts[:3]}, not {wanted[:3]}"))
    if result.end is StreamEnd.SERVED:
        if len(texts) < len(wanted):
            found.append(Breach("ORDER", result.request_id, f"{len(texts)} of {len(wanted)} events"))
        if seen.signatures.get(result.signature) != result.request_id:
            found.append(Breach("MIXED", result.request_id, f"signature {result.signature!r}"))
    return found


def judge_job(history: JobHistory, seen: Observations, stride: int) -> list[Breach]:
    """The rules broken by what was read of a lot."""
    job = history.job
    found = [Breach("TWICE", job.id, f"position {at} has changed") for at in history.changed]
    if history.wrong_totals:
        found.append(Breach("MIXED", job.id, f"Total was {history.total}, not {len(job.items)}"))
    if history.unreadable:
        found.append(Breach("LOST", job.id, f"{history.unreadable} reads found nothing"))
    found += _judge_results(history, stride)
    refused = not history.accepted and history.statuses
    if refused and all(status in (429, 503, 408, 421) for status in history.statuses):
        ran = [item.id for item in job.items if seen.runs.get(item.id)]
        found += [Breach("REFUSED", item_id, "ran though its lot was refused") for item_id in ran]
    return found


def _judge_results(history: JobHistory, stride: int) -> Iterable[Breach]:
    items = {item.id: item for item in history.job.items}
    listed: set[str] = set()
    for position, result in enumerate(history.results):
        item = items.get(result.item_id)
        if item is None:
            yield Breach("MIXED", history.job.id, f"position {position} names {result.item_id!r}")
            continue
        if item.id in listed:
            yield Breach("TWICE", item.id, "stands at two positions")
        listed.add(item.id)
        events = whole_output(item.path, item.body, event_count(item.output_tokens, stride))
        if result.state == "completed" and result.message != "\n".join(events):
            yield Breach("MIXED", item.id, f"text {result.message[:60]!r}")


def judge_unasked(asked: Iterable[str], seen: Observations) -> list[Breach]:
    """Requests that servers ran and no client sent."""
    known = set(asked)
    return [Breach("UNASKED", name, "no client sent it") for name in seen.runs if name not in known]
