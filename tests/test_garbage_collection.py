"""The collected tests are left out of garbage collections, which would stop tests of short times."""

from __future__ import annotations

import gc


# Guards against a full collection over all collected tests, which takes longer than a test with a bound of 0.2 s may.
def test_the_objects_of_the_collected_tests_are_frozen() -> None:
    assert gc.get_freeze_count() > 50_000
