"""The node still starts under the former name of its package."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent


@pytest.mark.parametrize("module", ["loadbalancer", "orchidledge"])
def test_the_node_starts_under_both_names(module):
    environment = {name: value for name, value in os.environ.items() if name != "PROXY_CONFIG"}
    result = subprocess.run(
        [sys.executable, "-m", module], cwd=ROOT, env=environment, capture_output=True, text=True, check=False
    )
    assert result.returncode == 2
    assert result.stderr == "loadbalancer: bad configuration: PROXY_CONFIG is not set\n"
