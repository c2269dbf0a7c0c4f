#!/bin/sh
# The stand-ins are plain Python without dependencies: building them is compiling them once to find a mistake early.
set -e
cd "$(dirname "$0")/.."
python3 - <<'END'
import ast
import pathlib

for path in sorted(pathlib.Path("review").rglob("*.py")):
    ast.parse(path.read_text(), str(path))
END
