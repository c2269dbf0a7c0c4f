"""`loadbalancer lab`: run, sweep and compare experiments on a model of servers and load balancers."""

from __future__ import annotations

import argparse
import os
import sys
from collections import defaultdict
from collections.abc import Iterable
from pathlib import Path
from statistics import fmean
from typing import TYPE_CHECKING

from rich.console import Console
from rich.progress import BarColumn, MofNCompleteColumn, Progress, TimeElapsedColumn
from rich.table import Table

from loadbalancer.sidecar.load import UnusableError

if TYPE_CHECKING:
    from loadbalancer.experiments.experiment import Experiment

MISSING_EXTRA = "the lab needs the extra `lab`: pip install 'emberring[lab]'"


def add_arguments(parser: argparse.ArgumentParser) -> None:
    try:
        from loadbalancer.experiments.library import shipped
    except ImportError as error:
        parser.set_defaults(run=lambda args, error=error: _missing(error))
        return
    parser.epilog = "An EXPERIMENT is a file or the name of a shipped one: " + ", ".join(shipped())
    verbs = parser.add_subparsers(dest="verb", required=True, metavar="VERB")
    list_command = verbs.add_parser("list", help="list the shipped experiments")
    list_command.set_defaults(run=_list)
    check_command = verbs.add_parser("check", help="check experiments; print each mistake with file and line")
    check_command.add_argument("experiment", nargs="+")
    check_command.set_defaults(run=_check)
    run = verbs.add_parser(
        "run", help="run the policies and seeds of experiments; store and show the results"
    )
    run.add_argument("experiment", nargs="+")
    run.add_argument("--results", type=Path, default=Path("lab-results"), help="folder; default %(default)s")
    run.add_argument("--cores", type=int, default=len(os.sched_getaffinity(0)), help="default %(default)s")
    run.add_argument("--policy", action="append", help="run only this policy; repeatable")
    run.add_argument("--seeds", type=int, help="run only the first SEEDS seeds")
    run.epilog = "Runs whose results are in the folder are skipped, so that an interrupted sweep resumes."
    run.set_defaults(run=_run)
    recovery = verbs.add_parser(
        "returns", help="check that service recovers fully after each fault, at each load"
    )
    recovery.add_argument(
        "experiment",
        nargs="?",
        default="zone-stopped",
        help="experiment with fleet and classes; default %(default)s",
    )
    recovery.add_argument("--policy", default="ours", help="name of the policy; default %(default)s")
    recovery.add_argument(
        "--loads", type=_load_factor, nargs="+", help="loads as multiples of capacity; default 0.5 to 1.3"
    )
    recovery.add_argument(
        "--repeats",
        type=int,
        nargs="+",
        choices=range(21),
        metavar="N",
        help="numbers of retries by callers; default 0 to 3",
    )
    recovery.add_argument("--trouble", action="append", help="run only this fault; repeatable")
    recovery.add_argument(
        "--cores", type=int, default=len(os.sched_getaffinity(0)), help="default %(default)s"
    )
    recovery.epilog = "Exit code 1: service has not recovered in some case."
    recovery.set_defaults(run=_returns)
    report = verbs.add_parser("report", help="write an HTML page with plots of the runs in a folder")
    report.add_argument("results", type=Path)
    report.add_argument("--to", type=Path, default=Path("lab-report.html"), help="default %(default)s")
    report.set_defaults(run=_report)
    compare_command = verbs.add_parser(
        "compare", help="compare two sets of runs, paired by experiment, swept values and seed"
    )
    compare_command.add_argument("a", type=Path, help="folder of one run or several runs")
    compare_command.add_argument("b", type=Path)
    compare_command.add_argument(
        "--policies", nargs=2, metavar=("A", "B"), help="policy of the first and of the second folder"
    )
    compare_command.set_defaults(run=_compare)


def _load_factor(text: str) -> float:
    value = float(text)
    if not 0.0 < value <= 100.0:
        raise argparse.ArgumentTypeError(f"{text} is not over 0 and at most 100")
    return value


def _missing(error: ImportError) -> int:
    print(f"{MISSING_EXTRA} ({error.name} is not installed)", file=sys.stderr)
    return 2


def _list(args: argparse.Namespace) -> int:
    from loadbalancer.experiments.library import load, shipped

    table = Table("name", "servers", "nodes", "runs", "title", box=None)
    for name in shipped():
        plan = load(name)
        runs = len(plan.variants()) * len(plan.policies) * len(plan.seeds)
        table.add_row(name, str(plan.fleet.servers), str(plan.fleet.nodes), str(runs), plan.title)
    Console().print(table)
    return 0


def _load(name: str) -> Experiment | None:
    """Load an experiment; on failure print its mistakes and return None."""
    from loadbalancer.experiments.library import ExperimentError, load

    try:
        return load(name)
    except (ExperimentError, UnusableError) as error:
        print(error, file=sys.stderr)
        return None


def _all_exist(experiment: str, item: str, requested: Iterable[str], existing: Iterable[str]) -> bool:
    """Whether all requested names exist; prints the first that does not."""
    names = sorted(existing)
    for name in requested:
        if name not in names:
            print(f"{experiment}: has no {item} {name!r}; it has {', '.join(names)}", file=sys.stderr)
            return False
    return True


