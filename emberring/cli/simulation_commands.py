"""`emberring lab`: simulations of the tier's decisions, compared with simple baseline policies."""

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

TABLE_KEYS = (
    "worth",
    "live_in_aim",
    "live_served",
    "first_ms_99",
    "items_in_time",
    "refused",
    "full_answers",
    "balance",
)


def _baseline(choose_server: Any) -> MakePolicy:
    return lambda world, index: BaselinePolicy(choose_server, index * SEED_STEP)


POLICIES: dict[str, MakePolicy] = {
    "admission": full_admission,
    "least-in-flight": _baseline(least_in_flight),
    "round-robin": _baseline(round_robin),
    "two-choices": _baseline(two_choices),
}


@app.command(epilog=EXIT_CODES_TEXT)
def admission(
    site: Annotated[str, typer.Option(help=f"One of {', '.join(SITES)}.")] = "ledger",
    seconds: Annotated[float, typer.Option(min=1, max=600, help="Simulated seconds of traffic.")] = 10.0,
    factor: Annotated[float, typer.Option(min=0.01, max=100, help="Factor on the site's traffic.")] = 1.0,
    trials: Annotated[int, typer.Option(min=1, max=100, help="Trials of each policy.")] = 3,
    seed: Annotated[int, typer.Option(help="Seed of the first trial.")] = 1,
    policy: Annotated[
        list[str] | None,
        typer.Option(help=f"Policy; may be repeated. Default: all. One of {', '.join(POLICIES)}."),
    ] = None,
    as_json: JsonOption = False,
) -> None:
    """Simulate a site's traffic on emulated engines, with the same requests for each policy."""
    if site not in SITES:
        raise BadRequestError(f"no site named {site!r}: there are {', '.join(SITES)}")
    names = policy or list(POLICIES)
    unknown = [name for name in names if name not in POLICIES]
    if unknown:
        raise BadRequestError(f"no policy named {unknown[0]!r}: there are {', '.join(POLICIES)}")
    figures_by_policy: dict[str, list[Figures]] = {}
    for name in names:
        plan = TrialPlan(seconds, factor)
        tallies = (run_trial(SITES[site], POLICIES[name], seed + offset, plan) for offset in range(trials))
        figures_by_policy[name] = [figures_of(tally) for tally in tallies]
    if as_json:
        print_json(
            {name: [attrs.asdict(one) for one in figures] for name, figures in figures_by_policy.items()}
        )
        return
    rows = [
        (name, *(_mean_and_half_range(figures, key) for key in TABLE_KEYS))
        for name, figures in figures_by_policy.items()
    ]
    print_table(("policy", *(key.replace("_", " ") for key in TABLE_KEYS)), rows)
    print_line(f"{trials} trials of {seconds:g} s at {factor:g} times the traffic: mean and half the span")


def _mean_and_half_range(figures: list[Figures], key: str) -> str:
    values = [float(getattr(one, key)) for one in figures]
    half_range = (max(values) - min(values)) / 2
    digits = 0 if max(values) > 10 else 3
    return f"{statistics.fmean(values):.{digits}f} ±{half_range:.{digits}f}"


MAX_GATEWAYS = 1000
MAX_SERVERS = 20_000

ServersEachOption = Annotated[
    float, typer.Option("--servers-each", min=0.1, max=100, help="Model servers for each gateway.")
]


def _size(gateways: int, servers_each: float, controls: int) -> Size:
    """Return the requested size. Raises `BadRequestError` if it exceeds the limits of the simulation."""
    size = Size(gateways, max(1, round(gateways * servers_each)), controls)
    if not 1 <= size.gateways <= MAX_GATEWAYS or size.servers > MAX_SERVERS:
        raise BadRequestError(f"1 to {MAX_GATEWAYS} gateways and at most {MAX_SERVERS} servers are played")
    return size


