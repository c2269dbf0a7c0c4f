"""The golden tests use the fixtures of the tier's own tests, which lie in folders of their own."""

from __future__ import annotations

import sys
from pathlib import Path

TESTS = Path(__file__).parent.parent

for _folder in ("control", "gateway", "store", "cli"):
    sys.path.append(str(TESTS / "emberring" / _folder))
