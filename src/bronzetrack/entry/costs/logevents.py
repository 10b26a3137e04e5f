"""Log events of the routing by cost."""

from __future__ import annotations

import attrs

from bronzetrack.core.eventtypes import requests as request_events


@attrs.frozen
class RequestSentByCost(request_events.RequestSent):
    """The event `sent` with the inputs of the choice by cost.

    :param rule: rule that decided
    :param estimated_work_ms: work of the request, in ms of the endpoint
    :param estimated_wait_ms: work ahead of it, in ms of the endpoint
    :param estimated_first_ms: time from the send to the first event
    """

    rule: str
    estimated_work_ms: float
    estimated_wait_ms: float
    estimated_first_ms: float
