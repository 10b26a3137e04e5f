"""Signals of a process that are held back while nothing handles them.

The module imports the standard library only, so that a process can hold its
signals back before it imports the rest of the program.
"""

from __future__ import annotations

import signal

# Signals by which the platform and operators change and stop a process.
HANDLED = (signal.SIGHUP, signal.SIGINT, signal.SIGTERM)


def hold_signals() -> None:
    """Hold the handled signals back, as their default action ends a process.

    One signal of each kind is kept, also past the end of the interpreter.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED)


def release_signals() -> None:
    """Deliver the signals that were held back, and all later ones."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED)
