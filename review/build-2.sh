#!/usr/bin/env bash
# The stand-ins of the scripts are Python programs of the standard library (3.11 or later): this checks that they load.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
PYTHONDONTWRITEBYTECODE=1 python3 -c 'import harness_2'
for script in [6-9]/case.py 10/case.py; do
    [ -e "$script" ] || continue
    python3 - "$script" <<'CHECK'
import ast, sys
ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])
CHECK
done
