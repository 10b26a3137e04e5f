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
    """Claims the only run of a key.

    :param key: digest of member and idempotency key
    :param attempt: the attempt that may be dispatched if the claim is first
    :param fingerprint: digest of the request, to detect a reused key
    :param issued_ms: Unix time at which the caller issued the key
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
    """Makes sure that a key that was not dispatched never will be.

    :param attempt: the attempt that is given up
    :param incarnation: the claimant that withdraws its own claim, which it
        has not dispatched and never will; `NOT_CLAIMANT` from an entry VM
    """

    key: str
    incarnation: str
    attempt: str
    issued_ms: int


@records.RECORDS.register("key_result")
@attrs.frozen
class KeyResult:
    """How the run of a key ended.

    :param outcome: an `streaming.outcomes.Outcome` value
    :param status: HTTP status of the answer
    :param answer: the whole answer if it is small enough, else None
    :param vm: the VM that dispatched it, for the headers of a stored answer
    """

    key: str
    attempt: str
    outcome: str
    status: int
    content_type: str
    answer: bytes | None
    vm: str = ""
    endpoint: str = ""
