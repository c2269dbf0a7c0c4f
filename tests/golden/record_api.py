"""Writes those recorded files of the golden API tests that do not exist yet: `python tests/golden/record_api.py`.

Data files are never rewritten because a name in the code changes: they hold what outsiders saw of the code before.
A file is deleted and recorded anew only when a change of the outer form itself is decided on.
"""

from __future__ import annotations

import os
import sys

import pytest
from golden_api import RECORD_VARIABLE

NAMES = ("settings", "errors", "http", "commands")

if __name__ == "__main__":
    os.environ[RECORD_VARIABLE] = "1"
    folder = os.path.dirname(__file__)
    files = [os.path.join(folder, f"test_golden_{name}.py") for name in NAMES]
    sys.exit(pytest.main(["-n", "0", *filter(os.path.exists, files)]))
