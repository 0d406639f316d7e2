#!/bin/sh
# The scripts start no program but the gateway and their own stand-ins, which are
# Python sources of this folder and need the standard library only.
set -eu
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 -c '
import ast, pathlib
for path in sorted(pathlib.Path(".").glob("**/*.py")):
    ast.parse(path.read_text(), str(path))
'
