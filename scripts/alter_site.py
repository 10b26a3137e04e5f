"""Writes an altered copy of a site file of the load bench.

A variation changes parameters of the site, which exposes rules that hold only
for the original parameters. A list of fault kinds replaces the days by one day
for each kind, which isolates the effect of that kind. Further seeds of each
day help to distinguish the effect of a policy change from random variation.
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

WILDCARD = "*"
# Each fault is injected twice a day, in seconds from the start of traffic.
FIRST_FAULT_S = 6.0
SECOND_FAULT_S = 19.0
FAULT_DAY_SLOT = "trouble"


class AlterationError(click.ClickException):
    """An alteration cannot be applied to the site file."""


def find_mappings(
    node: Any, path: list[str]
) -> Iterator[tuple[dict[str, Any], str]]:
    """Yield each mapping that holds the last key of a path, with that key.

    :param path: keys from the root; `*` matches every item of a list
    """
    key, *rest = path
    if key == WILDCARD and isinstance(node, list):
        yield from itertools.chain.from_iterable(
            find_mappings(item, rest) for item in node
        )
    elif isinstance(node, dict) and key in node:
        if rest:
            yield from find_mappings(node[key], rest)
        else:
            yield node, key


def apply_change(site: dict[str, Any], change: dict[str, Any]) -> None:
    """Set or scale every value that the path of a change matches.

    :param change: `path`, and either `value` to set or `times` as a factor
    :raises AlterationError: if the path matches nothing in the site
    """
    matches = list(find_mappings(site, change["path"].split(".")))
    if not matches:
        raise AlterationError(f"the site file has no key {change['path']}")
    for mapping, key in matches:
        if "value" in change:
            mapping[key] = change["value"]
        else:
            scaled = mapping[key] * change["times"]
            mapping[key] = type(mapping[key])(scaled)


def apply_variation(
    site: dict[str, Any], variation: dict[str, Any]
) -> dict[str, Any]:
    """Return a copy of a site with all changes of a variation applied."""
    altered = copy.deepcopy(site)
    altered["name"] = f"{site['name']}-{variation['name']}"
    for change in variation["changes"]:
        apply_change(altered, change)
    return altered


def resolve_placeholders(
    site: dict[str, Any], kind: dict[str, Any]
) -> dict[str, Any]:
    """Return a fault kind with its placeholders replaced.

    `@s0`, `@c1` and `@z0` stand for the service, the work class and the
    availability zone of that index in the site file.
    """
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
    """Return one day for each fault kind, with the traffic of a fault day.

    The marks of worth are copied from the fault day of the site file; they
    have no meaning for the days returned.

    :raises AlterationError: if the site has no day with faults
    """
    template = next(
        (day for day in site["day"] if day["slot"] == FAULT_DAY_SLOT), None
    )
    if template is None:
        raise AlterationError(
            f"the site file has no day of slot {FAULT_DAY_SLOT}"
        )
    return [
        _make_day(template, resolve_placeholders(site, kind), number)
        for number, kind in enumerate(kinds, 1)
    ]


def _make_day(
    template: dict[str, Any], kind: dict[str, Any], number: int
) -> dict[str, Any]:
    day = copy.deepcopy(template)
    day.pop("closing", None)
    variant = kind.get("how", "").replace(" ", "-")
    day["name"] = "-".join(
        filter(None, (f"{number:02}", kind["kind"], variant))
    )
    day["seed"] = number
    day["plan"] = []
    day["faults"] = [
        {"at": at, **kind} for at in (FIRST_FAULT_S, SECOND_FAULT_S)
    ]
    return day


def repeat_days(
    days: list[dict[str, Any]], names: list[str], seeds: int
) -> list[dict[str, Any]]:
    """Return copies of each day that differ in seed and name.

    :param names: names of the days to repeat; all days if empty
    :param seeds: number of copies of each day
    """
    selected = [day for day in days if not names or day["name"] in names]
    return [
        {
            **day,
            "name": f"{day['name']}-{number}",
            "seed": day["seed"] + number,
        }
        for day, number in itertools.product(selected, range(seeds))
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
