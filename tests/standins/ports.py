"""Ports that test processes listen on."""

from __future__ import annotations

import fcntl
import itertools
import os
import pathlib
import socket
import tempfile

# Below the range from which the system takes ports of outgoing connections.
FIRST_PORT = 12_000
LAST_PORT = 31_999
LOCKS = pathlib.Path(tempfile.gettempdir()) / f"test-ports-{os.getuid()}"
# Open files, whose locks hold the ports until this process ends.
_held: list[int] = []
_candidates = itertools.cycle(range(FIRST_PORT, LAST_PORT + 1))


def hold_port(host: str) -> int:
    """Return a port that is free and that no other test process gets.

    A port that is only looked up may be taken before its process binds it,
    which then never gets ready.

    :raises RuntimeError: all ports are taken
    """
    LOCKS.mkdir(exist_ok=True)
    for port in itertools.islice(_candidates, LAST_PORT - FIRST_PORT + 1):
        if _lock(port) and _is_free(host, port):
            return port
    raise RuntimeError("all ports are taken")


def _lock(port: int) -> bool:
    """Return whether this process is the first to hold a port."""
    file = os.open(LOCKS / str(port), os.O_RDWR | os.O_CREAT, 0o600)
    try:
        fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError:
        os.close(file)
        return False
    _held.append(file)
    return True


def _is_free(host: str, port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(type=kind) as probe:
            try:
                probe.bind((host, port))
            except OSError:
                return False
    return True
