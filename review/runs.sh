#!/bin/sh
# Runs a case once without the disruption and then five times with it, and prints each exit code: review/runs.sh N
# The record that stays is that of the last run with the disruption.
cd "$(dirname "$0")/$1" || exit 2
TROUBLE=0 sh ./run.sh
echo "without the disruption: exit $?"
for i in 1 2 3 4 5; do sh ./run.sh; echo "run $i: exit $?"; done
