"""msgpack codec that tags each object with its registered class name."""

from __future__ import annotations

from typing import Any

import msgpack

from bronzetrack.core import errors
from bronzetrack.core import failures
from bronzetrack.core import registry as registries
from bronzetrack.wire import converter


class TaggedCodec:
    """Encodes and decodes objects of the classes in a registry.

    The encoding is a msgpack array of the registered name and the fields.

    :param registry: the classes by name
    :param failure_reason: reason of the failures for invalid input
    """

    def __init__(
        self,
        registry: registries.Registry[type],
        failure_reason: failures.Reason,
    ) -> None:
        self.registry = registry
        self.failure_reason = failure_reason
        self._names: dict[type, str] = {}

    def encode(self, item: Any) -> bytes:
        """Return the encoding of an object.

        :raises errors.FailureError: msgpack cannot encode a value, such as an
            integer of more than 64 bits
        """
        cls = type(item)
        if cls not in self._names:
            self._names = {cls: name for name, cls in self.registry.items()}
        fields = converter.WIRE.unstructure(item)
        try:
            return msgpack.packb((self._names[cls], fields), use_bin_type=True)
        except (OverflowError, TypeError, ValueError) as error:
            detail = f"{cls.__name__}: {type(error).__name__}: {error}"
            raise errors.FailureError(
                failures.Failure(self.failure_reason, detail)
            ) from error

    def decode(self, data: bytes) -> Any:
        """Return the object that some bytes encode, or a failure."""
        try:
            name, fields = msgpack.unpackb(data, raw=False)
            cls = self.registry.lookup(name)
            return converter.WIRE.structure(fields, cls)
        except errors.UnknownEntryError as error:
            return failures.Failure(self.failure_reason, str(error))
        # msgpack and cattrs raise many types of exceptions for corrupt input.
        except Exception as error:
            return failures.Failure(
                self.failure_reason, f"{type(error).__name__}: {error}"
            )
