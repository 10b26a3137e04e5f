"""Requests that may crash the endpoints that run them."""

from __future__ import annotations

from collections.abc import Mapping

import attrs

from bronzetrack.retries import records

CRASH_LIMIT = 2
MEMORY_MS = 3_600_000


@attrs.frozen
class Suspect:
    """Crashes that a fingerprint was present at.

    :param crashes: identities of the crashes
    :param seen_ms: monotonic time of the latest
    """

    crashes: frozenset[str]
    seen_ms: int


@attrs.frozen
class SuspectTable:
    """The section of the suspects controller, by fingerprint."""

    next_offset: int = 0
    suspects: Mapping[str, Suspect] = attrs.field(factory=dict)

    def is_suspect(self, fingerprint: str) -> bool:
        """Return whether a request has to run alone."""
        return fingerprint in self.suspects

    def is_banned(self, fingerprint: str) -> bool:
        """Return whether a request is refused."""
        suspect = self.suspects.get(fingerprint)
        return suspect is not None and len(suspect.crashes) >= CRASH_LIMIT


def record_crash(
    table: SuspectTable, record: records.CrashRecord, now_ms: int
) -> SuspectTable:
    """Return the table after a crash; one seen before changes nothing."""
    changed = {
        fingerprint: _add_crash(
            table.suspects.get(fingerprint), record.crash, now_ms
        )
        for fingerprint in record.fingerprints
    }
    kept = {
        fingerprint: suspect
        for fingerprint, suspect in table.suspects.items()
        if now_ms - suspect.seen_ms < MEMORY_MS
    }
    return attrs.evolve(table, suspects={**kept, **changed})


def _add_crash(known: Suspect | None, crash: str, now_ms: int) -> Suspect:
    crashes = frozenset() if known is None else known.crashes
    return Suspect(crashes | {crash}, now_ms)


def clear_suspect(table: SuspectTable, fingerprint: str) -> SuspectTable:
    """Return the table after a suspect completed alone."""
    kept = {
        name: suspect
        for name, suspect in table.suspects.items()
        if name != fingerprint
    }
    return attrs.evolve(table, suspects=kept)
