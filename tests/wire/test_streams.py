"""Tests of reading streamed responses."""

from __future__ import annotations

import httpcore
from hypothesis import given
from hypothesis import strategies
import pytest

from bronzetrack.wire import streams


def encode(parts):
    """Return the chunked encoding, with an extension that is ignored."""
    chunks = [b"%x;a=b\r\n%s\r\n" % (len(part), part) for part in parts]
    return b"".join(chunks) + b"0\r\n\r\n"


@given(
    strategies.lists(strategies.binary(min_size=1)),
    strategies.integers(min_value=1, max_value=40),
)
def test_decoder_returns_content_however_it_is_split(parts, size):
    """Guards against content lost or doubled where reads split a chunk."""
    decoder = streams.ChunkedDecoder()
    data = encode(parts)
    reads = [data[at : at + size] for at in range(0, len(data), size)]
    assert b"".join(map(decoder.decode, reads)) == b"".join(parts)
    assert decoder.ended


@pytest.mark.parametrize(
    "data",
    [b"x\r\n", b"-1\r\n", b"\r\n", b"2\r\nabcd\r\n", b"fffffffff\r\n"]
    + [b"f" * 2_000],
)
def test_decoder_refuses_broken_framing(data):
    """Guards against content that is read from a broken body."""
    with pytest.raises(httpcore.RemoteProtocolError):
        streams.ChunkedDecoder().decode(data)


def test_plain_decoder_stops_at_length():
    """Guards against bytes of a next response in the body."""
    decoder = streams.PlainDecoder(3)
    assert decoder.decode(b"ab") + decoder.decode(b"cd") == b"abc"
    assert decoder.ended
