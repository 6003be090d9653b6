#!/usr/bin/env bash
# The stand-ins of the scripts 11 to 15 are Python programs of the standard library (3.11 or later): checks that they load.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
for file in harness_3.py workers_3.py 1[1-5]/case.py; do
    [ -e "$file" ] || continue
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$file"
done
