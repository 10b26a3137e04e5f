"""Converters between attrs classes and plain values for wire formats."""

from __future__ import annotations

from typing import Any
from typing import get_origin

import cattrs
from cattrs import gen
import cattrs.preconf.json
import cattrs.preconf.msgpack

from bronzetrack.core import failures


def _is_attrs(cls: Any) -> bool:
    return hasattr(get_origin(cls) or cls, "__attrs_attrs__")


def _omit_defaults(converter: Any) -> Any:
    """Make a converter omit fields that have their default value."""

    def make_hook(cls: type) -> Any:
        return gen.make_dict_unstructure_fn(
            cls, converter, _cattrs_omit_if_default=True
        )

    converter.register_unstructure_hook_factory(_is_attrs, make_hook)
    return converter


def _reject_wrong_types(converter: Any) -> Any:
    """Make a converter reject values of a wrong type, not convert them.

    Otherwise the text "false" would become true, and a version 1.10 that an
    export wrote as a number would become "1.1".
    """
    for cls in (str, int, bool):
        converter.register_structure_hook(cls, _check_scalar)
    converter.register_structure_hook(float, _check_number)
    converter.register_structure_hook_func(
        lambda wanted: wanted == tuple[str, ...], _check_strings
    )
    return converter


def _check_scalar(value: Any, cls: type) -> Any:
    if type(value) is not cls:
        raise TypeError(f"{value!r} is not of type {cls.__name__}")
    return value


def _check_number(value: Any, cls: type) -> float:
    if type(value) not in (int, float):
        raise TypeError(f"{value!r} is not a number")
    return float(value)


def _check_strings(value: Any, cls: Any) -> tuple[str, ...]:
    if not isinstance(value, (list, tuple)):
        raise TypeError(f"{value!r} is not a list")
    return tuple(_check_scalar(item, str) for item in value)


# Messages and records ignore unknown fields, so that two versions of the
# daemon can run side by side. Documents, which people write, reject them.
WIRE = _omit_defaults(cattrs.preconf.msgpack.make_converter())
DOCUMENTS = _reject_wrong_types(
    _omit_defaults(
        cattrs.preconf.msgpack.make_converter(forbid_extra_keys=True)
    )
)
JSON = _reject_wrong_types(
    _omit_defaults(cattrs.preconf.json.make_converter(forbid_extra_keys=True))
)


def explain_error(error: BaseException) -> tuple[str, ...]:
    """Return one line for each mistake that a structuring error contains."""
    return tuple(cattrs.transform_error(error))


def describe_failure(
    reason: failures.Reason, error: BaseException
) -> failures.Failure:
    """Return a failure that describes a structuring error.

    :param reason: reason of the failure
    """
    return failures.Failure(reason, "; ".join(explain_error(error)))
