"""Fixtures that several folders share."""

from __future__ import annotations

import os

import hypothesis

hypothesis.settings.register_profile(
    "ci", derandomize=True, deadline=None, database=None
)
hypothesis.settings.register_profile("search", deadline=None)
hypothesis.settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "ci"))
