#!/bin/sh
# Runs a case five times with the disruption and once without it, and prints each exit code: review/runs.sh N
cd "$(dirname "$0")/$1" || exit 2
for i in 1 2 3 4 5; do sh ./run.sh; echo "run $i: exit $?"; done
TROUBLE=0 sh ./run.sh
echo "without the disruption: exit $?"
