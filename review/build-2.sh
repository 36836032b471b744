#!/bin/sh
# Run after the build of the deploy file, without a network: compiles the stand-ins of the cases 6 to 10, the project's
# own and theirs, and checks that they can be imported.
set -e
cd "$(dirname "$0")/.."
for folder in hollystage/standins review/6 review/7 review/8 review/9 review/10; do
    test ! -d "$folder" || .venv/bin/python -m compileall -q "$folder"
done
PYTHONPATH=review/6 .venv/bin/python -c "import common, hollystage.standins.services"
