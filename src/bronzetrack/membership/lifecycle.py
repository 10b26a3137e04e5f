"""The life of this daemon."""

from __future__ import annotations

import attrs

from bronzetrack.membership import messages

# Callers get this time beyond that of the answer that they keep.
LATE_CALLER_MS = 2_000


@attrs.frozen
class Lifecycle:
    """The section of the lifecycle controller.

    :param status: what this VM tells its peers
    :param stop_requested: whether a planned stop has begun
    :param refuses_calls: whether callers are told to use another VM
    :param finished: whether the planned stop may end the process
    """

    status: messages.VmStatus = messages.VmStatus.STARTING
    stop_requested: bool = False
    refuses_calls: bool = False
    finished: bool = False


@attrs.frozen
class StopRequest:
    """Posted to the lifecycle controller to begin a planned stop.

    :param origin: who asked, for the log
    """

    origin: str


def decide_stop(
    stopping_ms: int, idle_ms: int, drain_ms: int, entry_ttl_s: int
) -> Lifecycle:
    """Return the state of a daemon that stops as planned.

    It stays until no caller can hold an answer that names it, and serves
    those that do. A caller that comes later keeps answers for too long.

    :param stopping_ms: time since the stop was requested
    :param idle_ms: how long no request has been in progress, and no endpoint
        has been owned
    """
    expired_ms = entry_ttl_s * 1_000
    return Lifecycle(
        messages.VmStatus.LEAVING,
        stop_requested=True,
        refuses_calls=stopping_ms >= expired_ms + LATE_CALLER_MS,
        finished=stopping_ms >= expired_ms and idle_ms >= drain_ms,
    )


def decide_start(
    state: Lifecycle, configured: bool, caught_up: bool
) -> Lifecycle:
    """Return the state of a daemon that starts or serves.

    :param configured: whether a configuration is in force
    :param caught_up: whether ownership has been read to its end, or cannot
        be read
    """
    if state.status is messages.VmStatus.SERVING or (configured and caught_up):
        return Lifecycle(messages.VmStatus.SERVING)
    return Lifecycle(messages.VmStatus.STARTING)