def _check(args: argparse.Namespace) -> int:
    return 2 if [name for name in args.experiment if _load(name) is None] else 0


def _run(args: argparse.Namespace) -> int:
    from loadbalancer.experiments.compare import FIGURES, interval
    from loadbalancer.experiments.engine import sweep
    from loadbalancer.experiments.results import jobs, read

    requested = []
    for name in args.experiment:
        plan = _load(name)
        if plan is None or not _all_exist(
            name, "policy", args.policy or (), (item.name for item in plan.policies)
        ):
            return 2
        requested += [
            job
            for job in jobs(plan)
            if (not args.policy or plan.policies[job.policy].name in args.policy)
            and (not args.seeds or job.seed in plan.seeds[: args.seeds])
        ]
    results, failed = [], 0
    columns = ("{task.description}", BarColumn(), MofNCompleteColumn(), TimeElapsedColumn())
    with Progress(*columns, console=Console(stderr=True)) as progress:
        task = progress.add_task("runs", total=len(requested))
        for job, folder, error in sweep(requested, args.results, args.cores):
            progress.advance(task)
            if folder is None:
                failed += 1
                print(f"failed: {error or job.folder}", file=sys.stderr)
            else:
                results.append(read(folder))
    groups = defaultdict(list)
    for run in sorted(results, key=lambda run: run.folder.name):
        swept = " ".join(f"{key}={value}" for key, value in run.manifest["swept"].items())
        groups[run.manifest["experiment"], swept, run.policy].append(run)
    table = Table("experiment", "policy", "seeds", *FIGURES, box=None)
    for (experiment, swept, policy), runs in groups.items():
        cells = []
        for name, figure in FIGURES.items():
            values = [value for run in runs if (value := figure(run)) is not None]
            cell = f"{fmean(values):.4g}" if values else "-"
            if name == "goodput" and len(values) > 1:
                low, high = interval(values)
                cell = f"{fmean(values):.4f} ({low:.4f} to {high:.4f})"
            cells.append(cell)
        table.add_row(f"{experiment} {swept}".strip(), policy, str(len(runs)), *cells)
    Console(width=None if sys.stdout.isatty() else 200).print(table)
    return 1 if failed else 0


def _returns(args: argparse.Namespace) -> int:
    from loadbalancer.experiments.returns import LOADS, REPEATS, SHORT, known, search

    plan = _load(args.experiment)
    if plan is None:
        return 2
    names, only = [item.name for item in plan.policies], args.trouble or ()
    if not _all_exist(args.experiment, "policy", [args.policy], names):
        return 2
    if not _all_exist(args.experiment, "trouble", only, known(plan)):
        return 2
    loads, repeats = args.loads or LOADS, args.repeats or REPEATS
    rows: dict[tuple[str, str], dict[float, list[float]]] = defaultdict(lambda: defaultdict(list))
    worst = 0.0
    for result in search(plan, names.index(args.policy), args.cores, loads, repeats, only=only):
        rows[result.trouble, result.lists][result.load].append(result.short)
        worst = max(worst, result.short)
    table = Table("trouble", "lists", *(f"{load:g}x" for load in loads), box=None)
    for (name, lists), by_load in rows.items():
        table.add_row(name, lists, *(f"{max(by_load[load]):+.3f}" for load in loads))
    print(
        "Shortfall of the share answered in time, 20 s after the fault, against a run without it; worst over repeats"
    )
    Console(width=None if sys.stdout.isatty() else 160).print(table)
    return 1 if worst > SHORT else 0


def _report(args: argparse.Namespace) -> int:
    from loadbalancer.experiments.results import ResultError, runs

    try:
        from loadbalancer.experiments.report import write
    except ImportError as error:
        return _missing(error)
    try:
        write(list(runs(args.results)), args.to)
    except (ResultError, OSError) as error:
        print(error, file=sys.stderr)
        return 2
    print(args.to)
    return 0


def _compare(args: argparse.Namespace) -> int:
    from loadbalancer.experiments.compare import CompareError, compare
    from loadbalancer.experiments.results import ResultError, runs

    try:
        sides = [list(runs(folder)) for folder in (args.a, args.b)]
        if args.policies:
            sides = [
                [run for run in side if run.policy == name]
                for side, name in zip(sides, args.policies, strict=True)
            ]
        comparison = compare(*sides)
    except (CompareError, ResultError) as error:
        print(error, file=sys.stderr)
        return 2
    names = {run.setting: run.manifest["experiment"] for run in sides[0]}
    table = Table("experiment", "figure", "A", "B", "seeds", "B - A", box=None)
    for setting, rows in sorted(comparison.items(), key=lambda item: (names[item[0]], item[0])):
        swept = "" if setting[1] == "{}" else f" {setting[1]}"
        for row in rows:
            cells = (f"{row.a:.5g}", f"{row.b:.5g}", str(row.pairs), row.words)
            table.add_row(f"{names[setting]}{swept}", row.figure, *cells)
    Console(width=None if sys.stdout.isatty() else 160).print(table)
    return 0
