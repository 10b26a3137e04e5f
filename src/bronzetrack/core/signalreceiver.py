"""Receipt of the signals of a process by its event loop."""

from __future__ import annotations

from collections.abc import AsyncIterator
from collections.abc import Iterator
import contextlib
import signal

import anyio

from bronzetrack.core import signalmask


@contextlib.contextmanager
def receive_signals() -> Iterator[AsyncIterator[signal.Signals]]:
    """Receive the handled signals, also those that were held back before.

    The signals are held back again before their handlers are removed, until
    the process has ended.
    """
    with anyio.open_signal_receiver(*signalmask.HANDLED) as signals:
        signalmask.release_signals()
        try:
            yield signals
        finally:
            signalmask.hold_signals()
