#!/bin/sh
# Builds the stand-ins of the second review: they are Python without dependencies, so they are only compiled.
cd "$(dirname "$0")/.." || exit 1
exec python3 -m compileall -q review/rig_two review/[4-8]
