"""Limits of what one response of an endpoint may occupy.

Load pattern: a faulty endpoint sends header lines, interim responses, chunk
extensions or a body without end, to many requests at once.
"""

from __future__ import annotations

import attrs


@attrs.frozen
class ResponseLimits:
    """Limits of one response, in bytes.

    :param head_bytes: memory for the headers of a response
    :param overhead_bytes: bytes received in a row that are not part of the
        body of the awaited response: interim responses, responses to earlier
        requests, chunk extensions and trailers
    :param buffered_bytes: size of the part of a body, or of an incomplete
        event of a stream, that is kept in memory
    """

    head_bytes: int = 64 * 1024
    overhead_bytes: int = 256 * 1024
    buffered_bytes: int = 256 * 1024


DEFAULT = ResponseLimits()
# A page of the store's newest records has up to 1 MB, and more in JSON.
CALL_BODY_BYTES = 8 * 1024 * 1024
