"""`loadbalancer budgets ADDRESS...`: retries and hedges of running sidecars, and the time left to their requests."""

from __future__ import annotations

import argparse
import sys
import time
from collections import Counter
from collections.abc import Iterator
from typing import Any

import orjson
from rich.console import Console
from rich.table import Table

from loadbalancer.cli.fetching import admin_url, fetch
from loadbalancer.sidecar.load import UnusableError

WIDTH = 200
COLUMNS = (
    "first",
    "retry",
    "hedge",
    "repeat",
    "denied",
    "amplified",
    "joined",
    "over",
    "loop",
    "came with ms",
    "ended with ms",
)


def add_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "addresses", nargs="+", metavar="ADDRESS", help="host:port of an admin listener, or its URL"
    )
    parser.add_argument("--json", action="store_true", help="print the pages as JSON, by address")
    parser.add_argument(
        "--every",
        type=float,
        metavar="S",
        help="repeat every S seconds, and show only what was counted since the last time",
    )
    parser.add_argument(
        "--rounds", type=int, default=0, help="with --every: number of repetitions (0: no limit)"
    )
    parser.epilog = (
        "first: first attempts; retry, hedge, repeat: further attempts; denied: rejected for lack of budget; "
        "amplified: attempts for each first attempt; joined: repeats that waited for a running request or got its "
        "stored response; over: arrived with no time left; loop: returned to a node they had passed. With several "
        "addresses the last rows are the sums. Exit codes: 0, 2 if a page can't be fetched."
    )
    parser.set_defaults(run=run)


def run(args: argparse.Namespace) -> int:
    before: dict[str, Any] = {}
    rounds = 0
    while True:
        try:
            pages = {text: fetch(admin_url(text), "/budgets") for text in args.addresses}
        except (UnusableError, ValueError) as error:
            print(f"loadbalancer: {error}", file=sys.stderr)
            return 2
        if args.json:
            print(orjson.dumps(pages, option=orjson.OPT_INDENT_2).decode(), flush=True)
        else:
            # A file or a pipe has no width, and the default width is too narrow for all columns.
            width = None if sys.stdout.isatty() else WIDTH
            Console(width=width).print(table_of(pages, before))
        before, rounds = pages, rounds + 1
        if args.every is None or rounds == args.rounds:
            return 0
        time.sleep(max(0.1, args.every))


def _class_rows(page: Any) -> Iterator[tuple[str, str, Any]]:
    for pool, classes in page.get("pools", {}).items():
        for name, row in classes.items():
            yield pool, name, row


def class_counts(row: Any) -> Counter[str]:
    """The counts of a class by column, and the counts and sums from which means are computed."""
    attempts, requests = row.get("attempts", {}), row.get("requests", {})
    counts = Counter({name: attempts.get(name, 0) for name in ("first", "retry", "hedge", "repeat")})
    counts["denied"] = sum(count for what, count in attempts.items() if what.startswith("denied"))
    counts["joined"] = requests.get("join", 0) + requests.get("replay", 0)
    counts["over"], counts["loop"] = requests.get("over", 0), requests.get("loop", 0)
    for column, key in (("came with ms", "left_at_arrival_ms"), ("ended with ms", "left_at_end_ms")):
        histogram = row.get(key, {"mean": None, "counts": {}})
        count = sum(histogram["counts"].values())
        counts[f"{column} n"], counts[f"{column} sum"] = count, round((histogram["mean"] or 0.0) * count)
    return counts


def cells(counts: Counter[str]) -> list[str]:
    """The texts of one row of the table."""
    row = []
    for column in COLUMNS:
        if column == "amplified":
            extra_attempts = sum(counts[name] for name in ("retry", "hedge", "repeat"))
            row.append(f"{1 + extra_attempts / counts['first']:.3f}" if counts["first"] else "-")
        elif column.endswith(" ms"):
            count = counts[f"{column} n"]
            row.append(f"{counts[f'{column} sum'] / count:.0f}" if count else "-")
        else:
            row.append(str(counts[column]))
    return row


def table_of(pages: dict[str, Any], before: dict[str, Any]) -> Table:
    """A row for each class with requests; `before`: earlier pages, whose counts are subtracted."""
    table = Table(box=None, pad_edge=False)
    for name in ("node", "pool", "class"):
        table.add_column(name)
    for name in COLUMNS:
        table.add_column(name, justify="right")
    sums: dict[tuple[str, str], Counter[str]] = {}
    for address, page in pages.items():
        earlier = {
            (pool, name): class_counts(row) for pool, name, row in _class_rows(before.get(address, {}))
        }
        for pool, name, row in _class_rows(page):
            counts = class_counts(row)
            counts.subtract(earlier.get((pool, name), Counter()))
            if any(counts.values()):
                table.add_row(address, pool, name, *cells(counts))
                sums.setdefault((pool, name), Counter()).update(counts)
    if len(pages) > 1:
        for (pool, name), counts in sorted(sums.items()):
            table.add_row("all", pool, name, *cells(counts), style="bold")
    return table
