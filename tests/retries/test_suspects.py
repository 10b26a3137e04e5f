"""Tests of the tracking of requests that crash endpoints."""

from __future__ import annotations

from typing import Any

import attrs
from hypothesis import given
from hypothesis import strategies
import searchbounds

from bronzetrack.core import failures
from bronzetrack.core import rendezvous
from bronzetrack.retries import records
from bronzetrack.retries import suspects

VMS = 3
ENDPOINTS = ("e0", "e1", "e2", "e3")
BAD = "bad"


@attrs.define
class Site:
    """Suspect tables of several VMs, and the work at their endpoints.

    :param waiting: by endpoint, the fingerprint of each queued request and
        the crashes that its entry VM sent with it
    :param running: by endpoint, the fingerprint of each running request and
        the crashes that were known when it started
    :param crashes: number of crashes so far
    :param suspect_crashes: number of crashes caused by a request that was a
        suspect when it started
    """

    tables: list[suspects.SuspectTable] = attrs.field(
        factory=lambda: [suspects.SuspectTable() for _ in range(VMS)]
    )
    notices: list[tuple[int, Any]] = attrs.field(factory=list)
    waiting: dict[str, list[Any]] = attrs.field(
        factory=lambda: {name: [] for name in ENDPOINTS}
    )
    running: dict[str, list[Any]] = attrs.field(
        factory=lambda: {name: [] for name in ENDPOINTS}
    )
    crashes: int = 0
    suspect_crashes: int = 0
    answered: int = 0

    def submit(self, vm: int, fingerprint: str, endpoint: str) -> None:
        table = self.tables[vm]
        if table.is_refused(fingerprint):
            return
        crashes = table.list_crashes(fingerprint)
        if crashes:
            endpoint = rendezvous.rank_nodes(fingerprint, ENDPOINTS)[0]
        self.waiting[endpoint].append((fingerprint, crashes))

    def start(self, endpoint: str) -> None:
        if not self.waiting[endpoint]:
            return
        fingerprint, crashes = self.waiting[endpoint][0]
        running = self.running[endpoint]
        if running and (crashes or running[0][1]):
            return
        del self.waiting[endpoint][0]
        vm = get_owner(endpoint)
        owner = self.tables[vm]
        if not suspects.check_dispatch(
            owner, fingerprint, bool(crashes), crashes
        ):
            known_crashes = owner.list_crashes(fingerprint, crashes)
            running.append((fingerprint, known_crashes))
            self.tables[vm] = suspects.add_crashes(
                owner, fingerprint, crashes, 0
            )

    def finish(self, endpoint: str) -> None:
        """End the oldest run, or crash the endpoint if it runs a bad one."""
        running = self.running[endpoint]
        if not running:
            return
        fingerprint, known_crashes = running[0]
        if any(name == BAD for name, _ in running):
            self._crash(endpoint)
            return
        del running[0]
        self.answered += 1
        if known_crashes:
            cleared = tuple(sorted(known_crashes))
            record = records.ClearanceRecord(fingerprint, cleared, 0)
            self._publish(get_owner(endpoint), record)

    def _crash(self, endpoint: str) -> None:
        running = self.running[endpoint]
        self.crashes += 1
        self.suspect_crashes += any(
            known_crashes for name, known_crashes in running if name == BAD
        )
        names = tuple(sorted({name for name, _ in running}))
        record = records.CrashRecord(f"c{self.crashes}", endpoint, names, 0)
        running.clear()
        self._publish(get_owner(endpoint), record)

    def _publish(self, vm: int, record: Any) -> None:
        self._apply(vm, record)
        self.notices += [(other, record) for other in range(VMS)]

    def _apply(self, vm: int, record: Any) -> None:
        self.tables[vm] = suspects.apply_record(self.tables[vm], record, 0, 0)

    def deliver(self, number: int) -> None:
        """Deliver a notice, in any order and perhaps a second time."""
        if self.notices:
            self._apply(*self.notices[number % len(self.notices)])


def get_owner(endpoint: str) -> int:
    return ENDPOINTS.index(endpoint) % VMS


STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(("submit", "run", "start", "deliver")),
        strategies.integers(0, 30),
        strategies.sampled_from((BAD, BAD, "good-1", "good-2")),
        strategies.sampled_from(ENDPOINTS),
    ),
    min_size=20,
    max_size=80,
)


