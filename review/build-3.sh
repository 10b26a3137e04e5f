#!/bin/sh
# Checks that the stand-ins of the third review can be imported. They are
# Python sources and need nothing but what the build of the deploy file
# installs into target/deps.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH=review/lib3 PYTHONDONTWRITEBYTECODE=1 \
    python3 -c "import small_site, sys; sys.exit(not small_site.ROOT)"
