"""Events that runs of attempts post to the suspects controller."""

from __future__ import annotations

import attrs


@attrs.frozen
class CrashObserved:
    """A run observed the crash of an endpoint.

    :param boot: boot value of the engine that crashed, empty if the endpoint
        has none
    :param fingerprints: fingerprints of the requests that ran on the endpoint
    :param started_ms: Unix time in milliseconds at which the run that
        observed the crash started
    """

    endpoint: str
    boot: str
    fingerprints: tuple[str, ...]
    started_ms: int = 0


@attrs.frozen
class CrashesReceived:
    """A suspect is about to run, and its entry VM sent crashes with it.

    :param crashes: crashes that the request may have caused, as far as the
        entry VM knows them
    """

    fingerprint: str
    crashes: tuple[str, ...]


@attrs.frozen
class SuspectCompleted:
    """A suspect completed while it ran alone on its endpoint.

    :param crashes: the crashes it was suspected of when it started
    """

    fingerprint: str
    crashes: tuple[str, ...]
