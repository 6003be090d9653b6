#!/usr/bin/env bash
# Runs random fault schedules for a time: misc/schedules.sh [SECONDS [FIRST_SEED [BUILD_FOLDER]]], default 60 s from a
# seed that differs from day to day.
set -euo pipefail
cd "$(dirname "$0")/.."
export WIGEONKEEL_SECONDS=${1:-60}
export WIGEONKEEL_SEED=${2:-$(date +%Y%m%d)000}
exec "${3:-build}/tests/wigeonkeel_tests" -g Schedules -n FaultsBreakNoPromise
