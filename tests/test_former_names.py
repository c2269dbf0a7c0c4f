"""The node's package had another name before landing 13, by which it still starts."""

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
    ended = subprocess.run(
        [sys.executable, "-m", module], cwd=ROOT, env=environment, capture_output=True, text=True, check=False
    )
    assert ended.returncode == 2
    assert ended.stderr == "loadbalancer: bad configuration: PROXY_CONFIG is not set\n"
