"""`emberring lab`: experiments with the tier's decisions in simulated time, beside plain baselines."""

from __future__ import annotations

import statistics
from typing import Annotated, Any

import attrs
import typer

from emberring.admission import Admission, AdmissionSettings
from emberring.cli.places import JsonOption
from emberring.cli.printing import EXIT_CODES_TEXT, print_json, print_line, print_table
from emberring.errors import BadRequestError
from emberring.lab.admission_baselines import (
    PlainPolicy,
    Policy,
    least_in_flight,
    round_robin,
    two_choices,
)
from emberring.lab.admission_simulator import MakePolicy, World, run_trial
from emberring.lab.admission_site import SITES
from emberring.lab.admission_trial import Figures, figures_of

app = typer.Typer(no_args_is_help=True, epilog=EXIT_CODES_TEXT)

SEED_STEP = 100  # between the seeds of the gateways of one trial
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


def _ours(world: World, index: int) -> Policy:
    return Admission(AdmissionSettings(), seed=index * SEED_STEP)


def _plain(pick: Any) -> MakePolicy:
    return lambda world, index: PlainPolicy(pick, index * SEED_STEP)


POLICIES: dict[str, MakePolicy] = {
    "admission": _ours,
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
        tallies = (run_trial(SITES[site], POLICIES[name], seed + at, seconds, factor) for at in range(trials))
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
