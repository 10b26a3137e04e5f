#!/bin/sh
# Runs the case; exits with 1 if the rule was broken, 0 if it held, 2 if the
# case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
export PYTHONDONTWRITEBYTECODE=1
export PYTHONPATH=review/lib
exec python3 review/3/case.py
