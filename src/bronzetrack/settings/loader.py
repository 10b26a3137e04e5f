"""Reads and checks a settings file, and reports every mistake in it."""

from __future__ import annotations

import configparser
import difflib
import itertools
import typing
from typing import Any

import attrs

from bronzetrack.core import failures
from bronzetrack.settings import model


@attrs.frozen
class Mistake:
    """One mistake in a settings file."""

    section: str
    key: str
    value: str
    failure: failures.Failure

    def __str__(self) -> str:
        place = f"[{self.section}] {self.key}".rstrip()
        value = f" = {self.value!r}" if self.value else ""
        return f"{place}{value}: {self.failure.detail}"


def list_sections() -> dict[str, type]:
    """Return the class of each section by name."""
    hints = typing.get_type_hints(model.Settings)
    return {field.name: hints[field.name] for field in _fields(model.Settings)}


def _fields(cls: type) -> tuple[attrs.Attribute, ...]:
    return attrs.fields(cls)


def load_settings(text: str) -> model.Settings | list[Mistake]:
    """Return the settings, or every mistake in the text of a file."""
    parser = configparser.ConfigParser(interpolation=None, strict=True)
    try:
        parser.read_string(text)
    except configparser.Error as error:
        return [_make_mistake("", "", "", str(error).replace("\n", " "))]
    sections = list_sections()
    mistakes = list(
        itertools.chain(
            _find_unknown_sections(parser, sections),
            *(
                _check_section(parser, name, cls)
                for name, cls in sections.items()
            ),
        )
    )
    if mistakes:
        return mistakes
    return model.Settings(
        **{
            name: _build_section(parser, name, cls)
            for name, cls in sections.items()
        }
    )


def _find_unknown_sections(
    parser: configparser.ConfigParser, sections: dict[str, type]
) -> list[Mistake]:
    return [
        _make_unknown(name, "", "section", name, list(sections))
        for name in parser.sections()
        if name not in sections
    ]


def _check_section(
    parser: configparser.ConfigParser, name: str, cls: type
) -> list[Mistake]:
    given = _read_section(parser, name)
    fields = {field.name: field for field in _fields(cls)}
    unknown = [
        _make_unknown(name, key, "key", key, list(fields))
        for key in given
        if key not in fields
    ]
    missing = [
        _make_mistake(
            name, key, "", f"missing; {field.metadata['kind'].allowed}"
        )
        for key, field in fields.items()
        if field.default is attrs.NOTHING and key not in given
    ]
    invalid = [
        _make_mistake(
            name, key, given[key], f"must be {field.metadata['kind'].allowed}"
        )
        for key, field in fields.items()
        if key in given and not _is_valid(field, given[key])
    ]
    return unknown + missing + invalid


def _read_section(
    parser: configparser.ConfigParser, name: str
) -> dict[str, str]:
    return dict(parser[name]) if parser.has_section(name) else {}


def _is_valid(field: attrs.Attribute, text: str) -> bool:
    try:
        field.metadata["kind"].parse(text)
    except ValueError:
        return False
    return True


def _build_section(
    parser: configparser.ConfigParser, name: str, cls: type
) -> Any:
    given = _read_section(parser, name)
    return cls(
        **{
            field.name: field.metadata["kind"].parse(given[field.name])
            for field in _fields(cls)
            if field.name in given
        }
    )


def _make_unknown(
    section: str, key: str, what: str, given: str, known: list[str]
) -> Mistake:
    nearest = difflib.get_close_matches(given, known, n=1, cutoff=0.0)
    failure = failures.Failure(
        failures.Reason.SETTING_UNKNOWN,
        f"unknown {what}; the nearest known one is {nearest[0]!r}",
    )
    return Mistake(section, key, "", failure)


def _make_mistake(section: str, key: str, value: str, detail: str) -> Mistake:
    failure = failures.Failure(failures.Reason.SETTING_INVALID, detail)
    return Mistake(section, key, value, failure)
