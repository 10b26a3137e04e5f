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


# Messages and records ignore unknown fields, so that two versions of the
# daemon can run side by side; documents that people write do not.
WIRE = _write_sparsely(cattrs.preconf.msgpack.make_converter())
DOCUMENTS = _write_sparsely(
    cattrs.preconf.msgpack.make_converter(forbid_extra_keys=True)
)
JSON = _write_sparsely(
    cattrs.preconf.json.make_converter(forbid_extra_keys=True)
)


def explain_error(error: BaseException) -> tuple[str, ...]:
    """Return one line for each mistake that a structuring error holds."""
    return tuple(cattrs.transform_error(error))


def describe_failure(
    reason: failures.Reason, error: BaseException
) -> failures.Failure:
    """Return a failure for a structuring error."""
    return failures.Failure(reason, "; ".join(explain_error(error)))
