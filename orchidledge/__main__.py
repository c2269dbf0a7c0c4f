"""`python -m orchidledge` starts the node as `python -m loadbalancer` does."""

from __future__ import annotations

import sys

from loadbalancer.__main__ import main

if __name__ == "__main__":
    sys.exit(main())