@app.command(epilog=EXIT_CODES_TEXT)
def scale(
    gateways: Annotated[
        list[int] | None,
        typer.Option(help="Number of gateways; repeat it to compare several sizes. Default: 10, 30 and 100."),
    ] = None,
    servers_each: ServersEachOption = 1.0,
    controls: Annotated[int, typer.Option(min=2, max=27, help="Control nodes.")] = 3,
    seconds: Annotated[
        float, typer.Option(min=1, max=60, help="Seconds of the measurement without changes.")
    ] = 3.0,
    as_json: JsonOption = False,
) -> None:
    """Run the control plane at several sizes with emulated nodes; measure the resource use of each role."""
    counts = gateways or [10, 30, 100]
    sizes = [_size(count, servers_each, controls) for count in counts]
    measurements = [measure(size, seconds) for size in sizes]
    if as_json:
        print_json([attrs.asdict(one) for one in measurements])
        return
    header = ("", *(f"{size.gateways} + {size.servers}" for size in sizes), "power")
    print_table(header, [_scale_row(name, measurements, read) for name, read in SCALE_ROWS])
    print_line("gateways + servers; per node and second, middle (busiest) of a role; powers are in gateways")


@app.command(epilog=EXIT_CODES_TEXT)
def cut(
    gateways: Annotated[int, typer.Option(min=3, max=MAX_GATEWAYS, help="Gateways.")] = 30,
    servers_each: ServersEachOption = 1.0,
    controls: Annotated[int, typer.Option(min=3, max=27, help="Control nodes; one is partitioned.")] = 3,
    seconds: Annotated[float, typer.Option(min=4, max=600, help="Duration of the partition.")] = 15.0,
    as_json: JsonOption = False,
) -> None:
    """Partition one control node with its gateways and servers from the rest; measure propagation delays and cost."""
    measurement = measure_partition(_size(gateways, servers_each, controls), seconds)
    if as_json:
        print_json(attrs.asdict(measurement))
        return
    print_table(("", "figure"), [(name, read(measurement)) for name, read in CUT_ROWS])
    print_line(
        f"{measurement.parted} of {gateways} gateways parted for {seconds:g} s; a control node's middle (busiest)"
    )


def _control_row(figures: RoleFigures) -> str:
    cpu, size = _median_and_max(_cpu_percent(figures)), _median_and_max(_kilobytes(figures))
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


def _cpu_percent(figures: RoleFigures) -> tuple[float, float]:
    return figures.cpu * 100.0, figures.cpu_most * 100.0


def _kilobytes(figures: RoleFigures) -> tuple[float, float]:
    return figures.bytes / 1000.0, figures.bytes_most / 1000.0


SCALE_ROWS: tuple[tuple[str, Callable[[ScaleFigures], tuple[float, ...]]], ...] = (
    ("control: processor, %", lambda one: _cpu_percent(one.control)),
    ("control: kB", lambda one: _kilobytes(one.control)),
    ("gateway: processor, %", lambda one: _cpu_percent(one.gateway)),
    ("gateway: kB", lambda one: _kilobytes(one.gateway)),
    ("gateway: calls", lambda one: (one.gateway.calls,)),
    ("drain acknowledged, ms", lambda one: (one.drain_acknowledged_s * 1000.0,)),
    ("drain known to all, ms", lambda one: (one.drain_known_s * 1000.0,)),
    ("configuration known to all, ms", lambda one: (one.configuration_known_s * 1000.0,)),
)


def _scale_row(
    name: str, measurements: list[ScaleFigures], read: Callable[[ScaleFigures], tuple[float, ...]]
) -> tuple[str, ...]:
    values = [read(one) for one in measurements]
    slope = power([one.size.gateways for one in measurements], [value[0] for value in values])
    return (name, *(_median_and_max(value) for value in values), "" if slope != slope else f"{slope:.2f}")


def _median_and_max(median_and_max: tuple[float, ...]) -> str:
    return f"{median_and_max[0]:.3g}" + (f" ({median_and_max[1]:.3g})" if len(median_and_max) > 1 else "")
