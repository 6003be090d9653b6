#!/usr/bin/env bash
# Builds and runs the benchmarks and writes bench/results.txt: lines `name value unit`. A spread is half the distance
# between the smallest and the largest repetition, in percent of the median; ratios are between values of this run.
set -euo pipefail
cd "$(dirname "$0")/.."
folder=${1:-build}
misc/build.sh "$folder"
log=$(mktemp -d)
trap 'rm -rf "$log"' EXIT
"$folder/bench/decision_benchmark" --benchmark_repetitions=5 --benchmark_min_time=0.05 --benchmark_format=csv \
    > "$log/decisions.csv" 2> "$log/errors" || { cat "$log/errors"; exit 1; }
for seed in 1 2 3; do
    "$folder/bench/load_driver" "$seed" > "$log/load.$seed"
done
for seed in 1 2 3; do
    "$folder/bench/cancel_wave" "$seed" > "$log/wave.$seed"
    "$folder/bench/retry_overload" "$seed" > "$log/retries.$seed"
done
misc/instructions.sh "$folder" > "$log/instructions"
python3 misc/bench_summary.py "$log/decisions.csv" "$log"/load.* "$log"/wave.* "$log"/retries.* "$log/instructions" > "$log/results"
# The section of misc/bench_control.sh stays.
grep -E '^(# control|control[a-z_]*/)' bench/results.txt > "$log/control" || true
{
    printf '# %s; load average %s on %s processors\n' "$(git rev-parse --short HEAD)" "$(cut -d' ' -f1 /proc/loadavg)" "$(nproc)"
    cat "$log/results" "$log/control"
} > bench/results.txt
python3 misc/capacity.py > docs/CAPACITY.md
cat bench/results.txt
