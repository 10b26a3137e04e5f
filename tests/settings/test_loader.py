"""Tests of settings files."""

from __future__ import annotations

import pathlib

import hypothesis
from hypothesis import strategies
import pytest

from bronzetrack.settings import loader
from bronzetrack.settings import mistakes
from bronzetrack.settings import model
from bronzetrack.settings import reference

PAGE = pathlib.Path(__file__).parents[2] / "docs" / "settings.md"


def test_good_file_is_accepted(good):
    """Guards against checks that reject a correct file."""
    assert isinstance(loader.load_settings(good), model.Settings)


def test_every_mistake_is_reported_at_once(good):
    """Guards against a report that contains only the first mistake."""
    text = good.replace("name = vm-1", "nam = vm-1")
    text = text.replace(":8002", ":8001")
    text += "[limits]\nbody_bytes = 9\nbody_bytes = 10\nstray\n[odd]\n"
    found = [str(item) for item in loader.load_settings(text)]
    assert len(found) == 7
    report = "\n".join(found)
    for part in (
        "[vm] nam = 'vm-1': unknown key; the closest known name is 'name'",
        "[vm] name: missing; must be letters",
        "[limits] body_bytes = '9': must be a whole number from 1024",
        "[limits] body_bytes = '10': given twice",
        "neither 'key = value' nor '[section]'",
        "[odd]: unknown section",
        "[listen] peers = '127.0.0.1:8001': already used by",
    ):
        assert part in report


@pytest.mark.parametrize(
    "before, after, expected",
    [
        ("127.0.0.1:8000", "0.0.0.0:8000", "advertised to callers"),
        (
            "[vm]",
            "[peers]\naddress = 0.0.0.0:1\n[vm]",
            "advertised to callers",
        ),
        ("9000\nvm", "8001\nvm", "is the address of [listen] operators"),
        ("[vm]", "[peers]\njoin = 127.0.0.1:8000\n[vm]", "of this VM"),
        ("[vm]", "[peers]\njoin=1.1.1.1:1 1.1.1.1:1\n[vm]", "given twice"),
        ("[listen]", "[vm]\nname = x\n[listen]", "second one was not"),
        ("[vm]", "[DEFAULT]\nlevel = info\n[vm]", "unknown section"),
        (
            "[vm]",
            "name = x\n[vm]",
            "line 1: it precedes the first section header",
        ),
        ("vm-1", "vm-é", "must be letters"),
    ],
)
def test_mistake_is_reported(good, before, after, expected):
    """Guards against a mistake that shows only while the daemon runs."""
    found = loader.load_settings(good.replace(before, after, 1))
    assert [item for item in found if expected in str(item)], found


@pytest.mark.parametrize(
    "data, expected",
    [(b"\xff\xfe[vm]", "not UTF-8"), (b"#" * 70_000, "longer than")],
)
def test_unreadable_file_is_reported_as_mistake(tmp_path, data, expected):
    """Guards against a file that causes a traceback, not a mistake."""
    path = tmp_path / "bad.ini"
    path.write_bytes(data)
    assert expected in str(loader.read_settings(path)[0])
    assert "cannot be read" in str(loader.read_settings(tmp_path)[0])


def test_any_text_gives_settings_or_mistakes(good):
    """Guards against text that makes the loader raise an exception."""
    lines = strategies.sampled_from(
        [*good.splitlines(), "[", "=", " = 1", "\tx", "[]", "[vm]\r", "%(a)s"]
    )
    texts = strategies.one_of(
        strategies.text(max_size=200),
        strategies.lists(lines, max_size=20).map("\n".join),
    )

    @hypothesis.given(texts)
    def check(text: str) -> None:
        found = loader.load_settings(text)
        if isinstance(found, list):
            assert found
            assert all(isinstance(item, mistakes.Mistake) for item in found)
        else:
            assert isinstance(found, model.Settings)

    check()


def test_reference_page_is_current():
    """Guards against a reference page that differs from the classes."""
    assert PAGE.read_text(encoding="utf-8") == reference.render_reference()


def test_more_vms_than_loads_in_flight_are_rejected(good):
    """Guards against loads in flight that exceed the weight store's limit.

    With more VMs than loads in flight, one load for each VM would exceed it.
    """
    text = good + "\n[weight_store]\nin_flight = 7\n"
    (mistake,) = loader.load_settings(text)
    assert mistake.key == "expected_vms"
    fitting = text + "expected_vms = 7\n"
    assert isinstance(loader.load_settings(fitting), model.Settings)
