#!/usr/bin/env bash
# The stand-ins are Python and need the interpreter of the deploy file's build alone: this compiles them, to show that
# they can be started.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/*.py review/*/*.py; do
    .venv/bin/python -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
