#!/bin/sh
# Installs the pinned dependencies and the package into target/deps. The
# dependencies are reinstalled only if requirements.txt has changed.
set -eu
deps=target/deps
if ! cmp -s deploy/requirements.txt "$deps/.requirements"; then
    rm -rf "$deps"
    python3 -m pip install -q --target "$deps" -r deploy/requirements.txt
    cp deploy/requirements.txt "$deps/.requirements"
fi
rm -rf "$deps/bronzetrack"
cp -r src/bronzetrack "$deps/bronzetrack"
python3 -m compileall -q "$deps"
