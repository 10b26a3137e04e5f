"""The life of this daemon."""

from __future__ import annotations

import attrs

from bronzetrack.membership import messages


@attrs.frozen
class Lifecycle:
    """The section of the lifecycle controller.

    :param status: what this VM tells its peers
    :param stop_requested: whether a planned stop has begun
    :param finished: whether the planned stop may end the process
    """

    status: messages.VmStatus = messages.VmStatus.STARTING
    stop_requested: bool = False
    finished: bool = False


@attrs.frozen
class StopRequest:
    """Posted to the lifecycle controller to begin a planned stop.

    :param origin: who asked, for the log
    """

    origin: str


def decide_lifecycle(
    state: Lifecycle,
    stop_requested: bool,
    configured: bool,
    caught_up: bool,
    idle_ms: int,
    drain_ms: int,
) -> Lifecycle:
    """Return the next state.

    :param configured: whether a configuration is in force
    :param caught_up: whether ownership has been read to its end, or cannot
        be read
    :param idle_ms: how long no request has been in progress, and no endpoint
        has been owned
    """
    if stop_requested:
        return Lifecycle(
            messages.VmStatus.LEAVING,
            stop_requested=True,
            finished=idle_ms >= drain_ms,
        )
    if state.status is messages.VmStatus.SERVING or (configured and caught_up):
        return Lifecycle(messages.VmStatus.SERVING)
    return Lifecycle(messages.VmStatus.STARTING)
