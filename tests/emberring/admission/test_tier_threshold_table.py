"""The threshold table: batch items are refused first, then live calls, the least urgent first."""

from __future__ import annotations

from emberring.admission.threshold_table import PRIORITIES, ThresholdTable


def test_the_cursor_stays_within_the_table() -> None:
    table = ThresholdTable()
    table.move(False)
    assert table.cursor == 0
    for _ in range(100):
        table.move(True)
    assert table.cursor == table.last_slot


def test_live_rows_fall_only_after_the_batch_row_is_zero() -> None:
    table = ThresholdTable()
    for _ in range(table.last_slot):
        if table.batch_share() > 0.0:
            assert table.live_share(PRIORITIES - 1) == 1.0
        table.move(True)
    assert 0.0 < table.live_share(PRIORITIES - 1) < table.live_share(0) < 1.0


def test_a_more_urgent_row_is_never_below_a_less_urgent_one() -> None:
    table = ThresholdTable()
    for _ in range(table.last_slot):
        shares = [table.live_share(priority) for priority in range(PRIORITIES + 2)]
        assert shares == sorted(shares, reverse=True)
        assert shares[0] >= table.batch_share()
        table.move(True)
