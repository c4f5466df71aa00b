#!/bin/sh
# Check that every stand-in compiles; they need nothing but Python's standard library.
cd "$(dirname "$0")/.." || exit 1
exec python3 - <<'P'
import pathlib
for path in sorted(pathlib.Path("review").rglob("*.py")):
    compile(path.read_text(), str(path), "exec")
print("stand-ins: ok")
P
