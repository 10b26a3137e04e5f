"""Fixtures for tests of recorded traces."""

from __future__ import annotations

import pathlib

import pytest

FILES = sorted((pathlib.Path(__file__).parent / "files").glob("*.json"))


@pytest.fixture(params=FILES, ids=lambda path: path.stem)
def trace_text(request) -> str:
    """The text of each recorded trace."""
    return request.param.read_text(encoding="utf-8")
