"""An HTML report of runs in one self-contained file, with its plots embedded."""

from __future__ import annotations

import io
from collections import defaultdict
from collections.abc import Callable, Sequence
from pathlib import Path
from statistics import fmean
from typing import Any

import matplotlib as mpl
from jinja2 import Environment, PackageLoader, select_autoescape
from markupsafe import Markup
from matplotlib.figure import Figure

from loadbalancer.experiments.compare import CompareError, Difference, compare, interval
from loadbalancer.experiments.experiment import OURS
from loadbalancer.experiments.results import Run

WIDTH_IN, HEIGHT_IN = 10.0, 3.2
MAX_LINES = 12  # policies in one plot over time
FAULT_COLOUR = "#c44e52"
PLOT_STYLE: Any = {
    "svg.hashsalt": "orchidledge",  # fixed, so that equal plots are byte-identical
    "svg.fonttype": "path",
    "font.size": 9,
    "axes.spines.top": False,
    "axes.spines.right": False,
    "axes.grid": True,
    "grid.alpha": 0.25,
}
Rows = dict[str, list[Run]]  # runs by policy


def svg(draw: Callable[[Any, Rows], None], rows: Rows, height: float = HEIGHT_IN) -> Markup:
    """Render a plot as an SVG element."""
    with mpl.rc_context(PLOT_STYLE):
        figure = Figure(figsize=(WIDTH_IN, height), layout="constrained")
        draw(figure, rows)
        buffer = io.StringIO()
        figure.savefig(buffer, format="svg", metadata=dict.fromkeys(("Date", "Creator", "Format", "Type")))
    text = buffer.getvalue()
    return Markup(text[text.index("<svg") :])


def _mark_faults(axes: Any, plan: dict[str, Any]) -> None:
    for fault in plan["troubles"]:
        ends = fault["until_s"] or fault["at_s"] + 0.2
        axes.axvspan(fault["at_s"], min(ends, plan["seconds"]), color=FAULT_COLOUR, alpha=0.12, lw=0)
        axes.annotate(
            fault["kind"].replace("_", " "),
            (fault["at_s"], 1.0),
            xycoords=("data", "axes fraction"),
            va="top",
            fontsize=8,
            color=FAULT_COLOUR,
        )
    if plan["warm_s"]:
        axes.axvspan(0, plan["warm_s"], color="grey", alpha=0.1, lw=0)


def _goodput(figure: Any, rows: Rows) -> None:
    axes = figure.subplots()
    names = list(rows)
    for index, name in enumerate(names):
        values = [run.figures["goodput"] for run in rows[name]]
        low, high = interval(values) if len(values) > 1 else (values[0], values[0])
        mean = fmean(values)
        axes.barh(index, mean, color="#4c72b0" if name == OURS else "#a0b4d0")
        axes.plot([low, high], [index, index], color="black", lw=1.5)
        axes.annotate(f" {mean:.3f}", (max(mean, high), index), va="center", fontsize=8)
    axes.set_yticks(range(len(names)), names)
    axes.invert_yaxis()
    axes.set_xlim(0, 1.12)
    axes.set_xlabel("goodput: share of the due worth that was served; line: 95% interval of the mean")


def _shares(figure: Any, rows: Rows) -> None:
    """The shares of refused, failed and late requests, one pane for each class."""
    classes = sorted(next(iter(rows.values()))[0].figures["classes"])
    panels = figure.subplots(1, len(classes), sharey=True, squeeze=False)[0]
    names = list(rows)
    for axes, kind in zip(panels, classes, strict=True):
        left = [0.0] * len(names)
        for outcome, colour in (("refused", "#dd8452"), ("failed", "#c44e52"), ("late", "#8c8c8c")):
            values = []
            for name in names:
                found = [run.figures["classes"][kind] for run in rows[name]]
                values.append(fmean(row[outcome] / max(1, row["due"]) for row in found))
            axes.barh(range(len(names)), values, left=left, color=colour, label=outcome)
            left = [a + b for a, b in zip(left, values, strict=True)]
        plan = rows[names[0]][0].manifest["plan"]
        worth = next(item["worth"] for item in plan["classes"] if item["name"] == kind)
        axes.set_title(f"{kind}, worth {worth:g}", fontsize=9)
        axes.set_xlabel("share of requests")
        axes.set_xlim(left=0.0)
    panels[0].set_yticks(range(len(names)), names)
    panels[0].invert_yaxis()
    panels[-1].legend(loc="lower right")


def _latencies(figure: Any, rows: Rows) -> None:
    axes = figure.subplots()
    names = list(rows)
    for marker, name in (("o", "p50"), ("s", "p99"), ("^", "p999")):
        points = []
        for index, policy in enumerate(names):
            found = [
                row["latency_ms"][name] for run in rows[policy] for row in run.figures["classes"].values()
            ]
            known = [value for value in found if value]
            if known:
                points.append((fmean(known), index))
        label = name.replace("p999", "p99.9")
        axes.scatter([x for x, _ in points], [y for _, y in points], marker=marker, s=22, label=label)
    axes.set_xscale("log")
    axes.set_yticks(range(len(names)), names)
    axes.invert_yaxis()
    axes.set_xlabel("latency of served requests in ms, mean over classes and seeds")
    axes.legend()


