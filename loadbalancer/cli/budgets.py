"""`loadbalancer budgets ADDRESS...`: attempts that running sidecars spend beyond the first, and the time left."""

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
    parser.add_argument("--json", action="store_true", help="the pages as they came, by address")
    parser.add_argument(
        "--every", type=float, metavar="S", help="show it again so often, what came since then only"
    )
    parser.add_argument(
        "--rounds", type=int, default=0, help="with --every: end after so many (0: until ended)"
    )
    parser.epilog = (
        "first: first tries sent; retry, hedge, repeat: attempts beyond them; denied: refused for lack of budget; "
        "amplified: all attempts for each first try; joined: repeats that waited for a running one or had its answer; "
        "over: came with no time left; loop: came back to where they had been. With several addresses the last rows "
        "are of all together. Exit codes: 0, 2 where a page can't be had."
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
            # A file or a pipe has no width of its own, and a narrow one would cut figures off.
            width = None if sys.stdout.isatty() else WIDTH
            Console(width=width).print(table_of(pages, before))
        before, rounds = pages, rounds + 1
        if args.every is None or rounds == args.rounds:
            return 0
        time.sleep(max(0.1, args.every))


def _classes(page: Any) -> Iterator[tuple[str, str, Any]]:
    for pool, classes in page.get("pools", {}).items():
        for name, row in classes.items():
            yield pool, name, row


def figures(row: Any) -> Counter[str]:
    """A class's counts by column, and the sums that means are made of."""
    attempts, requests = row.get("attempts", {}), row.get("requests", {})
    found = Counter({name: attempts.get(name, 0) for name in ("first", "retry", "hedge", "repeat")})
    found["denied"] = sum(count for what, count in attempts.items() if what.startswith("denied"))
    found["joined"] = requests.get("join", 0) + requests.get("replay", 0)
    found["over"], found["loop"] = requests.get("over", 0), requests.get("loop", 0)
    for column, key in (("came with ms", "left_at_arrival_ms"), ("ended with ms", "left_at_end_ms")):
        spread = row.get(key, {"mean": None, "counts": {}})
        count = sum(spread["counts"].values())
        found[f"{column} n"], found[f"{column} sum"] = count, round((spread["mean"] or 0.0) * count)
    return found


def cells(found: Counter[str]) -> list[str]:
    """One row of the table."""
    row = []
    for column in COLUMNS:
        if column == "amplified":
            more = sum(found[name] for name in ("retry", "hedge", "repeat"))
            row.append(f"{1 + more / found['first']:.3f}" if found["first"] else "-")
        elif column.endswith(" ms"):
            count = found[f"{column} n"]
            row.append(f"{found[f'{column} sum'] / count:.0f}" if count else "-")
        else:
            row.append(str(found[column]))
    return row


def table_of(pages: dict[str, Any], before: dict[str, Any]) -> Table:
    """A row for each class that was asked for; `before`: pages whose counts are taken off."""
    table = Table(box=None, pad_edge=False)
    for name in ("node", "pool", "class"):
        table.add_column(name)
    for name in COLUMNS:
        table.add_column(name, justify="right")
    sums: dict[tuple[str, str], Counter[str]] = {}
    for address, page in pages.items():
        old = {(pool, name): figures(row) for pool, name, row in _classes(before.get(address, {}))}
        for pool, name, row in _classes(page):
            found = figures(row)
            found.subtract(old.get((pool, name), Counter()))
            if any(found.values()):
                table.add_row(address, pool, name, *cells(found))
                sums.setdefault((pool, name), Counter()).update(found)
    if len(pages) > 1:
        for (pool, name), found in sorted(sums.items()):
            table.add_row("all", pool, name, *cells(found), style="bold")
    return table
