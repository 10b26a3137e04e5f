"""What has been done for a request so far."""

from __future__ import annotations

import attrs

from bronzetrack.entry import events


@attrs.define(eq=False)
class Progress:
    """What has been done for a request.

    :param ran: endpoints that may have run it
    :param elsewhere_until: until when it waits for an engine that has not
        broken off yet
    :param status: status of the endpoint's last answer, 0 without one
    :param waited_s: time from the arrival to the last send
    :param first_byte_s: time from the arrival to the answer's first byte
    """

    service: str
    tried: set[str] = attrs.field(factory=set)
    sends: int = 0
    ran: int = 0
    outcome: str = ""
    status: int = 0
    endpoint: str = ""
    buffer: events.EventBuffer | None = None
    waited_s: float | None = None
    first_byte_s: float | None = None
    asked_at: float = 0.0
    elsewhere_until: float = 0.0
    missing: str = ""
    unreachable: str = ""
