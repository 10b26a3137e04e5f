"""Tests of altered copies of a site file."""

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
    """Return a site with two services, one of which has engines."""
    return copy.deepcopy(SITE)


def test_change_applies_to_each_item_that_has_the_key(site):
    """Guards against a variation that changes only the first item."""
    change = {"path": "classes.*.aim_ms", "times": 0.5}
    alter_site.apply_change(site, change)
    assert [item["aim_ms"] for item in site["classes"]] == [50, 100]


def test_items_without_the_key_are_left_out(site):
    """Guards against adding engine settings to plain services."""
    change = {"path": "services.*.llm.step_ms", "value": 3.0}
    alter_site.apply_change(site, change)
    assert site["services"][0]["llm"]["step_ms"] == 3.0
    assert site["services"][1] == {"name": "plain"}


def test_whole_numbers_stay_whole(site):
    """Guards against scaling a number of slots to a fraction such as 4.5."""
    change = {"path": "services.*.llm.slots", "times": 0.45}
    alter_site.apply_change(site, change)
    assert site["services"][0]["llm"]["slots"] == 4


def test_path_missing_from_the_site_is_an_error(site):
    """Guards against a variation that silently changes nothing."""
    with pytest.raises(alter_site.AlterationError, match="bounds.fenced"):
        change = {"path": "bounds.fenced", "value": False}
        alter_site.apply_change(site, change)


def test_day_of_a_kind_has_only_faults_of_that_kind(site):
    """Guards against effects of the template day besides those of the kind."""
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


def test_site_without_a_fault_day_is_an_error(site):
    """Guards against days with the traffic of a quiet day."""
    site["day"].pop()
    with pytest.raises(alter_site.AlterationError, match="trouble"):
        alter_site.make_days(site, [])


def test_repeated_days_differ_in_seed_and_name(site):
    """Guards against repeats that compare a day with itself."""
    days = [{"name": "a", "seed": 5}, {"name": "b", "seed": 7}]
    repeated = alter_site.repeat_days(days, ["b"], 2)
    assert repeated == [
        {"name": "b-0", "seed": 7},
        {"name": "b-1", "seed": 8},
    ]


def test_command_writes_a_copy(site, tmp_path):
    """Guards against changes to the input file."""
    input_file, variation, out = (tmp_path / name for name in "abc")
    input_file.write_text(tomli_w.dumps(site))
    variation.write_text(
        'name = "fast"\n'
        'changes = [{ path = "services.*.llm.step_ms", times = 0.5 }]\n'
    )
    result = testing.CliRunner().invoke(
        alter_site.main,
        [str(input_file), str(out), "--variation", str(variation)],
    )
    assert result.exit_code == 0, result.output
    altered = tomllib.loads(out.read_text())
    assert altered["name"] == "s-fast"
    assert altered["services"][0]["llm"]["step_ms"] == 1.0
    assert [day["name"] for day in altered["day"]] == [
        "quiet-1",
        "trouble-1",
    ]
    assert tomllib.loads(input_file.read_text()) == site


@pytest.mark.parametrize(
    "path",
    sorted(DEPLOY.glob("variations/*.toml")),
    ids=lambda item: item.stem,
)
def test_variation_can_be_read(path):
    """Guards against invalid files that only a run of the bench detects."""
    variation = tomllib.loads(path.read_text())
    assert variation["name"] == path.stem
    assert all(
        ("value" in change) != ("times" in change)
        for change in variation["changes"]
    )


def test_list_of_kinds_can_be_read():
    """Guards against invalid files that only a run of the bench detects."""
    kinds = tomllib.loads((DEPLOY / "kinds.toml").read_text())["kinds"]
    assert all("kind" in kind for kind in kinds)
    assert len({tuple(sorted(kind.items())) for kind in kinds}) == len(kinds)
