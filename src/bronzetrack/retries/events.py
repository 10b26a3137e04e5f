"""What runs report to the suspects controller."""

from __future__ import annotations

import attrs


@attrs.frozen
class CrashSeen:
    """An endpoint crashed.

    :param boot: the run of the engine that crashed, empty if it has none
    :param fingerprints: of the requests that ran there
    :param started_ms: Unix time at which the run that saw it started
    """

    endpoint: str
    boot: str
    fingerprints: tuple[str, ...]
    started_ms: int = 0


@attrs.frozen
class CrashesCarried:
    """A suspect is about to run, with the crashes that its entry VM knows."""

    fingerprint: str
    crashes: tuple[str, ...]


@attrs.frozen
class SuspectCompleted:
    """A suspect ran alone to its end.

    :param crashes: the crashes it was suspected of when it started
    """

    fingerprint: str
    crashes: tuple[str, ...]
