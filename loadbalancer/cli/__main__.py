"""`python -m loadbalancer.cli` is the `loadbalancer` command."""

import sys

from loadbalancer.cli import main

sys.exit(main())
