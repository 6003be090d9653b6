#!/usr/bin/env bash
# Builds into build/ (or the folder named first); further arguments go to CMake.
set -euo pipefail
cd "$(dirname "$0")/.."
folder=${1:-build}
[ $# -gt 0 ] && shift
# Paths relative to the tree let several work trees share the compiler cache.
export CCACHE_BASEDIR="$PWD" CCACHE_NOHASHDIR=1
cmake -S . -B "$folder" -G Ninja "$@" > "$folder.cmake.log" 2>&1 || { cat "$folder.cmake.log"; exit 1; }
rm -f "$folder.cmake.log"
ninja -C "$folder" --quiet
