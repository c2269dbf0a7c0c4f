"""`emberring lab`: experiments with the tier's decisions in simulated time, beside plain baselines."""

from __future__ import annotations

import statistics
from collections.abc import Callable
from typing import Annotated, Any

import attrs
import typer

from emberring.cli.ablation_command import ablation
from emberring.cli.options import JsonOption
from emberring.cli.printing import EXIT_CODES_TEXT, print_json, print_line, print_table
from emberring.errors import BadRequestError
from emberring.simulation.admission.ablation import SEED_STEP, full_admission
from emberring.simulation.admission.baselines import (
    BaselinePolicy,
    least_in_flight,
    round_robin,
    two_choices,
)
from emberring.simulation.admission.simulator import MakePolicy, TrialPlan, run_trial
from emberring.simulation.admission.site import SITES
from emberring.simulation.admission.trial import Figures, figures_of
from emberring.simulation.scale.control_plane import RoleFigures, ScaleFigures, Size, measure, power
from emberring.simulation.scale.partition import PartitionFigures, measure_partition

app = typer.Typer(no_args_is_help=True, epilog=EXIT_CODES_TEXT)
app.command(epilog=EXIT_CODES_TEXT)(ablation)

SHOWN = (
    "worth",
    "live_in_aim",
    "live_served",
    "first_ms_99",
    "items_in_time",
    "refused",
    "full_answers",
    "balance",
)


def _plain(pick: Any) -> MakePolicy:
    return lambda world, index: BaselinePolicy(pick, index * SEED_STEP)


POLICIES: dict[str, MakePolicy] = {
    "admission": full_admission,
    "least-in-flight": _plain(least_in_flight),
    "round-robin": _plain(round_robin),
    "two-choices": _plain(two_choices),
}


@app.command(epilog=EXIT_CODES_TEXT)
def admission(
    site: Annotated[str, typer.Option(help=f"One of {', '.join(SITES)}.")] = "ledger",
    seconds: Annotated[float, typer.Option(min=1, max=600, help="Simulated seconds of traffic.")] = 10.0,
    factor: Annotated[float, typer.Option(min=0.01, max=100, help="Times the site's traffic.")] = 1.0,
    trials: Annotated[int, typer.Option(min=1, max=100, help="Trials of each policy.")] = 3,
    seed: Annotated[int, typer.Option(help="Of the first trial.")] = 1,
    policy: Annotated[
        list[str] | None, typer.Option(help=f"Of {', '.join(POLICIES)}; all by default.")
    ] = None,
    as_json: JsonOption = False,
) -> None:
    """Play a site's traffic against emulated engines; the same requests for each policy."""
    if site not in SITES:
        raise BadRequestError(f"no site named {site!r}: there are {', '.join(SITES)}")
    names = policy or list(POLICIES)
    unknown = [name for name in names if name not in POLICIES]
    if unknown:
        raise BadRequestError(f"no policy named {unknown[0]!r}: there are {', '.join(POLICIES)}")
    found: dict[str, list[Figures]] = {}
    for name in names:
        plan = TrialPlan(seconds, factor)
        tallies = (run_trial(SITES[site], POLICIES[name], seed + at, plan) for at in range(trials))
        found[name] = [figures_of(tally) for tally in tallies]
    if as_json:
        print_json({name: [attrs.asdict(one) for one in figures] for name, figures in found.items()})
        return
    rows = [(name, *(_span(figures, key) for key in SHOWN)) for name, figures in found.items()]
    print_table(("policy", *(key.replace("_", " ") for key in SHOWN)), rows)
    print_line(f"{trials} trials of {seconds:g} s at {factor:g} times the traffic: mean and half the span")


def _span(figures: list[Figures], key: str) -> str:
    values = [float(getattr(one, key)) for one in figures]
    half = (max(values) - min(values)) / 2
    digits = 0 if max(values) > 10 else 3
    return f"{statistics.fmean(values):.{digits}f} ±{half:.{digits}f}"


MOST_GATEWAYS = 1000
MOST_SERVERS = 20_000

ServersEachOption = Annotated[
    float, typer.Option("--servers-each", min=0.1, max=100, help="Model servers for each gateway.")
]


def _size(gateways: int, servers_each: float, controls: int) -> Size:
    """The size that is asked for; `BadRequestError` where it is more than is played."""
    size = Size(gateways, max(1, round(gateways * servers_each)), controls)
    if not 1 <= size.gateways <= MOST_GATEWAYS or size.servers > MOST_SERVERS:
        raise BadRequestError(f"1 to {MOST_GATEWAYS} gateways and at most {MOST_SERVERS} servers are played")
    return size