@searchbounds.make_settings(300)
@given(STEPS)
def test_request_crashes_two_endpoints_at_most(steps):
    """Guards against a request that crashes one endpoint after another.

    Runs that start before any crash is known at their entry VM or owner
    cannot be prevented. After that, one more endpoint may crash.
    """
    site = Site()
    for step, number, fingerprint, endpoint in steps:
        match step:
            case "submit":
                site.submit(number % VMS, fingerprint, endpoint)
            case "run":
                site.start(endpoint)
                site.finish(endpoint)
            case "start":
                site.start(endpoint)
            case "deliver":
                site.deliver(number)
    assert site.suspect_crashes <= suspects.CRASH_LIMIT - 1


def test_owner_keeps_the_crashes_that_came_with_a_request():
    """Guards against a third crash after a retry by another entry VM.

    The second crash came from a run whose entry VM knew of the first. The VM
    that sends the request again received the notice of the second only.
    """
    table = suspects.add_crashes(suspects.SuspectTable(), BAD, ["c1"], 0)
    second = records.CrashRecord("c2", "e1", (BAD,), 0)
    table = suspects.record_crash(table, second, 0)
    failure = suspects.check_dispatch(table, BAD, True, ["c2"])
    assert failure.reason is failures.Reason.CRASHES_ENDPOINTS


def test_records_in_any_order_give_the_same_table():
    """Guards against a suspect that is cleared at some VMs only.

    Records reach the VMs through the log and as notices, in any order.
    """
    crash = records.CrashRecord("c1", "e0", ("a", "b"), 0)
    clearance = records.ClearanceRecord("a", ("c1",), 0)
    tables = []
    for items in ((crash, clearance), (clearance, crash, crash)):
        table = suspects.SuspectTable()
        for item in items:
            table = suspects.apply_record(table, item, 0, 0)
        tables.append(table)
    assert tables[0].suspects == tables[1].suspects
    assert not tables[0].is_suspect("a")
    assert tables[0].is_suspect("b")


def test_table_is_bounded_in_size_and_age(monkeypatch):
    """Guards against memory that grows with the number of crashes."""
    monkeypatch.setattr(suspects, "MAX_SUSPECTS", 3)
    table = suspects.SuspectTable()
    for number in range(5):
        names = ("bad", f"good-{number}")
        record = records.CrashRecord(f"c{number}", "e0", names, 0)
        table = suspects.record_crash(table, record, number)
    assert set(table.suspects) == {"bad", "good-3", "good-4"}
    assert table.is_refused("bad")
    later = records.CrashRecord("c9", "e0", ("new",), 0)
    table = suspects.record_crash(table, later, suspects.RETENTION_MS + 9)
    assert set(table.suspects) == {"new"}


def test_observers_of_one_crash_derive_the_same_identity():
    """Guards against one crash that counts twice.

    Each run that a crash ends reports the crash by itself.
    """
    assert suspects.make_crash_id("e0", "b1", (), 0, 5) == (
        suspects.make_crash_id("e0", "b1", (), 0, 9_000)
    )
    first = suspects.make_crash_id("s0", "", (), 0, 5)
    assert suspects.make_crash_id("s0", "", (first,), 5, 900) == first
    assert suspects.make_crash_id("s0", "", (first,), 0, 90_000) != first


def test_crash_of_a_restarted_service_counts_again():
    """Guards against crashes of a restarted service that count as one.

    A service that came back within seconds crashed four times in the time in
    which failures were taken for a single crash.
    """
    first = suspects.make_crash_id("s0", "", (), 0, 5)
    second = suspects.make_crash_id("s0", "", (first,), 6, 900)
    assert second != first
    third = suspects.make_crash_id("s0", "", (first, second), 7, 901)
    assert third == second


def test_owner_counts_crashes_that_came_from_the_entry_vm():
    """Guards against a third crash while a notice is still in transit."""
    record = records.CrashRecord("c2", "e0", (BAD,), 0)
    table = suspects.record_crash(suspects.SuspectTable(), record, 0)
    assert suspects.check_dispatch(table, BAD, True) is None
    failure = suspects.check_dispatch(table, BAD, True, ("c1",))
    assert failure.reason is failures.Reason.CRASHES_ENDPOINTS
