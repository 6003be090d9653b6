#!/usr/bin/env bash
# Runs clang-tidy over all sources of a build folder (default build); further arguments are files to check instead.
set -euo pipefail
cd "$(dirname "$0")/.."
folder=${1:-build}
[ $# -gt 0 ] && shift
if [ $# -gt 0 ]; then
    files=("$@")
else
    mapfile -t files < <(git ls-files --cached --others --exclude-standard '*.cpp' | grep -v generated)
fi
log=$(mktemp)
trap 'rm -f "$log"' EXIT
if ! printf '%s\0' "${files[@]}" | xargs -0 -n 1 -P "$(nproc)" clang-tidy --quiet -p "$folder" > "$log" 2> /dev/null; then
    sort -u "$log" | grep -E '(error|warning):'
    exit 1
fi
