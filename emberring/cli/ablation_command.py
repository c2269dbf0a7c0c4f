"""`emberring lab ablation`: measures each admission mechanism by disabling it, on the same seeded requests."""

from __future__ import annotations

import functools
from concurrent.futures import ProcessPoolExecutor
from typing import Annotated

import attrs
import typer

from emberring.cli.options import JsonOption
from emberring.cli.printing import print_json, print_line, print_table
from emberring.errors import BadRequestError
from emberring.simulation.admission.ablation import Case, Mechanism, MechanismValue, mechanism_value, play
from emberring.simulation.admission.site import SITES
from emberring.simulation.admission.trial import Figures

MECHANISM_NAMES = ", ".join(one.value for one in Mechanism)


def ablation(
    site: Annotated[str, typer.Option(help=f"One of {', '.join(SITES)}.")] = "ledger",
    mechanism: Annotated[
        list[str] | None,
        typer.Option(help=f"Mechanism to disable; may be repeated. Default: all. One of {MECHANISM_NAMES}."),
    ] = None,
    seconds: Annotated[float, typer.Option(min=1, max=600, help="Simulated seconds of traffic.")] = 9.0,
    factor: Annotated[float, typer.Option(min=0.01, max=100, help="Factor on the site's traffic.")] = 1.0,
    trials: Annotated[int, typer.Option(min=1, max=100, help="Trials of each variant.")] = 4,
    seed: Annotated[int, typer.Option(help="Seed of the first trial.")] = 1,
    jobs: Annotated[int, typer.Option(min=1, help="Processes that run the trials.")] = 1,
    as_json: JsonOption = False,
) -> None:
    """Disable admission mechanisms one by one, under a burst of lots and with a fifth of the servers unresponsive."""
    if site not in SITES:
        raise BadRequestError(f"no site named {site!r}: there are {', '.join(SITES)}")
    selected = _selected_mechanisms(mechanism)
    case = Case(SITES[site], seconds, factor)
    seeds = range(seed, seed + trials)
    baseline = _run_trials(case, None, seeds, jobs)
    values = [mechanism_value(one, baseline, _run_trials(case, one, seeds, jobs)) for one in selected]
    if as_json:
        print_json([attrs.asdict(one) | {"mechanism": one.mechanism.value} for one in values])
        return
    print_table(("without", "worth lost", "least", "most"), [_row(one) for one in values])
    print_line(
        f"{trials} trials of {seconds:g} s at {factor:g} times the traffic, whole less without, by seed"
    )


def _selected_mechanisms(names: list[str] | None) -> list[Mechanism]:
    known = {one.value: one for one in Mechanism}
    unknown = [name for name in names or () if name not in known]
    if unknown:
        raise BadRequestError(f"no mechanism named {unknown[0]!r}: there are {MECHANISM_NAMES}")
    return [known[name] for name in names] if names else list(Mechanism)


def _run_trials(case: Case, mechanism: Mechanism | None, seeds: range, jobs: int) -> list[Figures]:
    run_seed = functools.partial(play, case, mechanism)
    if jobs == 1:
        return [run_seed(seed) for seed in seeds]
    with ProcessPoolExecutor(jobs) as pool:
        return list(pool.map(run_seed, seeds))


def _row(value: MechanismValue) -> tuple[str, str, str, str]:
    return value.mechanism.value, f"{value.mean:+.3f}", f"{value.least:+.3f}", f"{value.most:+.3f}"
