"""Log lines that are bounded in number and never block the loop."""

from __future__ import annotations

import contextlib
import logging
import os
import time

# Lines a second and process at most, and how many may come at once.
LINES_PER_S = 200.0
BURST_LINES = 400.0
# Bytes that wait for a slow reader of the output; later lines are dropped.
WAITING_BYTES = 262_144


class BoundedStream:
    """Writes whole lines to a descriptor without waiting.

    :param descriptor: it is set to not block
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._waiting = bytearray()
        self.dropped = 0
        with contextlib.suppress(OSError):
            os.set_blocking(descriptor, False)

    def write(self, text: str) -> int:
        """Write a line, or drop it where the reader is too slow."""
        data = text.encode("utf-8", "replace")
        if len(self._waiting) + len(data) > WAITING_BYTES:
            self.dropped += 1
            return len(text)
        self._waiting += data
        return len(text)

    def flush(self) -> None:
        """Write what can be written at once."""
        with contextlib.suppress(BlockingIOError):
            while self._waiting:
                written = os.write(self._descriptor, self._waiting)
                del self._waiting[:written]


class RateLimit(logging.Filter):
    """Drops lines beyond the rate; the next line states how many."""

    def __init__(self) -> None:
        super().__init__()
        self._tokens = BURST_LINES
        self._at = time.monotonic()
        self._dropped = 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether a line is written."""
        now = time.monotonic()
        refill = (now - self._at) * LINES_PER_S
        self._tokens = min(BURST_LINES, self._tokens + refill)
        self._at = now
        if self._tokens < 1:
            self._dropped += 1
            return False
        self._tokens -= 1
        if self._dropped:
            record.dropped_lines = self._dropped
            self._dropped = 0
        return True


def bound_root_logger() -> None:
    """Apply the rate to all lines of the process."""
    for handler in logging.getLogger().handlers:
        handler.addFilter(RateLimit())
