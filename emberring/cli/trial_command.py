"""`emberring try`: a complete tier on loopback for half a minute, with emulated model servers, traffic and faults."""

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
    rate: Annotated[float, typer.Option(min=1, max=200, help="Streams per second.")] = 20.0,
    servers: Annotated[int, typer.Option(min=2, max=20, help="Emulated model servers.")] = 3,
    seed: Annotated[int, typer.Option(help="Seed of the traffic.")] = 1,
    keep: Annotated[
        Path | None, typer.Option(metavar="FOLDER", help="Keep the settings, data and logs in this folder.")
    ] = None,
    as_json: JsonOption = False,
) -> None:
    """Run a complete tier on loopback and kill one node of each role; it ends after about half a minute.

    Exit codes: 0 no invariant was violated and every accepted lot is complete; 1 otherwise; 3 the tier did not start.
    """
    plan = TrialPlan(traffic=TrafficPlan(streams_per_s=rate), servers=servers)
    if keep is not None:
        keep.mkdir(parents=True, exist_ok=True)
        report = _run_trial(keep, plan, seed, as_json)
    else:
        with tempfile.TemporaryDirectory(prefix="emberring-try-") as folder:
            report = _run_trial(Path(folder), plan, seed, as_json)
    if as_json:
        print_json(document(report))
    else:
        print_report(report)
    if not report.clean:
        exit_with(ExitCode.REFUSED)


def _run_trial(folder: Path, plan: TrialPlan, seed: int, quiet: bool) -> TrialReport:
    def report_progress(text: str) -> None:
        if not quiet:
            print_line(text)

    async def run() -> TrialReport:
        return await Trial(folder, plan, report_progress, seed).run()

    return asyncio.run(run())


def print_report(report: TrialReport) -> None:
    """Print the report as tables."""
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
        failures = ", ".join(f"{count} {outcome}" for outcome, count in tally.failures.most_common()) or "0"
        p50, p99 = (f"{1000 * tally.delay_s(share):.0f}" for share in (0.5, 0.99))
        rows.append((name, tally.sent, tally.served, failures, p50, p99))
    return rows


def _job_row(jobs: tuple[JobHistory, ...]) -> tuple[object, ...]:
    accepted = [history for history in jobs if history.accepted]
    results = [result for history in accepted for result in history.results]
    items = sum(len(history.job.items) for history in accepted)
    completed = sum(result.state == "completed" for result in results)
    slowest = max((history.done_s for history in accepted), default=0.0)
    return (len(jobs), len(accepted), items, completed, len(results) - completed, round(slowest, 1))


def document(report: TrialReport) -> dict[str, Any]:
    """Return the report as the JSON document of `--json`."""
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
    jobs, accepted, items, completed, dead_letters, slowest = _job_row(report.jobs)
    return {
        "Clean": report.clean,
        "StartedAfterS": round(report.started_s, 2),
        "Troubles": [
            {"what": fault.what, "who": fault.node, "back_s": fault.recovery_s} for fault in report.faults
        ],
        "Streams": streams,
        "Lots": {
            "Sent": jobs,
            "Taken": accepted,
            "Items": items,
            "Completed": completed,
            "DeadLetter": dead_letters,
            "SlowestS": slowest,
        },
        "Broken": [
            {"rule": violation.rule, "id": violation.id, "detail": violation.detail}
            for violation in report.violations
        ],
        "ExitCodes": report.exit_codes,
    }
