#!/bin/sh
# The stand-ins are Python files that use the standard library alone: this checks that they compile.
set -eu
cd "$(dirname "$0")"
python=../.venv/bin/python
test -x "$python" || { echo "run the build of the deploy file first" >&2; exit 2; }
for file in standins.py [0-9]*/case.py; do
    "$python" -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
