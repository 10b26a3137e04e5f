"""Controller that finds out which requests crash endpoints."""

from __future__ import annotations

import logging
import random

import anyio
from anyio import abc

from bronzetrack.core import blackboard
from bronzetrack.core import logevents
from bronzetrack.core.eventtypes import crashes as crash_events
from bronzetrack.entry import messages
from bronzetrack.entry import meters
from bronzetrack.entry import roles
from bronzetrack.entry.eras import rewriting
from bronzetrack.entry.peering import joining
from bronzetrack.entry.suspects import losses
from bronzetrack.entry.suspects import suspects
from bronzetrack.entry.suspects import suspectstore
from bronzetrack.transport import probes

LOG = logging.getLogger(__name__)
# Time after which records that a restore of the store had lost are there
# again: of VMs that run, and then of those that have ended.
SECOND_READ_S = joining.REWRITE_LIMIT_S + 2 * rewriting.REWRITE_SPREAD_S
# Range of pauses between two rounds of clearing. VMs that learn of a crash at
# the same time differ, so that one of them tells the others of an answer.
CLEARING_PAUSE_S = (0.2, 0.8)
# Interval at which crashes are told to a few other VMs, of which some may have
# missed the reports or have started later.
GOSSIP_INTERVAL_S = 1.0
GOSSIP_PEERS = 2
KEYS_PER_GOSSIP = 8


def compute_time(age_ms: int, now: float) -> float:
    """Return the time of an event that another VM reports.

    :param age_ms: reported age; a negative one counts as none
    """
    return now - max(0, age_ms) / 1000


