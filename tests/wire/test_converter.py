"""Tests of the converter for documents that people write."""

from __future__ import annotations

import pytest

from bronzetrack.core import failures
from bronzetrack.wire import documents


@pytest.mark.parametrize(
    "adapter",
    [
        {"versions": [1.1], "current": "1.1"},
        {"versions": "12", "current": "1"},
        {"versions": ["1"], "current": 1},
        {"versions": ["1"], "current": "1", "ownr": "trust"},
    ],
)
def test_inventory_with_values_of_wrong_type_is_rejected(adapter):
    """Guards against version 1.10 that is read as a number and becomes 1.1."""
    fields = {"owner": "trust", "base_model": "base", **adapter}
    found = documents.read_document("inventory", {"adapters": {"a": fields}})
    assert isinstance(found, failures.Failure)
    assert found.reason is failures.Reason.CONFIGURATION_INVALID


def test_failure_names_every_mistake():
    """Guards against a failure that names only the first mistake."""
    found = documents.read_document(
        "rules", {"members": {"a": {"weight": "1"}, "b": {"wait": 1}}}
    )
    assert "members" in found.detail
    assert len(found.detail.split("; ")) == 2