@app.command(epilog=EXIT_CODES_TEXT)
def scale(
    gateways: Annotated[
        list[int] | None,
        typer.Option(help="How many gateways; give it several times for a slope. 10, 30 and 100 by default."),
    ] = None,
    servers_each: ServersEachOption = 1.0,
    controls: Annotated[int, typer.Option(min=2, max=27, help="Control nodes.")] = 3,
    seconds: Annotated[float, typer.Option(min=1, max=60, help="Calm seconds that are measured.")] = 3.0,
    as_json: JsonOption = False,
) -> None:
    """Play the control plane at several sizes with hollow nodes in this process; what each role uses, how it grows."""
    counts = gateways or [10, 30, 100]
    sizes = [_size(count, servers_each, controls) for count in counts]
    found = [measure(size, seconds) for size in sizes]
    if as_json:
        print_json([attrs.asdict(one) for one in found])
        return
    header = ("", *(f"{size.gateways} + {size.servers}" for size in sizes), "power")
    print_table(header, [_scale_row(name, found, read) for name, read in SCALE_ROWS])
    print_line("gateways + servers; per node and second, middle (busiest) of a role; powers are in gateways")


@app.command(epilog=EXIT_CODES_TEXT)
def cut(
    gateways: Annotated[int, typer.Option(min=3, max=MOST_GATEWAYS, help="Gateways.")] = 30,
    servers_each: ServersEachOption = 1.0,
    controls: Annotated[int, typer.Option(min=3, max=27, help="Control nodes; one is parted.")] = 3,
    seconds: Annotated[float, typer.Option(min=4, max=600, help="How long the cut lasts.")] = 15.0,
    as_json: JsonOption = False,
) -> None:
    """Part one control node with its gateways and servers from the rest; what each side knows when, and the cost."""
    found = measure_partition(_size(gateways, servers_each, controls), seconds)
    if as_json:
        print_json(attrs.asdict(found))
        return
    print_table(("", "figure"), [(name, read(found)) for name, read in CUT_ROWS])
    print_line(
        f"{found.parted} of {gateways} gateways parted for {seconds:g} s; a control node's middle (busiest)"
    )


def _control_row(figures: RoleFigures) -> str:
    cpu, size = _middle_and_most(_cpu(figures)), _middle_and_most(_bytes(figures))
    return f"{cpu} % of a core, {size} kB/s"


CUT_ROWS: tuple[tuple[str, Callable[[PartitionFigures], str]], ...] = (
    ("larger side counts its own gateways alone, s", lambda one: f"{one.absent_s:.2f}"),
    ("drain known on the larger side, s", lambda one: f"{one.drain_s:.2f}"),
    ("configuration known on the larger side, s", lambda one: f"{one.configuration_s:.2f}"),
    ("servers that a parted gateway kept", lambda one: f"{one.kept} of {one.size.servers}"),
    ("after the cut: drain known to all, s", lambda one: f"{one.drain_after_s:.2f}"),
    ("after the cut: configuration known to all, s", lambda one: f"{one.configuration_after_s:.2f}"),
    ("after the cut: all know all servers, s", lambda one: f"{one.servers_after_s:.2f}"),
    ("after the cut: control counts all gateways, s", lambda one: f"{one.counted_after_s:.2f}"),
    ("control during the cut", lambda one: _control_row(one.control_during)),
    ("control in the 5 s after it", lambda one: _control_row(one.control_after)),
)


def _cpu(figures: RoleFigures) -> tuple[float, float]:
    return figures.cpu * 100.0, figures.cpu_most * 100.0


def _bytes(figures: RoleFigures) -> tuple[float, float]:
    return figures.bytes / 1000.0, figures.bytes_most / 1000.0


SCALE_ROWS: tuple[tuple[str, Callable[[ScaleFigures], tuple[float, ...]]], ...] = (
    ("control: processor, %", lambda one: _cpu(one.control)),
    ("control: kB", lambda one: _bytes(one.control)),
    ("gateway: processor, %", lambda one: _cpu(one.gateway)),
    ("gateway: kB", lambda one: _bytes(one.gateway)),
    ("gateway: calls", lambda one: (one.gateway.calls,)),
    ("drain acknowledged, ms", lambda one: (one.drain_acknowledged_s * 1000.0,)),
    ("drain known to all, ms", lambda one: (one.drain_known_s * 1000.0,)),
    ("configuration known to all, ms", lambda one: (one.configuration_known_s * 1000.0,)),
)


def _scale_row(
    name: str, found: list[ScaleFigures], read: Callable[[ScaleFigures], tuple[float, ...]]
) -> tuple[str, ...]:
    values = [read(one) for one in found]
    slope = power([one.size.gateways for one in found], [value[0] for value in values])
    return (name, *(_middle_and_most(value) for value in values), "" if slope != slope else f"{slope:.2f}")


def _middle_and_most(value: tuple[float, ...]) -> str:
    return f"{value[0]:.3g}" + (f" ({value[1]:.3g})" if len(value) > 1 else "")
