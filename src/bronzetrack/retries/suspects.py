"""Requests that may crash the endpoints that run them."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping
import itertools
from typing import Any

import attrs

from bronzetrack.core import failures
from bronzetrack.retries import records

CRASH_LIMIT = 2
MEMORY_MS = 3_600_000
# About 3 MB; a crash adds as many as the endpoint has slots.
SUSPECTS = 8_192
# A service has no boot value. Its runs fail within this of each other.
GATHER_MS = 5_000


@attrs.frozen
class Suspect:
    """Crashes that a fingerprint was present at.

    Both sets only grow, so that the order in which records arrive from peers
    and from the log does not matter.

    :param crashes: identities of the crashes
    :param cleared: those that it did not cause
    :param seen_ms: monotonic time of the latest
    """

    crashes: frozenset[str] = frozenset()
    cleared: frozenset[str] = frozenset()
    seen_ms: int = 0

    @property
    def suspected(self) -> frozenset[str]:
        """Crashes that it may have caused."""
        return self.crashes - self.cleared


@attrs.frozen
class SuspectTable:
    """The section of the suspects controller, by fingerprint."""

    next_offset: int = 0
    suspects: Mapping[str, Suspect] = attrs.field(factory=dict)

    def list_crashes(
        self, fingerprint: str, carried: Iterable[str] = ()
    ) -> frozenset[str]:
        """Return the crashes that a request may have caused.

        :param carried: crashes that another VM knew of, whose notice may not
            have reached this VM
        """
        known = self.suspects.get(fingerprint, Suspect())
        return known.suspected | (frozenset(carried) - known.cleared)

    def is_suspect(self, fingerprint: str) -> bool:
        """Return whether a request has to run alone."""
        return bool(self.list_crashes(fingerprint))

    def is_banned(self, fingerprint: str) -> bool:
        """Return whether a request is refused."""
        return len(self.list_crashes(fingerprint)) >= CRASH_LIMIT


def check_run(
    table: SuspectTable,
    fingerprint: str,
    isolated: bool,
    carried: Iterable[str] = (),
) -> failures.Failure | None:
    """Return why a request may not be dispatched, None if it may.

    :param carried: crashes that the entry VM knew of
    """
    suspected = table.list_crashes(fingerprint, carried)
    if len(suspected) >= CRASH_LIMIT:
        return describe_ban()
    if suspected and not isolated:
        return failures.Failure(
            failures.Reason.ENDPOINT_REFUSED, "the request has to run alone"
        )
    return None


def describe_ban() -> failures.Failure:
    """Return the failure for a request that is refused everywhere."""
    return failures.Failure(
        failures.Reason.CRASHES_ENDPOINTS,
        f"{CRASH_LIMIT} endpoints crashed while they ran this request",
    )


def make_crash_id(
    endpoint: str,
    boot: str,
    earlier: Iterable[str],
    started_ms: int,
    now_ms: int,
) -> str:
    """Return the identity of a crash, the same for all its witnesses.

    A run that started after a crash of a service was seen ran in a later
    process: a service that is back within a second may crash again.

    :param earlier: identities of earlier crashes of a service
    :param started_ms: Unix time at which the run that saw it started
    :param now_ms: Unix time
    """
    if boot:
        return f"{endpoint}/{boot}"
    oldest_ms = max(started_ms, now_ms - GATHER_MS + 1)
    for crash in earlier:
        name, _, time_ms = crash.rpartition("/")
        if name == endpoint and int(time_ms) >= oldest_ms:
            return crash
    return f"{endpoint}/{now_ms}"


def apply_record(
    table: SuspectTable, record: Any, age_ms: int, now_ms: int
) -> SuspectTable:
    """Return the table after a record of the stream or of a peer.

    :param age_ms: how long ago it was made
    """
    if age_ms >= MEMORY_MS:
        return table
    match record:
        case records.CrashRecord():
            return record_crash(table, record, now_ms - age_ms)
        case records.ClearanceRecord():
            return clear_suspect(table, record, now_ms - age_ms)
    return table


def record_crash(
    table: SuspectTable, record: records.CrashRecord, now_ms: int
) -> SuspectTable:
    """Return the table after a crash; one seen before changes nothing."""
    changed = {}
    for fingerprint in record.fingerprints:
        known = table.suspects.get(fingerprint, Suspect())
        changed[fingerprint] = attrs.evolve(
            known,
            crashes=known.crashes | {record.crash},
            seen_ms=max(known.seen_ms, now_ms),
        )
    return _replace(table, changed, now_ms)


def learn_crashes(
    table: SuspectTable, fingerprint: str, crashes: Iterable[str], now_ms: int
) -> SuspectTable:
    """Return the table after a request came with crashes it may have caused.

    A suspect has one endpoint in the eyes of all VMs. Its owner has to know
    every crash, as an entry VM that sends the request again may know only the
    latest.
    """
    known = table.suspects.get(fingerprint, Suspect())
    learnt = attrs.evolve(
        known,
        crashes=known.crashes | set(crashes),
        seen_ms=max(known.seen_ms, now_ms),
    )
    return _replace(table, {fingerprint: learnt}, now_ms)


def clear_suspect(
    table: SuspectTable, record: records.ClearanceRecord, now_ms: int
) -> SuspectTable:
    """Return the table after a suspect completed alone."""
    known = table.suspects.get(record.fingerprint, Suspect())
    cleared = attrs.evolve(
        known,
        cleared=known.cleared | set(record.crashes),
        seen_ms=max(known.seen_ms, now_ms),
    )
    return _replace(table, {record.fingerprint: cleared}, now_ms)


def _replace(
    table: SuspectTable, changed: Mapping[str, Suspect], now_ms: int
) -> SuspectTable:
    """Return the table with changes, and without what is old or too much."""
    merged = {**table.suspects, **changed}
    kept = {
        fingerprint: suspect
        for fingerprint, suspect in merged.items()
        if now_ms - suspect.seen_ms < MEMORY_MS
    }
    excess = len(kept) - SUSPECTS
    if excess > 0:
        # Those with the fewest crashes go first, then the oldest.
        ranked = sorted(
            kept,
            key=lambda name: (len(kept[name].suspected), kept[name].seen_ms),
        )
        for name in itertools.islice(ranked, excess):
            del kept[name]
    return attrs.evolve(table, suspects=kept)
