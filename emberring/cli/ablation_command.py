"""`emberring lab ablation`: what each mechanism of admission is worth, seed by seed on the same requests."""

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

SWITCHES = ", ".join(one.value for one in Mechanism)


def ablation(
    site: Annotated[str, typer.Option(help=f"One of {', '.join(SITES)}.")] = "ledger",
    mechanism: Annotated[
        list[str] | None, typer.Option(help=f"Switched off, one by one; all by default. Of {SWITCHES}.")
    ] = None,
    seconds: Annotated[float, typer.Option(min=1, max=600, help="Simulated seconds of traffic.")] = 9.0,
    factor: Annotated[float, typer.Option(min=0.01, max=100, help="Times the site's traffic.")] = 1.0,
    trials: Annotated[int, typer.Option(min=1, max=100, help="Trials of each.")] = 4,
    seed: Annotated[int, typer.Option(help="Of the first trial.")] = 1,
    jobs: Annotated[int, typer.Option(min=1, help="How many processes play them.")] = 1,
    as_json: JsonOption = False,
) -> None:
    """Switch mechanisms of admission off, one by one, in a burst of lots and with a fifth of the servers dark."""
    if site not in SITES:
        raise BadRequestError(f"no site named {site!r}: there are {', '.join(SITES)}")
    wanted = _wanted(mechanism)
    case = Case(SITES[site], seconds, factor)
    seeds = range(seed, seed + trials)
    whole = _played(case, None, seeds, jobs)
    found = [mechanism_value(one, whole, _played(case, one, seeds, jobs)) for one in wanted]
    if as_json:
        print_json([attrs.asdict(one) | {"mechanism": one.mechanism.value} for one in found])
        return
    print_table(("without", "worth lost", "least", "most"), [_row(one) for one in found])
    print_line(
        f"{trials} trials of {seconds:g} s at {factor:g} times the traffic, whole less without, by seed"
    )


def _wanted(names: list[str] | None) -> list[Mechanism]:
    known = {one.value: one for one in Mechanism}
    unknown = [name for name in names or () if name not in known]
    if unknown:
        raise BadRequestError(f"no mechanism named {unknown[0]!r}: there are {SWITCHES}")
    return [known[name] for name in names] if names else list(Mechanism)


def _played(case: Case, mechanism: Mechanism | None, seeds: range, jobs: int) -> list[Figures]:
    play_seed = functools.partial(play, case, mechanism)
    if jobs == 1:
        return [play_seed(seed) for seed in seeds]
    with ProcessPoolExecutor(jobs) as pool:
        return list(pool.map(play_seed, seeds))


def _row(one: MechanismValue) -> tuple[str, str, str, str]:
    return one.mechanism.value, f"{one.mean:+.3f}", f"{one.least:+.3f}", f"{one.most:+.3f}"
