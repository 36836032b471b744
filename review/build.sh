#!/bin/sh
# The stand-ins are Python files that need only the standard library; this checks that they compile.
# The build of the deploy file makes .venv, whose interpreter the scripts use.
set -e
cd "$(dirname "$0")/.."
.venv/bin/python -B -c 'import pathlib
for path in sorted(pathlib.Path("review").rglob("*.py")):
    compile(path.read_text(), str(path), "exec")'
