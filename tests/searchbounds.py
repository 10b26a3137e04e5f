"""Number of examples that the property tests draw."""

from __future__ import annotations

import os

import hypothesis

# `make search` draws more examples than the tests do.
FACTOR = int(os.environ.get("SEARCH_FACTOR", "1"))


def make_settings(max_examples: int, **bounds: int) -> hypothesis.settings:
    """Return the settings of a property test."""
    return hypothesis.settings(max_examples=max_examples * FACTOR, **bounds)
