#!/bin/sh
# The stand-ins of the cases 6 to 10 are Python files that the deploy file's build has the interpreter for:
# there is nothing to compile. This checks that they can be read by it.
set -eu
cd "$(dirname "$0")/.."
exec .venv/bin/python - <<'PYTHON'
import pathlib

review = pathlib.Path("review")
files = [*review.glob("*_2.py"), *review.glob("[6-9]/case.py"), *review.glob("10/case.py")]
for file in files:
    compile(file.read_text(), str(file), "exec")
PYTHON
