"""Writes the missing golden files of the API tests: `python tests/golden/record_api.py`.

Golden files are never rewritten because an identifier changes: they contain the external interface as clients know it.
A file is deleted and recorded again only for a deliberate change of the external interface.
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
