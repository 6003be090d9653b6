#!/usr/bin/env bash
# Measures what control costs a daemon and replaces the section of bench/results.txt that begins with "# control",
# then prints docs/CAPACITY.md from it. Further arguments go to misc/control_cost.py.
set -euo pipefail
cd "$(dirname "$0")/.."
log=$(mktemp)
trap 'rm -f "$log"' EXIT
load=$(cut -d' ' -f1 /proc/loadavg)
python3 misc/control_cost.py "$@" > "$log"
sed -i -E '/^(# control:|control\/)/d' bench/results.txt
{
    printf '# control: %s; load average %s on %s processors\n' "$(git rev-parse --short HEAD)" "$load" "$(nproc)"
    cat "$log"
} >> bench/results.txt
python3 misc/capacity.py > docs/CAPACITY.md
