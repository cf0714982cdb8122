#!/bin/sh
# Builds what the scripts of review/6 to review/10 start besides the program: stand-ins in Python, which use the
# standard library alone, so that it is enough to compile them.  The program's own build comes first.
cd "$(dirname "$0")/.." || exit 2
[ -x .venv/bin/python ] || { echo "the build of deploy/balancer.toml comes first"; exit 2; }
for file in review/standins_2.py review/6/case.py review/7/case.py review/8/case.py review/9/case.py review/10/case.py; do
    if [ -e "$file" ]; then
        .venv/bin/python -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file" || exit 2
    fi
done
