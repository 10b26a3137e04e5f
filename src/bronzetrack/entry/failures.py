"""Why a request ended without an endpoint's answer."""

from __future__ import annotations

import enum

import attrs


class Reason(enum.Enum):
    """What ended a request."""

    NO_CONFIGURATION = "no_configuration"
    NO_ROUTE = "no_route"
    NO_IDENTITY = "no_identity"
    STOPPING = "stopping"
    NO_ENDPOINT = "no_endpoint"
    NOT_LOADED = "not_loaded"
    OVERLOADED = "overloaded"
    ISOLATED = "isolated"
    DEADLINE = "deadline"
    REJECTED = "rejected"
    SUSPECTED = "suspected"
    LOST = "lost"
    MALFORMED = "malformed"
    CALLER_LEFT = "caller_left"


# Statuses 503, 429, 408 and 421 state that the request has not run and never
# will. All that may have run gets 502 or 504.
STATUSES = {
    Reason.NO_CONFIGURATION: 503,
    Reason.NO_ROUTE: 404,
    Reason.NO_IDENTITY: 400,
    Reason.STOPPING: 503,
    Reason.NO_ENDPOINT: 503,
    Reason.NOT_LOADED: 503,
    Reason.OVERLOADED: 503,
    Reason.ISOLATED: 503,
    Reason.REJECTED: 503,
    Reason.SUSPECTED: 503,
    Reason.DEADLINE: 504,
    Reason.LOST: 502,
    Reason.MALFORMED: 502,
    Reason.CALLER_LEFT: 502,
}


# Until a place, a slot or another endpoint may be free.
RETRY_AFTER_S = 0.5


@attrs.frozen
class Failure:
    """A typed failure.

    :param retry_after_s: when the caller should come back, if that helps
    """

    reason: Reason
    detail: str = ""
    retry_after_s: float | None = None

    @property
    def status(self) -> int:
        """Status of the answer."""
        return STATUSES[self.reason]
