#!/usr/bin/env bash
# Installs packages, builds, and runs all tests.
set -euo pipefail
cd "$(dirname "$0")/.."
misc/install_packages.sh
misc/build.sh build
ctest --test-dir build --output-on-failure --no-tests=error
