"""Table of suspects: requests that may crash the endpoints that run them."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping
import itertools
from typing import Any

import attrs

from bronzetrack.core import failures
from bronzetrack.retries import records

CRASH_LIMIT = 2
RETENTION_MS = 3_600_000
# A full table takes about 3 MB. A crash adds as many entries as the endpoint
# has slots.
MAX_SUSPECTS = 8_192
# A service has no boot value that identifies the crashed process. The runs
# that one crash ends fail within this time of each other.
SAME_CRASH_MS = 5_000


@attrs.frozen
class Suspect:
    """Crashes during which requests with one fingerprint were running.

    Both sets only grow, so that the order in which records arrive from peers
    and from the log does not matter.

    :param crashes: ids of the crashes
    :param cleared: ids of the crashes that the request did not cause
    :param seen_ms: monotonic time in milliseconds of the latest crash or
        clearance
    """

    crashes: frozenset[str] = frozenset()
    cleared: frozenset[str] = frozenset()
    seen_ms: int = 0

    @property
    def suspected(self) -> frozenset[str]:
        """Crashes that the request may have caused."""
        return self.crashes - self.cleared


@attrs.frozen
class SuspectTable:
    """Suspects by fingerprint, the section of the suspects controller.

    :param next_offset: offset of the next log record to read
    """

    next_offset: int = 0
    suspects: Mapping[str, Suspect] = attrs.field(factory=dict)

    def list_crashes(
        self, fingerprint: str, reported: Iterable[str] = ()
    ) -> frozenset[str]:
        """Return the crashes that a request may have caused.

        :param reported: crashes that another VM sent with the request; their
            notices may not have reached this VM yet
        """
        suspect = self.suspects.get(fingerprint, Suspect())
        return suspect.suspected | (frozenset(reported) - suspect.cleared)

    def is_suspect(self, fingerprint: str) -> bool:
        """Return whether a request has to run alone on its endpoint."""
        return bool(self.list_crashes(fingerprint))

    def is_refused(self, fingerprint: str) -> bool:
        """Return whether a request is refused everywhere.

        That is the case once it may have caused `CRASH_LIMIT` crashes.
        """
        return len(self.list_crashes(fingerprint)) >= CRASH_LIMIT


def check_dispatch(
    table: SuspectTable,
    fingerprint: str,
    isolated: bool,
    reported: Iterable[str] = (),
) -> failures.Failure | None:
    """Return the failure that prevents the dispatch of a request, if any.

    :param isolated: whether the request would run alone on its endpoint
    :param reported: crashes that the entry VM sent with the request
    """
    suspected = table.list_crashes(fingerprint, reported)
    if len(suspected) >= CRASH_LIMIT:
        return make_refusal_failure()
    if suspected and not isolated:
        return failures.Failure(
            failures.Reason.ENDPOINT_REFUSED, "the request has to run alone"
        )
    return None


def make_refusal_failure() -> failures.Failure:
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
    """Return the identity of a crash, the same for all runs that observe it.

    A run of a service that started after a crash was observed ran in a later
    process, and its failure is a new crash: a service that is back within a
    second may crash again.

    :param boot: boot value of the engine that crashed, empty for a service
    :param earlier: identities of earlier crashes of services
    :param started_ms: Unix time in milliseconds at which the run that
        observed the crash started
    :param now_ms: present Unix time in milliseconds
    """
    if boot:
        return f"{endpoint}/{boot}"
    oldest_ms = max(started_ms, now_ms - SAME_CRASH_MS + 1)
    for crash in earlier:
        crashed, _, time_ms = crash.rpartition("/")
        if crashed == endpoint and int(time_ms) >= oldest_ms:
            return crash
    return f"{endpoint}/{now_ms}"


def apply_record(
    table: SuspectTable, record: Any, age_ms: int, now_ms: int
) -> SuspectTable:
    """Return the table after a record from the log or from a peer.

    :param age_ms: age of the record; a record beyond the retention time
        changes nothing
    :param now_ms: monotonic time
    """
    if age_ms >= RETENTION_MS:
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
    """Return the table after a crash.

    A crash that the table already has is not added a second time.

    :param now_ms: monotonic time of the crash
    """
    changed = {}
    for fingerprint in record.fingerprints:
        suspect = table.suspects.get(fingerprint, Suspect())
        changed[fingerprint] = attrs.evolve(
            suspect,
            crashes=suspect.crashes | {record.crash},
            seen_ms=max(suspect.seen_ms, now_ms),
        )
    return _update_suspects(table, changed, now_ms)


def add_crashes(
    table: SuspectTable, fingerprint: str, crashes: Iterable[str], now_ms: int
) -> SuspectTable:
    """Return the table with the crashes that a request was sent with.

    All VMs send a suspect to the same endpoint. The owner of that endpoint
    has to have every crash in its table, since an entry VM that sends the
    request again may have only the latest.

    :param crashes: crashes that the request may have caused
    :param now_ms: monotonic time
    """
    suspect = table.suspects.get(fingerprint, Suspect())
    updated = attrs.evolve(
        suspect,
        crashes=suspect.crashes | set(crashes),
        seen_ms=max(suspect.seen_ms, now_ms),
    )
    return _update_suspects(table, {fingerprint: updated}, now_ms)


def clear_suspect(
    table: SuspectTable, record: records.ClearanceRecord, now_ms: int
) -> SuspectTable:
    """Return the table after a suspect completed while it ran alone.

    :param now_ms: monotonic time of the clearance
    """
    suspect = table.suspects.get(record.fingerprint, Suspect())
    updated = attrs.evolve(
        suspect,
        cleared=suspect.cleared | set(record.crashes),
        seen_ms=max(suspect.seen_ms, now_ms),
    )
    return _update_suspects(table, {record.fingerprint: updated}, now_ms)


def _update_suspects(
    table: SuspectTable, changed: Mapping[str, Suspect], now_ms: int
) -> SuspectTable:
    """Return the table with changed suspects, within its time and size limits.

    Suspects past the retention time are dropped, then as many as exceed
    `MAX_SUSPECTS`.
    """
    merged = {**table.suspects, **changed}
    kept = {
        fingerprint: suspect
        for fingerprint, suspect in merged.items()
        if now_ms - suspect.seen_ms < RETENTION_MS
    }
    excess = len(kept) - MAX_SUSPECTS
    if excess > 0:
        # Evicts the suspects with the fewest suspected crashes first, and
        # the oldest first among equals.
        ranked = sorted(
            kept,
            key=lambda name: (len(kept[name].suspected), kept[name].seen_ms),
        )
        for name in itertools.islice(ranked, excess):
            del kept[name]
    return attrs.evolve(table, suspects=kept)
