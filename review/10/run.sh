#!/bin/sh
# Plays the case; exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x .venv/bin/python ] || { echo "build first: the build of deploy/balancer.toml, then review/build-2.sh"; exit 2; }
exec .venv/bin/python review/10/case.py
