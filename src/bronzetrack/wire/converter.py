"""Conversion between attrs classes and plain values for wire formats."""

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


def _write_sparsely(converter: Any) -> Any:
    """Make a converter leave out fields that have their default."""

    def unstructure_sparse(cls: type) -> Any:
        return gen.make_dict_unstructure_fn(
            cls, converter, _cattrs_omit_if_default=True
        )

    converter.register_unstructure_hook_factory(_is_attrs, unstructure_sparse)
    return converter


def _refuse_conversions(converter: Any) -> Any:
    """Make a converter take no value of another type in place of a scalar.

    Without this, the text "false" would count as true and a version 1.10
    that an export wrote as a number would become "1.1".
    """
    for cls in (str, int, bool):
        converter.register_structure_hook(cls, _check_scalar)
    converter.register_structure_hook(float, _check_number)
    converter.register_structure_hook_func(
        lambda wanted: wanted == tuple[str, ...], _check_texts
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


def _check_texts(value: Any, cls: Any) -> tuple[str, ...]:
    if not isinstance(value, (list, tuple)):
        raise TypeError(f"{value!r} is not a list")
    return tuple(_check_scalar(item, str) for item in value)


# Messages and records ignore unknown fields, so that two versions of the
# daemon can run side by side; documents that people write do not.
WIRE = _write_sparsely(cattrs.preconf.msgpack.make_converter())
DOCUMENTS = _refuse_conversions(
    _write_sparsely(
        cattrs.preconf.msgpack.make_converter(forbid_extra_keys=True)
    )
)
JSON = _refuse_conversions(
    _write_sparsely(cattrs.preconf.json.make_converter(forbid_extra_keys=True))
)


def explain_error(error: BaseException) -> tuple[str, ...]:
    """Return one line for each mistake that a structuring error holds."""
    return tuple(cattrs.transform_error(error))


def describe_failure(
    reason: failures.Reason, error: BaseException
) -> failures.Failure:
    """Return a failure for a structuring error."""
    return failures.Failure(reason, "; ".join(explain_error(error)))
