"""Log events of admission control."""

from __future__ import annotations

import attrs

from bronzetrack.core import logevents


@logevents.register("engine_full", "an engine is full, so requests wait")
@attrs.frozen
class EngineFull(logevents.LogEvent):
    """An engine rejected a request after it had accepted others.

    :param waiting: requests of this VM that could run on it
    """

    endpoint: str
    request_id: str
    waiting: int


@logevents.register("engine_free", "an engine that was full accepts requests")
@attrs.frozen
class EngineFree(logevents.LogEvent):
    """A probe was accepted.

    :param rejections: consecutive rejections before it
    :param waiting: requests of this VM that could run on it
    """

    endpoint: str
    request_id: str
    rejections: int
    waiting: int


@logevents.register("admission_refused", "a request for full engines failed")
@attrs.frozen
class AdmissionRefused(logevents.LogEvent):
    """A request was refused as all engines that could run it are full.

    :param reason: `rejected` if no send is left, `overloaded` if the request
        waited for too long
    :param sends: number of sends, each of which was rejected
    :param ahead_s: time that the engine with the least work needs for it
    :param waiting: requests of this VM that wait for full engines
    """

    request_id: str
    reason: str
    sends: int
    ahead_s: float | None
    retry_after_s: float | None
    waiting: int
