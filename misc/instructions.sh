#!/usr/bin/env bash
# Counts the instructions of one placement (one task ends and one is placed, bench/count_placements) by callgrind, and
# prints lines `name value unit`. Unlike times, the counts do not depend on the load of the machine.
set -euo pipefail
cd "$(dirname "$0")/.."
folder=${1:-build}
# As in bench/count_placements.cpp.
rounds=2000
log=$(mktemp -d)
trap 'rm -rf "$log"' EXIT
# Growth with the workers: at most the ratio of the squared logarithms of 6,100 and 50, 4.97.
for policy in own backlog first_fit; do
    counted=replaceTask
    [ "$policy" = backlog ] && counted=replaceFromBacklog
    for workers in 50 610 6100; do
        valgrind --tool=callgrind --callgrind-out-file="$log/counts" --toggle-collect="*$counted*" \
            "$folder/bench/count_placements" "$policy" "$workers" > "$log/out" 2>&1 || { cat "$log/out" >&2; exit 1; }
        awk -v name="place_instructions/$policy/workers_$workers" -v rounds="$rounds" \
            '/^summary:/ { total = $2 } END { printf "%s %.0f instructions\n", name, total / rounds }' "$log/counts" |
            tee -a "$log/$policy"
    done
    awk -v policy="$policy" 'NR == 1 { small = $2 } END { printf "place_growth/%s %.2f ratio\n", policy, $2 / small }' \
        "$log/$policy"
done
