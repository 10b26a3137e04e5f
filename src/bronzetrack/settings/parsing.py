"""Parses the text of an INI file and collects all syntax mistakes."""

from __future__ import annotations

import configparser

import attrs

from bronzetrack.settings import mistakes

# Each syntax mistake requires one more parse of the file.
MAX_MISTAKES = 100


@attrs.frozen
class ParsedFile:
    """Keys and values by section, and the syntax mistakes in the file."""

    sections: dict[str, dict[str, str]]
    mistakes: tuple[mistakes.Mistake, ...]


def parse_text(text: str) -> ParsedFile:
    """Return the sections and the syntax mistakes in the text of a file.

    The parser of the standard library stops at the first repeated key or
    section. The lines that it rejects are therefore blanked until it accepts
    the rest.
    """
    lines = text.split("\n")
    found: list[mistakes.Mistake] = []
    while len(found) < MAX_MISTAKES:
        parser = _make_parser()
        try:
            parser.read_string("\n".join(lines))
        except configparser.Error as error:
            found.extend(_blank_rejected_lines(error, lines))
            continue
        sections = {name: dict(parser[name]) for name in parser.sections()}
        return ParsedFile(sections, tuple(found))
    return ParsedFile({}, tuple(found))


def _make_parser() -> configparser.ConfigParser:
    # No section header can have an empty name, so no section provides default
    # values for all the others.
    return configparser.ConfigParser(
        interpolation=None, strict=True, default_section=""
    )


def _blank_rejected_lines(
    error: configparser.Error, lines: list[str]
) -> list[mistakes.Mistake]:
    """Blank the lines that a parser error names and return the mistakes."""
    match error:
        case configparser.DuplicateOptionError():
            line = lines[error.lineno - 1]
            lines[error.lineno - 1] = ""
            detail = f"given twice, again in line {error.lineno}"
            return [
                mistakes.make_invalid(
                    error.section, error.option, _get_value(line), detail
                )
            ]
        case configparser.DuplicateSectionError():
            _blank_section(lines, error.lineno)
            detail = (
                f"given twice, again in line {error.lineno};"
                " the second one was not checked"
            )
            return [mistakes.make_invalid(error.section, "", "", detail)]
        case configparser.MissingSectionHeaderError():
            lines[error.lineno - 1] = ""
            return [
                _make_line_mistake(
                    error.lineno, "it precedes the first section header"
                )
            ]
        case configparser.ParsingError():
            for number, _ in error.errors:
                lines[number - 1] = ""
            return [
                _make_line_mistake(
                    number, "neither 'key = value' nor '[section]'"
                )
                for number, _ in error.errors
            ]
    lines.clear()
    return [mistakes.make_invalid("", "", "", str(error))]


def _get_value(line: str) -> str:
    return line.replace(":", "=", 1).partition("=")[2].strip()


def _blank_section(lines: list[str], first: int) -> None:
    """Blank the lines of a section from its header to the next header.

    :param first: line number of the header, counted from 1
    """
    lines[first - 1] = ""
    for index in range(first, len(lines)):
        if lines[index].startswith("["):
            return
        lines[index] = ""


def _make_line_mistake(number: int, detail: str) -> mistakes.Mistake:
    return mistakes.make_invalid("", "", "", f"line {number}: {detail}")
