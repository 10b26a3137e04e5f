"""Fixtures that several folders share."""

from __future__ import annotations

import os

import effort
import hypothesis
import pytest

from bronzetrack import board as boards
from bronzetrack.settings import loader

SETTINGS = """\
[vm]
name = vm-1
availability_zone = zone-a
[listen]
callers = 127.0.0.1:8000
operators = 127.0.0.1:8001
peers = 127.0.0.1:8002
[platform]
log_url = http://127.0.0.1:9000
vm_list_url = http://127.0.0.1:9000
"""

hypothesis.settings.register_profile(
    "ci", derandomize=True, deadline=None, database=None
)
hypothesis.settings.register_profile(
    "search", max_examples=100 * effort.FACTOR, deadline=None, database=None
)
hypothesis.settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "ci"))


@pytest.fixture
def good() -> str:
    """Text of a correct settings file."""
    return SETTINGS


@pytest.fixture
def board() -> boards.Blackboard:
    """Blackboard of a daemon that has just started."""
    return boards.Blackboard(loader.load_settings(SETTINGS), "incarnation-1")
