"""Ablation of admission: each mechanism can be disabled alone, with an effect, and is restored afterwards."""

from __future__ import annotations

import json
from collections.abc import Sequence

import attrs
import pytest

from emberring.admission import candidates, pool
from emberring.admission.threshold_table import ThresholdTable
from emberring.cli.app import main
from emberring.simulation.admission import ablation
from emberring.simulation.admission.ablation import Case, Mechanism, mechanism_value, play, without
from emberring.simulation.admission.site import LEDGER, SITES
from emberring.simulation.admission.trial import Figures

SHORT = Case(LEDGER, seconds=1.5, factor=0.5)


def figures(worth: float) -> Figures:
    return attrs.evolve(play(Case(LEDGER, seconds=0.05, factor=0.1), None, 1), worth=worth)


@pytest.mark.parametrize("mechanism", Mechanism)
def test_disabling_a_mechanism_patches_its_names_and_restores_them(mechanism: Mechanism) -> None:
    patches = ablation._PATCHES[mechanism]
    before = [getattr(owner, name) for owner, name, _ in patches]
    with without(mechanism):
        assert all(getattr(owner, name) is value for owner, name, value in patches)
        assert [value for _, _, value in patches] != before
    assert [getattr(owner, name) for owner, name, _ in patches] == before


def test_without_a_mechanism_nothing_is_patched() -> None:
    kept = ThresholdTable.move, pool.BATCH_PROMPTS_PER_SERVER, candidates.MIN_SAMPLING_WEIGHT
    with without(None):
        assert (ThresholdTable.move, pool.BATCH_PROMPTS_PER_SERVER, candidates.MIN_SAMPLING_WEIGHT) == kept


def test_a_seed_and_a_mechanism_always_give_the_same_trial() -> None:
    assert play(SHORT, Mechanism.PREFERRED_SERVERS, 3) == play(SHORT, Mechanism.PREFERRED_SERVERS, 3)
    assert play(SHORT, None, 3) == play(SHORT, None, 3)


def test_without_preferred_servers_more_shared_parts_are_recomputed() -> None:
    longer = Case(LEDGER, seconds=8.0)  # long enough that most shared parts are requested again
    assert (
        play(longer, Mechanism.PREFERRED_SERVERS, 3).shared_prefilled
        > 1.1 * play(longer, None, 3).shared_prefilled
    )


@pytest.mark.parametrize(
    ("complete", "without_it", "mean", "least", "most"),
    [
        ([0.9, 0.8], [0.8, 0.8], 0.05, 0.0, 0.1),
        ([0.8], [0.9], -0.1, -0.1, -0.1),  # a harmful mechanism
    ],
)
def test_value_of_a_mechanism_over_the_seeds(
    complete: Sequence[float], without_it: Sequence[float], mean: float, least: float, most: float
) -> None:
    found = mechanism_value(
        Mechanism.PREFERRED_SERVERS, [figures(one) for one in complete], [figures(one) for one in without_it]
    )
    assert (found.mean, found.least, found.most) == pytest.approx((mean, least, most))


def test_the_command_prints_a_row_for_each_mechanism(capsys: pytest.CaptureFixture[str]) -> None:
    short = ["lab", "ablation", "--seconds", "1", "--factor", "0.1", "--trials", "1"]
    assert main([*short, "--mechanism", "homes", "--mechanism", "cursor", "--json"]) == 0
    rows = json.loads(capsys.readouterr().out)
    assert [one["mechanism"] for one in rows] == ["homes", "cursor"]


@pytest.mark.parametrize("more", [["--site", "nowhere"], ["--mechanism", "magic"]])
def test_unknown_names_are_rejected_before_any_trial_runs(
    more: list[str], capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(ablation, "run_trial", None)
    assert main(["lab", "ablation", *more]) == 2
    assert more[1] in capsys.readouterr().err


def test_waterworks_is_a_known_site() -> None:
    assert SITES["waterworks"].servers == 45
