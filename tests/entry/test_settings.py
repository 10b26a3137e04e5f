"""Settings of an entry VM."""

from __future__ import annotations

import attrs
from entry import sites
import pytest

from bronzetrack.entry import settings as entry_settings


@pytest.fixture
def text() -> str:
    """Text of a correct settings file."""
    return sites.make_settings()


def test_every_mistake_is_reported_at_once(text):
    """Guards against a file that is corrected one start at a time."""
    wrong = text.replace("grace_s = 3", "grace_s = soon")
    wrong = wrong.replace("name = vm-1", "")
    wrong = wrong.replace("check_tokens = true", "check_tokens = perhaps")
    with pytest.raises(entry_settings.SettingsError) as raised:
        entry_settings.parse_settings(wrong)
    assert len(raised.value.mistakes) == 3


def test_engines_are_not_trusted_to_check_tokens_unless_said(text):
    """Guards against an early successor where engines check nothing."""
    silent = text.replace("engines_check_tokens = true", "")
    assert not entry_settings.parse_settings(silent).engines_check_tokens


def test_missing_file_is_a_settings_error(tmp_path):
    """Guards against a trace in place of an error message."""
    with pytest.raises(entry_settings.SettingsError):
        entry_settings.load_settings(tmp_path / "missing.ini")


def test_reload_keeps_what_needs_a_restart(text):
    """Guards against VMs whose leases differ in length."""
    current = entry_settings.parse_settings(text)
    found = attrs.evolve(current, lease_s=9.0, retry_ratio=0.5)
    merged, waiting = entry_settings.merge_reloaded(current, found)
    assert merged.retry_ratio == 0.5
    assert merged.lease_s == current.lease_s
    assert waiting == ["lease_s"]
