"""Startup and planned stop of this daemon."""

from __future__ import annotations

import attrs

from bronzetrack.membership import messages

# Callers may exceed the lifetime of a cached answer by this time before calls
# are refused.
STALE_CALLER_GRACE_MS = 2_000


@attrs.frozen
class Lifecycle:
    """The section of the lifecycle controller.

    :param status: status that this VM reports to its peers
    :param stop_requested: whether a planned stop has begun
    :param refuses_calls: whether calls are refused and callers are directed to
        another VM
    :param finished: whether the planned stop may end the process
    """

    status: messages.VmStatus = messages.VmStatus.STARTING
    stop_requested: bool = False
    refuses_calls: bool = False
    finished: bool = False


@attrs.frozen
class StopRequest:
    """Message to the lifecycle controller that begins a planned stop.

    :param origin: source of the request, for the log
    """

    origin: str


def decide_stop(
    stopping_ms: int, idle_ms: int, drain_ms: int, entry_ttl_s: int
) -> Lifecycle:
    """Return the state of a daemon during a planned stop.

    The daemon keeps running and serving until no caller can hold a valid
    cached answer that names this VM. A caller that comes later has cached an
    answer for too long.

    :param stopping_ms: time since the stop was requested
    :param idle_ms: time for which no request has been in progress and no
        endpoint has been owned
    :param drain_ms: idle time that is required before the process ends
    :param entry_ttl_s: lifetime of an answer in caches of callers, in seconds
    """
    expired_ms = entry_ttl_s * 1_000
    return Lifecycle(
        messages.VmStatus.LEAVING,
        stop_requested=True,
        refuses_calls=stopping_ms >= expired_ms + STALE_CALLER_GRACE_MS,
        finished=stopping_ms >= expired_ms and idle_ms >= drain_ms,
    )


def decide_start(
    state: Lifecycle, configured: bool, caught_up: bool
) -> Lifecycle:
    """Return the state of a daemon that is starting or serving.

    :param configured: whether a configuration is in force
    :param caught_up: whether the ownership stream has been read to its end, or
        cannot be read
    """
    if state.status is messages.VmStatus.SERVING or (configured and caught_up):
        return Lifecycle(messages.VmStatus.SERVING)
    return Lifecycle(messages.VmStatus.STARTING)
