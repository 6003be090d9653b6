#!/usr/bin/env bash
# Prints the reference pages and the examples' INI files from the programs of a build folder (default build); with
# --check, fails if a committed file differs.
set -euo pipefail
cd "$(dirname "$0")/.."
check=false
[ "${1:-}" = "--check" ] && { check=true; shift; }
folder=${1:-build}
stale=0
print() {
    local file=$1
    shift
    if ! $check; then
        "$@" > "$file"
    elif ! diff -u "$file" <("$@"); then
        stale=1
    fi
}
print docs/settings.md "$folder/wigeonkeeld" --print_settings_reference
print docs/CAPACITY.md python3 misc/capacity.py
print docs/operator-settings.md "$folder/wigeonkeelctl" settings-reference
print operator/examples/faraja.ini "$folder/operator_example_faraja"
print operator/examples/coop.ini "$folder/operator_example_coop"
if [ $stale -ne 0 ]; then
    echo "a printed page differs from the program's; run misc/print_docs.sh" >&2
    exit 1
fi
