#!/bin/sh
# Runs each script five times with its disruption and once without, and prints how often the rule was broken.
cd "$(dirname "$0")" || exit 2
for script in ${*:-[1-5]/run.sh}; do
    results=""
    for _ in 1 2 3 4 5; do
        "$script" >/dev/null 2>&1
        results="$results $?"
    done
    TROUBLE=0 "$script" >/dev/null 2>&1
    echo "$script: exit codes with trouble:$results; without: $?"
done
