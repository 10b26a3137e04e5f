#!/bin/sh
# Builds the stand-ins of the scripts 6 to 10: compiles them and checks that
# all that they import is there after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q review/support review/6 review/7 review/8 review/9 \
    review/10 tests/standins/logstore.py tests/standins/rawhttp.py \
    tests/standins/ports.py
PYTHONPATH=target/deps:tests:review/support python3 -c \
    "import deployment, engines, plain"
