"""Limits of what one response of an endpoint may occupy.

Load pattern: a faulty endpoint sends header lines, interim responses, chunk
extensions or a body without end, to many requests at once.
"""

from __future__ import annotations

import math

import attrs


@attrs.frozen
class ResponseLimits:
    """Limits of one response.

    :param head_bytes: memory for the headers of a response
    :param overhead_bytes: bytes received in a row that are not part of the
        body of the awaited response: interim responses, responses to earlier
        requests, chunk extensions and trailers
    :param buffered_bytes: size of the part of a body, or of an incomplete
        event of a stream, that is kept in memory
    :param buffered_pieces: number of pieces, for instance chunks, of the part
        of a body that is kept in memory. Each takes processor time, however
        small it is.
    """

    head_bytes: int = 64 * 1024
    overhead_bytes: int = 256 * 1024
    buffered_bytes: int = 256 * 1024
    buffered_pieces: int = 4_096


DEFAULT = ResponseLimits()


@attrs.frozen
class BodyLimits:
    """Limits of the body of a response that is collected.

    :param size: size in bytes
    :param pieces: number of pieces, for instance chunks
    """

    size: int
    pieces: float = math.inf


# A page of the store's newest records has up to 1 MB, and more in JSON.
STORE_BODY = BodyLimits(size=8 * 1024 * 1024)
# Answers to orders and reports. Many engines may be faulty at once.
ENGINE_BODY = BodyLimits(size=256 * 1024, pieces=1_024)
