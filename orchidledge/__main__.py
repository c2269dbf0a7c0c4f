"""Entry point `python -m orchidledge`, the same as `python -m loadbalancer`."""

from __future__ import annotations

import sys

from loadbalancer.__main__ import main

if __name__ == "__main__":
    sys.exit(main())
