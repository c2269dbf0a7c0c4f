"""`python -m orchidledge.cli` is the `orchidledge` command."""

import sys

from orchidledge.cli import main

sys.exit(main())
