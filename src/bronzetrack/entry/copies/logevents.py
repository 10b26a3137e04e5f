"""Log events of the copies of adapters."""

from __future__ import annotations

import attrs

from bronzetrack.core import logevents


@logevents.register("copies_requested", "an adapter needs further copies")
@attrs.frozen
class CopiesRequested(logevents.LogEvent):
    """A VM asked for further copies of an adapter.

    :param holders: number of engines that hold it, as this VM knows
    :param copies: number of engines that should hold it
    """

    request_id: str
    adapter: str
    holders: int
    copies: int


@logevents.register("copy_planned", "a further copy of an adapter is loaded")
@attrs.frozen
class CopyPlanned(logevents.LogEvent):
    """The holder of the lease orders a further copy of an adapter.

    :param endpoint: engine that loads the copy
    :param holders: number of engines that hold the adapter or load it
    :param copies: number of engines that should hold it
    :param waiting: requests that the demand stands for
    :param waited_s: time since the first load request
    """

    endpoint: str
    adapter: str
    holders: int
    copies: int
    waiting: float
    waited_s: float | None
