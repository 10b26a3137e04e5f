"""Altered copies of a bench's site file."""

from __future__ import annotations

import copy
import pathlib
import tomllib

import alter_site
from click import testing
import pytest
import tomli_w

DEPLOY = pathlib.Path(__file__).parents[2] / "deploy"
SITE = {
    "name": "s",
    "zones": [{"name": "z-1"}, {"name": "z-2"}],
    "classes": [
        {"name": "chat", "aim_ms": 100},
        {"name": "long", "aim_ms": 200},
    ],
    "services": [
        {"name": "engines", "llm": {"step_ms": 2.0, "slots": 10}},
        {"name": "plain"},
    ],
    "day": [
        {"name": "quiet-1", "slot": "quiet", "seed": 1},
        {
            "name": "trouble-1",
            "seed": 2,
            "slot": "trouble",
            "closing": {"kind": "kill_all"},
            "plan": [{"kind": "release"}],
            "faults": [],
        },
    ],
}


@pytest.fixture
def site() -> dict:
    """Site with two services, of which one has engines."""
    return copy.deepcopy(SITE)


def test_change_holds_for_each_item_that_has_the_key(site):
    """Guards against a variation that alters the first item alone."""
    change = {"path": "classes.*.aim_ms", "times": 0.5}
    alter_site.apply_change(site, change)
    assert [item["aim_ms"] for item in site["classes"]] == [50, 100]


def test_items_without_the_key_are_left_out(site):
    """Guards against plain services that get settings of engines."""
    change = {"path": "services.*.llm.step_ms", "value": 3.0}
    alter_site.apply_change(site, change)
    assert site["services"][0]["llm"]["step_ms"] == 3.0
    assert site["services"][1] == {"name": "plain"}


def test_whole_numbers_stay_whole(site):
    """Guards against 4.5 slots."""
    change = {"path": "services.*.llm.slots", "times": 0.45}
    alter_site.apply_change(site, change)
    assert site["services"][0]["llm"]["slots"] == 4


def test_path_that_the_site_lacks_is_an_error(site):
    """Guards against a variation that silently varies nothing."""
    with pytest.raises(alter_site.AlterationError, match="bounds.fenced"):
        change = {"path": "bounds.fenced", "value": False}
        alter_site.apply_change(site, change)


def test_day_of_a_kind_has_nothing_else(site):
    """Guards against effects of the pattern day beside the kind's own."""
    kinds = [
        {"kind": "burst", "class": "@c1", "x": 2.0},
        {"kind": "srv_grey", "service": "@s0", "how": "errors one_zone"},
    ]
    first, second = alter_site.make_days(site, kinds)
    assert "closing" not in first
    assert first["plan"] == []
    assert {item["class"] for item in first["faults"]} == {"long"}
    assert second["name"] == "02-srv_grey-errors-one_zone"
    assert second["faults"][0]["service"] == "engines"


def test_site_without_a_troubled_day_is_an_error(site):
    """Guards against days at the traffic of a quiet one."""
    site["day"].pop()
    with pytest.raises(alter_site.AlterationError, match="trouble"):
        alter_site.make_days(site, [])


def test_repeated_days_differ_in_seed_and_name(site):
    """Guards against a comparison of the same day with itself."""
    days = [{"name": "a", "seed": 5}, {"name": "b", "seed": 7}]
    repeated = alter_site.repeat_days(days, ["b"], 2)
    assert repeated == [
        {"name": "b-0", "seed": 7},
        {"name": "b-1", "seed": 8},
    ]


def test_command_writes_a_copy(site, tmp_path):
    """Guards against an alteration of the given file."""
    given, variation, out = (tmp_path / name for name in "abc")
    given.write_text(tomli_w.dumps(site))
    variation.write_text(
        'name = "fast"\n'
        'changes = [{ path = "services.*.llm.step_ms", times = 0.5 }]\n'
    )
    result = testing.CliRunner().invoke(
        alter_site.main,
        [str(given), str(out), "--variation", str(variation)],
    )
    assert result.exit_code == 0, result.output
    altered = tomllib.loads(out.read_text())
    assert altered["name"] == "s-fast"
    assert altered["services"][0]["llm"]["step_ms"] == 1.0
    assert [day["name"] for day in altered["day"]] == [
        "quiet-1",
        "trouble-1",
    ]
    assert tomllib.loads(given.read_text()) == site


@pytest.mark.parametrize(
    "path",
    sorted(DEPLOY.glob("variations/*.toml")),
    ids=lambda item: item.stem,
)
def test_variation_can_be_read(path):
    """Guards against a mistake that only a run of the bench would show."""
    variation = tomllib.loads(path.read_text())
    assert variation["name"] == path.stem
    assert all(
        ("value" in change) != ("times" in change)
        for change in variation["changes"]
    )


def test_list_of_kinds_can_be_read():
    """Guards against a mistake that only a run of the bench would show."""
    kinds = tomllib.loads((DEPLOY / "kinds.toml").read_text())["kinds"]
    assert all("kind" in kind for kind in kinds)
    assert len({tuple(sorted(kind.items())) for kind in kinds}) == len(kinds)
