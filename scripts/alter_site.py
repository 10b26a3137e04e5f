"""Writes an altered copy of a bench's site file.

A variation changes figures of the site, so that a rule that holds only for
the given figures shows. A list of kinds replaces the days by one day for each
kind of impairment, so that its effect shows alone. Further seeds of each day
tell a change of policy from chance.
"""

from __future__ import annotations

from collections.abc import Iterator
import copy
import itertools
import pathlib
import tomllib
from typing import Any

import click
import tomli_w

ANY = "*"
# Each kind strikes twice a day, in seconds from the start of traffic.
FIRST_STRIKE_S = 6.0
SECOND_STRIKE_S = 19.0
DAY_SLOT = "trouble"


class AlterationError(click.ClickException):
    """An alteration that does not fit the site file."""


def find_holders(
    node: Any, path: list[str]
) -> Iterator[tuple[dict[str, Any], str]]:
    """Yield each mapping that the path ends in, and the last key.

    :param path: keys from the root; `*` stands for each item of a list
    """
    key, *rest = path
    if key == ANY and isinstance(node, list):
        yield from itertools.chain.from_iterable(
            find_holders(item, rest) for item in node
        )
    elif isinstance(node, dict) and key in node:
        if rest:
            yield from find_holders(node[key], rest)
        else:
            yield node, key


def apply_change(site: dict[str, Any], change: dict[str, Any]) -> None:
    """Set or scale the figures that a change names.

    :raises AlterationError: if nothing in the site has the path
    """
    holders = list(find_holders(site, change["path"].split(".")))
    if not holders:
        raise AlterationError(f"the site has no {change['path']}")
    for mapping, key in holders:
        if "value" in change:
            mapping[key] = change["value"]
        else:
            scaled = mapping[key] * change["times"]
            mapping[key] = type(mapping[key])(scaled)


def apply_variation(
    site: dict[str, Any], variation: dict[str, Any]
) -> dict[str, Any]:
    """Return a copy of a site with each change of a variation."""
    altered = copy.deepcopy(site)
    altered["name"] = f"{site['name']}-{variation['name']}"
    for change in variation["changes"]:
        apply_change(altered, change)
    return altered


def resolve_placeholders(
    site: dict[str, Any], kind: dict[str, Any]
) -> dict[str, Any]:
    """Return a kind with `@s0`, `@c1`, `@z0` replaced by the site's names."""
    names = {
        f"@{letter}{index}": item["name"]
        for letter, items in (
            ("s", site["services"]),
            ("c", site["classes"]),
            ("z", site["zones"]),
        )
        for index, item in enumerate(items)
    }
    return {key: names.get(value, value) for key, value in kind.items()}


def make_days(
    site: dict[str, Any], kinds: list[dict[str, Any]]
) -> list[dict[str, Any]]:
    """Return one day for each kind, at the traffic of a troubled day.

    The marks of worth stay those of the given day and say nothing here.

    :raises AlterationError: if the site has no day with impairments
    """
    pattern = next(
        (day for day in site["day"] if day["slot"] == DAY_SLOT), None
    )
    if pattern is None:
        raise AlterationError(f"the site has no day of slot {DAY_SLOT}")
    return [
        _make_day(pattern, resolve_placeholders(site, kind), number)
        for number, kind in enumerate(kinds, 1)
    ]


def _make_day(
    pattern: dict[str, Any], kind: dict[str, Any], number: int
) -> dict[str, Any]:
    day = copy.deepcopy(pattern)
    day.pop("closing", None)
    variant = kind.get("how", "").replace(" ", "-")
    day["name"] = "-".join(
        filter(None, (f"{number:02}", kind["kind"], variant))
    )
    day["seed"] = number
    day["plan"] = []
    day["faults"] = [
        {"at": at, **kind} for at in (FIRST_STRIKE_S, SECOND_STRIKE_S)
    ]
    return day


def repeat_days(
    days: list[dict[str, Any]], names: list[str], seeds: int
) -> list[dict[str, Any]]:
    """Return each day with further seeds.

    :param names: days that are kept, all if empty
    :param seeds: how often each day is played
    """
    chosen = [day for day in days if not names or day["name"] in names]
    return [
        {
            **day,
            "name": f"{day['name']}-{number}",
            "seed": day["seed"] + number,
        }
        for day, number in itertools.product(chosen, range(seeds))
    ]


def _read(path: pathlib.Path) -> dict[str, Any]:
    return tomllib.loads(path.read_text(encoding="utf-8"))


@click.command()
@click.argument("site_file", type=click.Path(path_type=pathlib.Path))
@click.argument("out_file", type=click.Path(path_type=pathlib.Path))
@click.option("--variation", type=click.Path(path_type=pathlib.Path))
@click.option("--kinds", type=click.Path(path_type=pathlib.Path))
@click.option("--day", "names", multiple=True, help="Keep only this day.")
@click.option("--seeds", default=1, type=click.IntRange(1))
def main(
    site_file: pathlib.Path,
    out_file: pathlib.Path,
    variation: pathlib.Path | None,
    kinds: pathlib.Path | None,
    names: tuple[str, ...],
    seeds: int,
) -> None:
    """Write an altered copy of SITE_FILE to OUT_FILE."""
    site = _read(site_file)
    if variation:
        site = apply_variation(site, _read(variation))
    if kinds:
        site["day"] = make_days(site, _read(kinds)["kinds"])
    if names or seeds > 1:
        site["day"] = repeat_days(site["day"], list(names), seeds)
    out_file.write_text(tomli_w.dumps(site), encoding="utf-8")


if __name__ == "__main__":
    main()
