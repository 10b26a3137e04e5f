"""Check of the head of a response for signs of two joined responses.

A server may begin a response a second time and break off within its head. The
bytes are followed by the next response of the connection, and the parser takes
both for one.
"""

from __future__ import annotations

import re

from bronzetrack.platform import names
from bronzetrack.transport import heads

# Valid status codes (RFC 9110, section 15), and those of interim responses.
STATUSES = range(100, 600)
INTERIM_STATUSES = range(100, 200)
STATUS_LINE = re.compile(rb"HTTP/\d\.\d \d{3}")
# Headers of which a response has one at most.
SINGLE_HEADERS = frozenset(
    {
        b"content-length",
        names.REQUEST_ID,
        names.SIGNATURE,
        names.NOT_EXECUTED,
        names.RETRY_AFTER,
    }
)


def is_broken(status: int, reason: bytes, headers: heads.Headers) -> bool:
    """Return whether a head cannot be that of one response.

    A server may send heads without end, so that this has to be fast.

    :param reason: text after the status code
    :param headers: with names in lower case
    """
    if _has_status_line(reason) or status not in STATUSES:
        return True
    if not headers:
        return False
    single = [name for name, _ in headers if name in SINGLE_HEADERS]
    return (
        len(single) > len(set(single))
        or any(_has_status_line(value) for _, value in headers)
        or (status in INTERIM_STATUSES and _has_body(headers))
    )


def _has_status_line(text: bytes) -> bool:
    return b"HTTP/" in text and STATUS_LINE.search(text) is not None


def _has_body(headers: heads.Headers) -> bool:
    """Return whether an interim response has a body.

    It would be taken for a part of the final one.
    """
    return any(
        name == b"transfer-encoding"
        or (name == b"content-length" and value != b"0")
        for name, value in headers
    )
