"""Log output that is rate-limited and never blocks the event loop."""

from __future__ import annotations

import contextlib
import logging
import os
import time

# Maximum rate of log lines per process, and the largest burst.
LINES_PER_S = 200.0
BURST_LINES = 400.0
# Bytes buffered for a slow reader of the output. Lines beyond are dropped.
BUFFER_BYTES = 262_144


class BoundedStream:
    """Writes whole lines to a file descriptor without blocking.

    :param descriptor: file descriptor, which is set to non-blocking mode
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._buffer = bytearray()
        self.dropped = 0
        with contextlib.suppress(OSError):
            os.set_blocking(descriptor, False)

    def write(self, text: str) -> int:
        """Buffer a line, or drop it if the buffer is full."""
        data = text.encode("utf-8", "replace")
        if len(self._buffer) + len(data) > BUFFER_BYTES:
            self.dropped += 1
            return len(text)
        self._buffer += data
        return len(text)

    def flush(self) -> None:
        """Write as much of the buffer as is possible without blocking."""
        with contextlib.suppress(BlockingIOError):
            while self._buffer:
                written = os.write(self._descriptor, self._buffer)
                del self._buffer[:written]


class RateLimit(logging.Filter):
    """Drops lines beyond the rate limit.

    The next line that passes has the number of dropped lines in its field
    `dropped_lines`.
    """

    def __init__(self) -> None:
        super().__init__()
        self._tokens = BURST_LINES
        self._refilled_at = time.monotonic()
        self._dropped = 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether a line is within the rate limit."""
        now = time.monotonic()
        refill = (now - self._refilled_at) * LINES_PER_S
        self._tokens = min(BURST_LINES, self._tokens + refill)
        self._refilled_at = now
        if self._tokens < 1:
            self._dropped += 1
            return False
        self._tokens -= 1
        if self._dropped:
            record.dropped_lines = self._dropped
            self._dropped = 0
        return True


def bound_root_logger() -> None:
    """Apply the rate limit to every handler of the root logger."""
    for handler in logging.getLogger().handlers:
        handler.addFilter(RateLimit())
