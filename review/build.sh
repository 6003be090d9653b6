#!/bin/sh
# Builds the stand-ins that the scripts start. They are Python modules (review/deployment.py, and of the project's own
# tests/soak/http_server.py, proxy.py and platform_standin.py), so there is nothing to compile: this checks that they and
# the scripts can be read by the installed Python, 3.11 or later, without writing anything.
cd "$(dirname "$0")/.." || exit 2
exec python3 - <<'PYTHON'
import ast, pathlib, sys, tomllib
files = [*pathlib.Path("review").rglob("*.py")]
files += [pathlib.Path("tests/soak", name) for name in ("http_server.py", "proxy.py", "platform_standin.py")]
for file in files:
    ast.parse(file.read_text(encoding="utf-8"), str(file))
print(f"{len(files)} Python files can be read")
PYTHON
