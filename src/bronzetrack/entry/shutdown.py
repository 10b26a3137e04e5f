"""Decisions on requests while a VM shuts down gracefully."""

from __future__ import annotations

import attrs

# Largest share of the grace period in which new requests are accepted. The
# rest of it lets these requests finish.
ACCEPTING_SHARE = 0.3
# Callers that have just got an address of this VM use it for the first time
# within this time after the address has expired.
ADDRESS_MARGIN_S = 0.5
# Requests whose deadline is after the shutdown are sent to endpoints for this
# share of the grace period.
SENDING_SHARE = 0.5
# Unfinished requests are ended this long before the platform kills the
# process.
END_MARGIN_S = 0.3
# The process exits this long before the platform kills it.
EXIT_MARGIN_S = 0.1


@attrs.frozen
class Schedule:
    """Times of the steps of a graceful shutdown.

    :param accepts_until: until when new requests are accepted
    :param sends_until: until when requests are sent to endpoints although
        their deadline is after `ends_at`
    :param ends_at: when unfinished requests are ended
    :param exits_at: when the process exits at the latest
    """

    accepts_until: float
    sends_until: float
    ends_at: float
    exits_at: float


def plan_shutdown(
    now: float, grace_s: float, address_ttl_s: float
) -> Schedule:
    """Return the schedule of a shutdown that starts now.

    Load pattern: callers keep an address of this VM for a while after it says
    that it is not ready, and retry once. If they were refused at once, the
    retry would be spent on that.

    :param grace_s: time until the platform kills the process, in seconds
    :param address_ttl_s: longest time for which callers keep an address, in
        seconds
    """
    accepting_s = min(
        ACCEPTING_SHARE * grace_s, address_ttl_s + ADDRESS_MARGIN_S
    )
    return Schedule(
        accepts_until=now + accepting_s,
        sends_until=now + SENDING_SHARE * grace_s,
        ends_at=now + grace_s - END_MARGIN_S,
        exits_at=now + grace_s - EXIT_MARGIN_S,
    )


def may_send(schedule: Schedule | None, deadline: float, now: float) -> bool:
    """Return whether a request that has not run may be sent to an endpoint.

    Load pattern: a service is full, and an endpoint becomes free late in the
    grace period. A request that is sent then is ended before it is answered,
    and its caller cannot know whether it ran. Another VM can still serve it.

    :param schedule: schedule of the shutdown, `None` without one
    :param deadline: time at which the request ends at the latest
    """
    if schedule is None or now < schedule.sends_until:
        return True
    return deadline <= schedule.ends_at
