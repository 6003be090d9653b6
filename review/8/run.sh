#!/usr/bin/env bash
# Runs the case after the build of the deploy file. Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
set -u
cd "$(dirname "$0")" || exit 2
exec python3 case.py
