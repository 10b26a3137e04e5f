"""Failures of requests that end without an answer of an endpoint."""

from __future__ import annotations

import enum

import attrs


class Reason(enum.Enum):
    """Reason for which a request failed."""

    NO_CONFIGURATION = "no_configuration"
    NO_ROUTE = "no_route"
    UNAUTHORIZED = "unauthorized"
    NO_IDENTITY = "no_identity"
    STOPPING = "stopping"
    NO_ENDPOINT = "no_endpoint"
    NOT_LOADED = "not_loaded"
    OVERLOADED = "overloaded"
    ISOLATED = "isolated"
    DEADLINE = "deadline"
    CUT_OFF = "cut_off"
    REJECTED = "rejected"
    SUSPECTED = "suspected"
    PAUSED = "paused"
    LOST = "lost"
    MALFORMED = "malformed"
    OVERSIZED = "oversized"
    UNIDENTIFIED = "unidentified"
    CALLER_LEFT = "caller_left"
    OVER_QUOTA = "over_quota"
    QUOTA_UNKNOWN = "quota_unknown"


# Statuses 503, 429, 408 and 421 guarantee that the request has not run and
# never will. Requests that may have run are answered with 502 or 504.
STATUSES = {
    Reason.NO_CONFIGURATION: 503,
    Reason.NO_ROUTE: 404,
    Reason.UNAUTHORIZED: 401,
    Reason.NO_IDENTITY: 400,
    Reason.STOPPING: 503,
    Reason.NO_ENDPOINT: 503,
    Reason.NOT_LOADED: 503,
    Reason.OVERLOADED: 503,
    Reason.ISOLATED: 503,
    Reason.REJECTED: 503,
    Reason.SUSPECTED: 503,
    Reason.PAUSED: 503,
    Reason.DEADLINE: 504,
    Reason.CUT_OFF: 504,
    Reason.LOST: 502,
    Reason.MALFORMED: 502,
    Reason.OVERSIZED: 502,
    Reason.UNIDENTIFIED: 502,
    Reason.CALLER_LEFT: 502,
    Reason.OVER_QUOTA: 429,
    Reason.QUOTA_UNKNOWN: 503,
}


# Statuses that guarantee that the request has not run and never will.
NOT_RUN_STATUSES = (408, 421, 429, 503)

# Time until an adapter slot, a request slot or another endpoint may be free.
RETRY_AFTER_S = 0.5


@attrs.frozen
class Failure:
    """A failure with its reason and a detail for people.

    :param retry_after_s: seconds until the caller should retry, `None` if a
        retry does not help
    """

    reason: Reason
    detail: str = ""
    retry_after_s: float | None = None

    @property
    def status(self) -> int:
        """HTTP status of the answer to the caller."""
        return STATUSES[self.reason]


# Retry-After of requests that fail for lack of a configuration. Callers wait
# for this time, but at most for a third of their remaining time.
NO_CONFIGURATION_RETRY_S = 1.0
NO_CONFIGURATION = Failure(
    Reason.NO_CONFIGURATION,
    "no configuration is known yet",
    NO_CONFIGURATION_RETRY_S,
)
# Another VM can take the request at once.
STOPPING = Failure(Reason.STOPPING, "this VM stops", 0.0)


def classify_interruption(possible_runs: int, stopping: bool) -> Failure:
    """Return the failure of a request that was ended while it was forwarded.

    :param possible_runs: number of sends after which an endpoint may have run
        the request
    :param stopping: whether this VM stopped, and not the request's deadline
    """
    if stopping and possible_runs:
        return Failure(
            Reason.CUT_OFF, "this VM stopped before an endpoint answered"
        )
    if stopping:
        return STOPPING
    if possible_runs:
        return Failure(Reason.DEADLINE, "timeout")
    # The status of OVERLOADED states that no endpoint ran the request.
    return Failure(Reason.OVERLOADED, "timeout")


def correct_guarantee(failure: Failure, possible_runs: int) -> Failure:
    """Return a failure that guarantees nothing if the request may have run.

    An idempotent request may have run at one endpoint before another one
    rejected it, or before no further endpoint was found.

    :param possible_runs: number of sends after which an endpoint may have run
        the request
    """
    if not possible_runs or failure.status not in NOT_RUN_STATUSES:
        return failure
    return Failure(
        Reason.LOST,
        f"it may have run; then {failure.reason.value}: {failure.detail}",
    )
