"""Length-prefixed frames on a byte stream."""

from __future__ import annotations

from typing import TYPE_CHECKING

from anyio.streams import buffered

from bronzetrack.core import errors
from bronzetrack.core import failures

if TYPE_CHECKING:
    from anyio import abc

PREFIX_BYTES = 4
FRAME_BYTES = 1_048_576


def encode_frame(payload: bytes) -> bytes:
    """Return a payload prefixed with its length.

    :raises errors.FailureError: the payload exceeds FRAME_BYTES
    """
    _check_size(len(payload))
    return len(payload).to_bytes(PREFIX_BYTES, "big") + payload


def _check_size(size: int) -> None:
    if size > FRAME_BYTES:
        raise errors.FailureError(
            failures.Failure(
                failures.Reason.FRAME_TOO_LARGE,
                f"{size} bytes, {FRAME_BYTES} allowed",
            )
        )


class FrameReader:
    """Reads frames from a byte stream."""

    def __init__(self, stream: abc.ByteReceiveStream) -> None:
        self._stream = buffered.BufferedByteReceiveStream(stream)

    async def read_frame(self) -> bytes:
        """Return the payload of the next frame.

        :raises errors.FailureError: the frame exceeds FRAME_BYTES
        :raises anyio.IncompleteRead: the stream ended
        """
        prefix = await self._stream.receive_exactly(PREFIX_BYTES)
        size = int.from_bytes(prefix, "big")
        _check_size(size)
        return await self._stream.receive_exactly(size)
