"""Makes the fixtures of the tier's other test folders importable for the golden tests."""

from __future__ import annotations

import sys
from pathlib import Path

TESTS = Path(__file__).parent.parent

for _folder in ("control", "gateway", "store", "cli"):
    sys.path.append(str(TESTS / "emberring" / _folder))
