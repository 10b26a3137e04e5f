"""HTTP status codes of failures."""

from __future__ import annotations

from bronzetrack.core import failures

DEFAULT_STATUS = 503

STATUSES: dict[failures.Reason, int] = {
    failures.Reason.BAD_REQUEST: 400,
    failures.Reason.UNKNOWN_CLASS: 400,
    failures.Reason.KEY_INVALID: 400,
    failures.Reason.KEY_ISSUE_TIME_MISSING: 400,
    failures.Reason.KEY_REQUIRED: 400,
    failures.Reason.KEY_IN_FUTURE: 400,
    failures.Reason.UNKNOWN_ADAPTER: 404,
    failures.Reason.UNKNOWN_VERSION: 404,
    failures.Reason.UNKNOWN_SERVICE: 404,
    failures.Reason.BODY_TIMEOUT: 408,
    failures.Reason.KEY_IN_PROGRESS: 409,
    failures.Reason.KEY_VOID: 409,
    failures.Reason.KEY_REUSED: 422,
    failures.Reason.ANSWER_NOT_KEPT: 409,
    failures.Reason.KEY_EXPIRED: 410,
    failures.Reason.BODY_TOO_LARGE: 413,
    failures.Reason.FRAME_TOO_LARGE: 413,
    failures.Reason.CRASHES_ENDPOINTS: 422,
    failures.Reason.WARM_QUOTA: 429,
    failures.Reason.QUEUE_FULL: 429,
    failures.Reason.INTERNAL_ERROR: 500,
    failures.Reason.ENDPOINT_CRASHED: 502,
    failures.Reason.ENDPOINT_PROTOCOL: 502,
    failures.Reason.WRONG_ADAPTER: 502,
    failures.Reason.ANSWER_INCOMPLETE: 502,
    failures.Reason.ENDPOINT_SILENT: 504,
    failures.Reason.OUTCOME_UNKNOWN: 504,
    failures.Reason.QUEUE_TIMEOUT: 504,
}


def get_status(failure: failures.Failure) -> int:
    """Return the HTTP status code for a failure."""
    return STATUSES.get(failure.reason, DEFAULT_STATUS)