def _over_time(figure: Any, rows: Rows) -> None:
    axes = figure.subplots()
    plan = next(iter(rows.values()))[0].manifest["plan"]
    for name in list(rows)[:MAX_LINES]:
        sums: dict[int, list[int]] = defaultdict(lambda: [0, 0])
        for run in rows[name]:
            for second, due, in_time, *_ in run.figures["seconds"]:
                sums[second][0] += due
                sums[second][1] += in_time
        seconds = sorted(sums)
        axes.plot(
            [second + 0.5 for second in seconds],
            [sums[second][1] / max(1, sums[second][0]) for second in seconds],
            lw=2.2 if name == OURS else 1.0,
            label=name,
        )
    _mark_faults(axes, plan)
    axes.set_ylim(-0.02, 1.05)
    axes.set_xlabel("s")
    axes.set_ylabel("share of due requests in time")
    axes.legend(ncols=4, fontsize=7, loc="lower left")


def _servers(figure: Any, rows: Rows) -> None:
    names = [name for name in (OURS, *rows) if name in rows]
    shown = list(dict.fromkeys(names))[:4]
    panels = figure.subplots(1, len(shown), sharey=True, squeeze=False)[0]
    for axes, name in zip(panels, shown, strict=True):
        run = rows[name][0]
        samples = run.figures["samples"]
        seconds = [row["s"] for row in samples]
        spread = [[row["load"][key] for row in samples] for key in ("least", "middle", "most")]
        axes.fill_between(seconds, spread[0], spread[2], alpha=0.2, color="#4c72b0", lw=0)
        axes.plot(seconds, spread[1], color="#4c72b0", lw=1.5)
        _mark_faults(axes, run.manifest["plan"])
        axes.set_title(f"{name}, seed {run.manifest['seed']}", fontsize=9)
        axes.set_xlabel("s")
        axes.set_ylim(0, 2.0)
    panels[0].set_ylabel("work started per core and second:\nminimum, median, maximum over servers")


def _limits(figure: Any, rows: Rows) -> None:
    panels = figure.subplots(1, 2)
    for axes, key, title in zip(
        panels, ("cursor", "limit"), ("cursor of policy ours", "limit of other policies"), strict=True
    ):
        for name, runs in rows.items():
            samples = [row for row in runs[0].figures["samples"] if key in row]
            values = [row[key]["mean"] if key == "cursor" else row[key] for row in samples]
            if samples:
                axes.plot([row["s"] for row in samples], values, label=name, lw=1.5)
                axes.legend(fontsize=7)
        _mark_faults(axes, next(iter(rows.values()))[0].manifest["plan"])
        axes.set_title(f"{title}, mean over nodes, one seed", fontsize=9)
        axes.set_xlabel("s")
        axes.set_ylim(bottom=0.0)


PLOTS: tuple[tuple[str, Callable[[Any, Rows], None]], ...] = (
    ("Goodput", _goodput),
    ("Refused, failed and late", _shares),
    ("Latency", _latencies),
    ("Over time", _over_time),
    ("Load across servers", _servers),
    ("Cursor and limits", _limits),
)


def _differences(rows: Rows) -> list[tuple[str, list[Difference]]]:
    """The policy `ours` compared with each other policy."""
    found = []
    for name, runs in rows.items():
        if name != OURS and OURS in rows:
            try:
                (row,) = compare(runs, rows[OURS]).values()
            except CompareError:
                continue
            found.append((name, row))
    return found


def report(runs: Sequence[Run]) -> str:
    """Render the page of these runs, grouped by experiment and swept values."""
    groups: dict[tuple[str, str, str], Rows] = defaultdict(dict)
    for run in runs:
        swept = ", ".join(f"{key} = {value}" for key, value in run.manifest["swept"].items())
        groups[run.manifest["experiment"], swept, run.manifest["digest"]].setdefault(run.policy, []).append(
            run
        )
    sections = []
    for (name, swept, digest), rows in sorted(groups.items()):
        # `ours` comes first, then the others by goodput: folder names do not preserve the order of the file.
        order = sorted(
            rows, key=lambda policy: (policy != OURS, -fmean(r.figures["goodput"] for r in rows[policy]))
        )
        ordered = {policy: rows[policy] for policy in order}
        height = max(2.0, 0.6 + 0.24 * len(ordered))
        sections.append(
            {
                "name": name,
                "swept": swept,
                "digest": digest,
                "about": rows[order[0]][0].manifest,
                "rows": ordered,
                "plots": [(title, svg(draw, ordered, max(height, HEIGHT_IN))) for title, draw in PLOTS],
                "differences": _differences(ordered),
            }
        )
    pages = Environment(
        loader=PackageLoader("loadbalancer.experiments", "pages"), autoescape=select_autoescape()
    )
    return pages.get_template("report.html").render(sections=sections)


def write(runs: Sequence[Run], path: Path) -> None:
    path.write_text(report(runs), encoding="utf-8")
