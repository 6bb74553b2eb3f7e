#!/bin/sh
# The stand-ins of the scripts are Python files of this folder; nothing of the project's own has to be built for them.
set -e
cd "$(dirname "$0")"
python3 -B - <<'CHECK'
import ast, pathlib
for file in sorted(pathlib.Path(".").rglob("*.py")):
    ast.parse(file.read_text(), str(file))
    print("review/" + str(file) + ": can be run")
CHECK
