"""Sets the number of examples of the property tests."""

from __future__ import annotations

import os

import hypothesis

# `make search` raises the factor to draw more examples than `make test`.
FACTOR = int(os.environ.get("SEARCH_FACTOR", "1"))


def make_settings(max_examples: int, **bounds: int) -> hypothesis.settings:
    """Return the settings of a property test, scaled by the search factor."""
    return hypothesis.settings(max_examples=max_examples * FACTOR, **bounds)
