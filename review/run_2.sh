# Read by the run.sh of a case: starts its test beside it. The exit code is the test's.
cd "$(dirname "$0")" || exit 2
test -x ../../.venv/bin/python || { echo "build first"; exit 2; }
export PYTHONDONTWRITEBYTECODE=1
sh ../build-2.sh || exit 2
exec ../../.venv/bin/python case.py
