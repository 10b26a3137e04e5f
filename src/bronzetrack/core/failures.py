"""Typed failures, which functions return in place of a value."""

from __future__ import annotations

import enum

import attrs


class Reason(enum.Enum):
    """Why a request or an operation was refused or failed."""

    # Requests of callers.
    BAD_REQUEST = "bad_request"
    UNKNOWN_ADAPTER = "unknown_adapter"
    UNKNOWN_VERSION = "unknown_version"
    UNKNOWN_CLASS = "unknown_class"
    UNKNOWN_SERVICE = "unknown_service"
    BODY_TOO_LARGE = "body_too_large"
    BODY_TIMEOUT = "body_timeout"
    INTERNAL_ERROR = "internal_error"
    # Idempotency keys.
    KEY_INVALID = "key_invalid"
    KEY_ISSUE_TIME_MISSING = "key_issue_time_missing"
    KEY_EXPIRED = "key_expired"
    KEY_IN_FUTURE = "key_in_future"
    KEY_REQUIRED = "key_required"
    KEY_VOID = "key_void"
    KEY_IN_PROGRESS = "key_in_progress"
    KEY_REUSED = "key_reused"
    ANSWER_NOT_KEPT = "answer_not_kept"
    OUTCOME_UNKNOWN = "outcome_unknown"
    # Admission and limits.
    NO_CONFIGURATION = "no_configuration"
    NO_OWNER = "no_owner"
    QUEUE_FULL = "queue_full"
    QUEUE_TIMEOUT = "queue_timeout"
    WARM_QUOTA = "warm_quota"
    CRASHES_ENDPOINTS = "crashes_endpoints"
    DRAINING = "draining"
    CANCELLED = "cancelled"
    # Endpoints.
    ENDPOINT_UNREACHABLE = "endpoint_unreachable"
    ENDPOINT_LEAVING = "endpoint_leaving"
    ENDPOINT_REFUSED = "endpoint_refused"
    ENDPOINT_SLOW = "endpoint_slow"
    ENDPOINT_SILENT = "endpoint_silent"
    ENDPOINT_CRASHED = "endpoint_crashed"
    ENDPOINT_PROTOCOL = "endpoint_protocol"
    WRONG_ADAPTER = "wrong_adapter"
    LOAD_FAILED = "load_failed"
    ANSWER_INCOMPLETE = "answer_incomplete"
    # Platform and peers.
    LOG_UNAVAILABLE = "log_unavailable"
    LOG_RATE_LIMITED = "log_rate_limited"
    LOG_TRUNCATED = "log_truncated"
    APPEND_UNCERTAIN = "append_uncertain"
    VM_LIST_UNAVAILABLE = "vm_list_unavailable"
    PEER_UNREACHABLE = "peer_unreachable"
    PEER_PROTOCOL = "peer_protocol"
    FRAME_TOO_LARGE = "frame_too_large"
    LEASE_LAPSED = "lease_lapsed"
    FENCED = "fenced"
    # Configuration and settings.
    CONFIGURATION_CONFLICT = "configuration_conflict"
    CONFIGURATION_INVALID = "configuration_invalid"
    TRACE_INVALID = "trace_invalid"
    SETTING_INVALID = "setting_invalid"
    SETTING_UNKNOWN = "setting_unknown"


@attrs.frozen
class Failure:
    """A failure that is returned as a value.

    :param reason: the type of the failure
    :param detail: the specific cause, as text for people
    :param retry_after_ms: milliseconds to wait before a retry, if a retry can
        help
    :param limit: name of the limit that was reached, from the voted rules or
        the settings
    """

    reason: Reason
    detail: str = ""
    retry_after_ms: int | None = None
    limit: str | None = None
