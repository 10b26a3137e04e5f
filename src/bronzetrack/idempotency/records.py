"""Log records of the stream `keys`."""

from __future__ import annotations

import attrs

from bronzetrack.core import records

STREAM = "keys"
STORED_ANSWER_BYTES = 4_096
NOT_CLAIMANT = ""


@records.RECORDS.register("key_claim")
@attrs.frozen
class KeyClaim:
    """Claims the only run of a key for an attempt.

    :param key: digest of member and idempotency key
    :param vm: the VM of the claimant
    :param attempt: the attempt that may be dispatched if this is the first
        record of the key
    :param fingerprint: digest of the request, to detect a reused key
    :param issued_ms: Unix time in milliseconds at which the caller issued the
        key
    """

    key: str
    vm: str
    incarnation: str
    attempt: str
    fingerprint: str
    issued_ms: int


@records.RECORDS.register("key_void")
@attrs.frozen
class KeyVoid:
    """Prevents every later dispatch of a key that was not dispatched.

    :param attempt: the attempt that must not be dispatched any more
    :param incarnation: incarnation of the claimant that withdraws its own
        claim, which it has not dispatched and never will dispatch;
        `NOT_CLAIMANT` if an entry VM appends the record
    """

    key: str
    incarnation: str
    attempt: str
    issued_ms: int


@records.RECORDS.register("key_result")
@attrs.frozen
class KeyResult:
    """The result of the run of a key.

    :param outcome: a value of `streaming.outcomes.Outcome`
    :param status: HTTP status of the answer
    :param answer: the whole answer if the run completed and the answer has at
        most `STORED_ANSWER_BYTES`, else None
    :param vm: the VM that dispatched the work, for the headers of a stored
        answer
    """

    key: str
    attempt: str
    outcome: str
    status: int
    content_type: str
    answer: bytes | None
    vm: str = ""
    endpoint: str = ""
