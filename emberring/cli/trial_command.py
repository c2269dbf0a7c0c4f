"""`emberring try`: the whole tier on loopback, with stand-in model servers, traffic and kills, for half a minute."""

from __future__ import annotations

import asyncio
import tempfile
from pathlib import Path
from typing import Annotated, Any

import typer

from emberring.cli.options import JsonOption
from emberring.cli.printing import ExitCode, exit_with, print_json, print_line, print_table
from emberring.emulator.job_client import JobHistory
from emberring.emulator.traffic import TrafficPlan
from emberring.emulator.trial import Trial, TrialPlan, TrialReport

MAX_SHOWN_VIOLATIONS = 10


def try_out(
    rate: Annotated[float, typer.Option(min=1, max=200, help="Streams a second.")] = 20.0,
    servers: Annotated[int, typer.Option(min=2, max=20, help="Stand-in model servers.")] = 3,
    seed: Annotated[int, typer.Option(help="Of the traffic.")] = 1,
    keep: Annotated[
        Path | None, typer.Option(metavar="FOLDER", help="Keep settings, data and logs here.")
    ] = None,
    as_json: JsonOption = False,
) -> None:
    """Run the whole tier on loopback and kill a node of each role once; ends by itself in about half a minute.

    Exit codes: 0 no rule was broken and every lot that was taken is whole; 1 otherwise; 3 it did not come up.
    """
    plan = TrialPlan(traffic=TrafficPlan(streams_per_s=rate), servers=servers)
    if keep is not None:
        keep.mkdir(parents=True, exist_ok=True)
        report = _play(keep, plan, seed, as_json)
    else:
        with tempfile.TemporaryDirectory(prefix="emberring-try-") as folder:
            report = _play(Path(folder), plan, seed, as_json)
    if as_json:
        print_json(document(report))
    else:
        show(report)
    if not report.clean:
        exit_with(ExitCode.REFUSED)


def _play(folder: Path, plan: TrialPlan, seed: int, quiet: bool) -> TrialReport:
    def say(text: str) -> None:
        if not quiet:
            print_line(text)

    async def play() -> TrialReport:
        return await Trial(folder, plan, say, seed).play()

    return asyncio.run(play())


def show(report: TrialReport) -> None:
    """The report as tables."""
    print_line("")
    rows = [(item.what, item.node, _seconds(item.recovery_s)) for item in report.faults]
    print_table(("trouble", "who", "back after"), rows)
    print_line("")
    print_table(("streams", "asked", "served", "not served", "p50 ms", "p99 ms"), _stream_rows(report))
    print_line("")
    print_table(("lots", "taken", "items", "completed", "dead", "slowest s"), [_job_row(report.jobs)])
    print_line("")
    for violation in report.violations[:MAX_SHOWN_VIOLATIONS]:
        print_line(f"broken: {violation.rule} {violation.id}: {violation.detail}")
    for name, lines in report.logs.items():
        print_line(f"{name} ended with {report.exit_codes[name]}:")
        for line in lines:
            print_line(f"    {line}")
    print_line(f"rules broken: {len(report.violations)}; {'all well' if report.clean else 'NOT all well'}")


def _seconds(value: float | None) -> str:
    return "not at all" if value is None else f"{value:.1f} s"


def _stream_rows(report: TrialReport) -> list[tuple[object, ...]]:
    rows: list[tuple[object, ...]] = []
    for name, tally in report.tallies.items():
        failures = ", ".join(f"{count} {end}" for end, count in tally.failures.most_common()) or "0"
        p50, p99 = (f"{1000 * tally.delay_s(share):.0f}" for share in (0.5, 0.99))
        rows.append((name, tally.sent, tally.served, failures, p50, p99))
    return rows


def _job_row(jobs: tuple[JobHistory, ...]) -> tuple[object, ...]:
    taken = [history for history in jobs if history.accepted]
    results = [result for history in taken for result in history.results]
    items = sum(len(history.job.items) for history in taken)
    done = sum(result.state == "completed" for result in results)
    slowest = max((history.done_s for history in taken), default=0.0)
    return (len(jobs), len(taken), items, done, len(results) - done, round(slowest, 1))


def document(report: TrialReport) -> dict[str, Any]:
    """The report for programs."""
    streams = {
        name: {
            "Asked": tally.sent,
            "Served": tally.served,
            "NotServed": dict(tally.failures),
            "FirstEventP50Ms": round(1000 * tally.delay_s(0.5), 1),
            "FirstEventP99Ms": round(1000 * tally.delay_s(0.99), 1),
        }
        for name, tally in report.tallies.items()
    }
    jobs, taken, items, done, dead, slowest = _job_row(report.jobs)
    return {
        "Clean": report.clean,
        "StartedAfterS": round(report.started_s, 2),
        "Troubles": [
            {"what": fault.what, "who": fault.node, "back_s": fault.recovery_s} for fault in report.faults
        ],
        "Streams": streams,
        "Lots": {
            "Sent": jobs,
            "Taken": taken,
            "Items": items,
            "Completed": done,
            "DeadLetter": dead,
            "SlowestS": slowest,
        },
        "Broken": [
            {"rule": violation.rule, "id": violation.id, "detail": violation.detail}
            for violation in report.violations
        ],
        "ExitCodes": report.exit_codes,
    }
