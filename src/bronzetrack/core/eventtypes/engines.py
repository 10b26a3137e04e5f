"""Log events of orders to engines."""

from __future__ import annotations

import attrs

from bronzetrack.core import logevents


@logevents.register("order", "an order was answered")
@attrs.frozen
class OrderAnswered(logevents.LogEvent):
    """An order to an engine and the answer to it.

    :param version: version of the adapter that the order requires
    :param sequence: sequence number of the order
    :param token: fencing token of the lease
    """

    endpoint: str
    operation: str
    model: str
    adapter: str
    version: int | None
    sequence: int
    token: int
    verdict: str
    repeated: bool


@logevents.register("engine_checked", "the report of an engine was requested")
@attrs.frozen
class EngineChecked(logevents.LogEvent):
    """The report of an engine; its fields are None if no report arrived.

    :param sequence: number of orders that the engine has accepted
    :param busy: whether the engine is loading a base model
    :param held: number of adapters that the engine has loaded
    :param pending: number of adapters that are being loaded
    :param expected: number of accepted orders that this VM expected
    """

    endpoint: str
    sequence: int | None
    busy: bool | None
    held: int | None
    pending: int | None
    expected: int
