#!/bin/sh
# Builds the stand-ins of the cases: Python modules without dependencies
# beside the standard library. They are compiled to find mistakes early.
set -eu
cd "$(dirname "$0")/.."
PYTHONPYCACHEPREFIX=target/review python3 -m compileall -q -f review
