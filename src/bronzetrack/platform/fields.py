"""Checks of single fields of the platform's JSON documents."""

from __future__ import annotations

import math
from typing import Any

from bronzetrack.core import errors


class DocumentError(errors.BronzetrackError):
    """A document cannot be decoded; the message gives the reason."""


def require_field(
    document: dict[str, Any], name: str, expected_type: type
) -> Any:
    """Return a field of the expected type.

    :raises DocumentError: it is missing or of another type
    """
    value = document.get(name)
    if isinstance(value, bool) and expected_type is not bool:
        raise DocumentError(f"{name} is not of type {expected_type.__name__}")
    if expected_type is float and isinstance(value, int):
        return float(value)
    if not isinstance(value, expected_type):
        raise DocumentError(f"{name} is not of type {expected_type.__name__}")
    return value


def read_flag(document: dict[str, Any], name: str) -> bool:
    """Return a truth value, `False` if it is missing or null.

    :raises DocumentError: it is of another type
    """
    if document.get(name) is None:
        return False
    return bool(require_field(document, name, bool))


def read_amount(
    document: dict[str, Any], name: str, default: float = 0.0
) -> float:
    """Return a finite number of at least 0.

    :param default: value of a field that is missing or null
    :raises DocumentError: it is not such a number
    """
    if document.get(name) is None:
        return default
    try:
        amount: float = require_field(document, name, float)
    except OverflowError as error:
        raise DocumentError(f"{name} is too large") from error
    if not math.isfinite(amount) or amount < 0:
        raise DocumentError(f"{name} is not a finite number of at least 0")
    return amount


def read_count(document: dict[str, Any], name: str, default: int) -> int:
    """Return a whole number of at least 0.

    :param default: value of a field that is missing or null
    :raises DocumentError: it is not such a number
    """
    amount = read_amount(document, name, default)
    if amount != int(amount):
        raise DocumentError(f"{name} is not a whole number")
    return int(amount)
