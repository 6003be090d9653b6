#!/usr/bin/env bash
# Installs packages, builds, runs the six example jobs on three daemons of which one is killed, and stops by itself.
# Arguments go to misc/quickstart.py.
set -euo pipefail
cd "$(dirname "$0")/.."
misc/install_packages.sh
misc/build.sh build
exec python3 misc/quickstart.py --build build "$@"
