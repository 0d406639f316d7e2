#!/bin/sh
# Builds the stand-ins of the cases 11 to 15: they need Python's standard library only.
cd "$(dirname "$0")" || exit 1
exec python3 -m compileall -q -f fleet_3.py 1[1-5]