@roles.CONTROLLERS.register("crashes")
class CrashController(roles.Controller):
    """Confirms crashes of endpoints and shares them with the other VMs."""

    name = "crashes"

    def __init__(self, *args: object) -> None:
        super().__init__(*args)
        self._store = suspectstore.SuspectStore(
            self.board, self.ports.store, self.read_clock
        )
        self._losses = losses.LossTable()
        # Starts of endpoints that are being connected to.
        self._checked: set[str] = set()

    async def run(self) -> None:
        """Check lost requests and apply reports until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._load)
            group.start_soon(self._store.save_changes)
            group.start_soon(self._store.follow_restores)
            group.start_soon(self._apply_messages)
            group.start_soon(self._gossip)
            group.start_soon(self._clear_answered)
            group.start_soon(self._follow_starts)
            while True:
                await self.board.lost_requests.wait_items()
                self._check_losses(group)

    # Own losses.

    def _check_losses(self, group: abc.TaskGroup) -> None:
        """Keep lost requests, and check the endpoints that lost them."""
        self._losses.expire(self.read_clock())
        for lost in self.board.lost_requests.take():
            self._losses.record(lost)
            if not lost.given_up and lost.start not in self._checked:
                self._checked.add(lost.start)
                group.start_soon(self._check_endpoint, lost)

    async def _check_endpoint(self, lost: suspects.LostRequest) -> None:
        """Report a crash if an endpoint no longer listens."""
        is_refused = await probes.is_refused(lost.address)
        self._checked.discard(lost.start)
        if is_refused:
            self._report_crash(lost.start, losses.Evidence.REFUSED)
        else:
            _log_check(lost.endpoint, losses.Evidence.NONE, [lost])

    async def _follow_starts(self) -> None:
        """Report a crash if another start of an endpoint is seen."""
        mailbox = self.board.endpoint_starts
        while True:
            await mailbox.wait_items()
            self._losses.expire(self.read_clock())
            for seen in mailbox.take():
                for start in self._losses.find_ended(seen):
                    self._report_crash(start, losses.Evidence.RESTARTED)

    def _report_crash(self, start: str, evidence: losses.Evidence) -> None:
        """Accuse the requests that a start of an endpoint did not finish."""
        lost = self._losses.take_crashed(start)
        if not lost:
            return
        _log_check(lost[0].endpoint, evidence, lost)
        now = self.read_clock()
        # A request that was given up ran on until the crash, which is not
        # earlier than the loss of the others.
        at = max(item.at for item in lost)
        if all(item.given_up for item in lost):
            at = now
        keys = sorted({key for item in lost for key in item.keys})
        for key in keys:
            self._record(key, {start: at}, is_own=True)
        for part in messages.split_keys(keys):
            self.board.outgoing.post(
                messages.CrashReport(
                    self.board.settings.vm, start, int(1000 * (now - at)), part
                )
            )

    def _record(
        self, key: str, crashes: dict[str, float], is_own: bool = False
    ) -> None:
        """Add crashes to the evidence against a key.

        :param crashes: time of each crash by the id of the endpoint's start
        :param is_own: whether this VM confirmed the crashes
        """
        table = self.board.suspects.value
        answers = self.board.answers.value
        now = self.read_clock()
        before = table.count(key, answers, now)
        for start, at in crashes.items():
            table.record_crash(key, start, at)
        evidence = table.by_key[key]
        evidence.is_own |= is_own
        self.write(self.board.suspects, table)
        count = table.count(key, answers, now)
        if count == before:
            return
        if evidence.is_own and count >= suspects.STORED_CRASHES:
            self._store.mark_changed(key)
        if before < suspects.MAX_CRASHES <= count:
            meters.SUSPECTED.inc()
            event = crash_events.RequestSuspected(key, list(evidence.crashes))
            logevents.log(LOG, event)

    async def _load(self) -> None:
        """Apply the records of VMs that may no longer run.

        If the store states eras, it may have lost records which are written
        again after the first read.
        """
        await self._apply_records()
        if self.board.store_era.revision:
            await anyio.sleep(SECOND_READ_S)
            await self._apply_records()

    async def _apply_records(self) -> None:
        for key, crashes in await self._store.load():
            self._record(key, crashes)

    # Reports of other VMs.

    async def _apply_messages(self) -> None:
        mailbox = self.board.crash_messages
        while True:
            await mailbox.wait_items()
            for message in mailbox.take():
                self._apply(message)

    def _apply(
        self,
        message: (
            messages.CrashReport
            | messages.SuspectReport
            | messages.KeysCleared
        ),
    ) -> None:
        now = self.read_clock()
        match message:
            case messages.CrashReport():
                at = compute_time(message.age_ms, now)
                for key in message.keys:
                    self._record(key, {message.start: at})
            case messages.SuspectReport():
                for key, ages_ms in message.ages_ms.items():
                    times = {
                        start: compute_time(age_ms, now)
                        for start, age_ms in ages_ms.items()
                    }
                    self._record(key, times)
            case messages.KeysCleared():
                for key, age_ms in message.ages_ms.items():
                    self._clear(key, compute_time(age_ms, now), is_own=False)

    async def _gossip(self) -> None:
        """Tell a few other VMs of crashes, which they may have missed."""
        while True:
            await self._await_evidence()
            await anyio.sleep(GOSSIP_INTERVAL_S)
            now = self.read_clock()
            report = self._make_suspect_report(now)
            if not report.ages_ms:
                continue
            peer_table = self.board.membership.value.peer_table
            alive = peer_table.list_alive(now)
            for peer in random.sample(alive, min(GOSSIP_PEERS, len(alive))):
                self.board.outgoing.post(messages.Addressed(peer.vm, report))

    def _make_suspect_report(self, now: float) -> messages.SuspectReport:
        table = self.board.suspects.value
        keys = table.list_retold(self.board.answers.value, now)
        # Half of the report is for keys that are refused or about to be.
        urgent = keys[: KEYS_PER_GOSSIP // 2]
        others = keys[len(urgent) :]
        room = KEYS_PER_GOSSIP - len(urgent)
        chosen = urgent + random.sample(others, min(room, len(others)))
        return messages.SuspectReport(
            {
                key: {
                    start: int(1000 * (now - at))
                    for start, at in table.by_key[key].list_latest()
                }
                for key in chosen
            }
        )

    async def _await_evidence(self) -> None:
        section = self.board.suspects
        await blackboard.wait_any(
            section.satisfies(lambda table: bool(table.by_key))
        )

    async def _clear_answered(self) -> None:
        """Tell the other VMs of answers to requests that they suspect."""
        while True:
            await self._await_evidence()
            await anyio.sleep(random.uniform(*CLEARING_PAUSE_S))
            now = self.read_clock()
            self._report_answered(now)
            self.board.suspects.value.prune(self.board.answers.value, now)

    def _report_answered(self, now: float) -> None:
        answers = self.board.answers.value
        ages_ms = {
            key: int(1000 * max(0.0, now - answers.get(key)))
            for key, evidence in self.board.suspects.value.by_key.items()
            if evidence.is_newly_answered(answers.get(key))
        }
        for key, age_ms in ages_ms.items():
            self._clear(key, compute_time(age_ms, now), is_own=True)
        for part in messages.split_keys(list(ages_ms)):
            message = messages.KeysCleared({key: ages_ms[key] for key in part})
            self.board.outgoing.post(message)

    def _clear(self, key: str, at: float, is_own: bool) -> None:
        """Record that a request with a key was answered.

        :param is_own: whether this VM has to update the record in the store
        """
        evidence = self.board.suspects.value.by_key.get(key)
        if evidence is None:
            return
        evidence.clear(at)
        if is_own:
            self._store.mark_cleared(key)


def _log_check(
    endpoint: str, evidence: losses.Evidence, lost: list[suspects.LostRequest]
) -> None:
    given_up = sum(item.given_up for item in lost)
    event = crash_events.CrashChecked(
        endpoint,
        evidence is not losses.Evidence.NONE,
        evidence.value,
        len(lost) - given_up,
        given_up,
    )
    logevents.log(LOG, event)
