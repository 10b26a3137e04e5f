"""Reads and checks a settings file, and reports every mistake in it."""

from __future__ import annotations

import difflib
import itertools
import pathlib
import typing
from typing import Any

import attrs

from bronzetrack.settings import checks
from bronzetrack.settings import mistakes
from bronzetrack.settings import model
from bronzetrack.settings import parsing

FILE_BYTES = 65_536


def list_sections() -> dict[str, type]:
    """Return the class of each section by the name of the section."""
    hints = typing.get_type_hints(model.Settings)
    return {
        field.name: hints[field.name] for field in attrs.fields(model.Settings)
    }


def read_settings(
    file: pathlib.Path,
) -> model.Settings | list[mistakes.Mistake]:
    """Return the settings in a file, or every mistake in the file."""
    try:
        with file.open("rb") as opened:
            data = opened.read(FILE_BYTES + 1)
    except OSError as error:
        return [_make_file_mistake(f"cannot be read: {error.strerror}")]
    if len(data) > FILE_BYTES:
        return [_make_file_mistake(f"longer than {FILE_BYTES} bytes")]
    try:
        text = data.decode("utf-8-sig")
    except UnicodeDecodeError as error:
        return [_make_file_mistake(f"not UTF-8 at byte {error.start}")]
    return load_settings(text.replace("\r\n", "\n"))


def _make_file_mistake(detail: str) -> mistakes.Mistake:
    return mistakes.make_invalid("", "", "", detail)


def load_settings(text: str) -> model.Settings | list[mistakes.Mistake]:
    """Return the settings in the text of a file, or every mistake in it."""
    parsed = parsing.parse_text(text)
    classes = list_sections()
    found = list(
        itertools.chain(
            parsed.mistakes,
            _find_unknown_sections(parsed.sections, classes),
            *(
                _check_section(name, cls, parsed.sections.get(name, {}))
                for name, cls in classes.items()
            ),
        )
    )
    values = {
        (name, key): value
        for name, cls in classes.items()
        for key, value in _parse_section(
            cls, parsed.sections.get(name, {})
        ).items()
    }
    found.extend(checks.find_conflicts(values))
    if found:
        return found
    return model.Settings(
        **{
            name: cls(
                **{
                    key: value
                    for (section, key), value in values.items()
                    if section == name
                }
            )
            for name, cls in classes.items()
        }
    )


def _find_unknown_sections(
    sections: dict[str, dict[str, str]], classes: dict[str, type]
) -> list[mistakes.Mistake]:
    return [
        mistakes.make_unknown(
            name,
            "",
            "",
            f"unknown section; {_describe_closest(name, classes)}",
        )
        for name in sections
        if name not in classes
    ]


def _check_section(
    name: str, cls: type, given: dict[str, str]
) -> list[mistakes.Mistake]:
    fields = attrs.fields_dict(cls)
    unknown = [
        mistakes.make_unknown(
            name, key, value, f"unknown key; {_describe_closest(key, fields)}"
        )
        for key, value in given.items()
        if key not in fields
    ]
    missing = [
        mistakes.make_invalid(
            name, key, "", f"missing; must be {_get_value_type(field).allowed}"
        )
        for key, field in fields.items()
        if field.default is attrs.NOTHING and key not in given
    ]
    invalid = [
        mistakes.make_invalid(
            name, key, given[key], f"must be {_get_value_type(field).allowed}"
        )
        for key, field in fields.items()
        if key in given and not _is_valid(field, given[key])
    ]
    return unknown + missing + invalid


def _get_value_type(field: Any) -> model.ValueType:
    return field.metadata["kind"]


def _is_valid(field: Any, text: str) -> bool:
    try:
        _get_value_type(field).parse(text)
    except ValueError:
        return False
    return True


def _parse_section(cls: type, given: dict[str, str]) -> dict[str, Any]:
    """Return the valid values of a section, with defaults for absent keys."""
    defaults = {
        field.name: field.default
        for field in attrs.fields(cls)
        if field.default is not attrs.NOTHING and field.name not in given
    }
    valid = {
        field.name: _get_value_type(field).parse(given[field.name])
        for field in attrs.fields(cls)
        if field.name in given and _is_valid(field, given[field.name])
    }
    return {**defaults, **valid}


def _describe_closest(given: str, known: typing.Iterable[str]) -> str:
    closest = difflib.get_close_matches(given, known, n=1, cutoff=0.0)
    return f"the closest known name is {closest[0]!r}"
