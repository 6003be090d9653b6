#!/usr/bin/env bash
# Checks the formatting of all sources; with --fix, mends it.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t files < <(git ls-files --cached --others --exclude-standard '*.cpp' '*.h' | grep -v generated)
if [ "${1:-}" = "--fix" ]; then
    clang-format -i "${files[@]}"
else
    clang-format --dry-run -Werror "${files[@]}"
fi
