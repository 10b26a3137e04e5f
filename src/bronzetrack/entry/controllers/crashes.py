"""Controller that finds out which requests crash endpoints."""

from __future__ import annotations

import collections
import logging
import random

import anyio
from anyio import abc

from bronzetrack.core import blackboard
from bronzetrack.core import logevents
from bronzetrack.entry import messages
from bronzetrack.entry import meters
from bronzetrack.entry import roles
from bronzetrack.entry import suspects
from bronzetrack.entry import suspectstore
from bronzetrack.transport import probes

LOG = logging.getLogger(__name__)
# Range of pauses between two rounds of clearing. VMs that learn of a crash at
# the same time differ, so that one of them tells the others of an answer.
CLEARING_PAUSE_S = (0.2, 0.8)
# Interval at which refused keys are told to a few other VMs, of which some may
# have missed the reports or have started later.
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

    async def run(self) -> None:
        """Check lost requests and apply reports until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._load)
            group.start_soon(self._store.save_changes)
            group.start_soon(self._apply_messages)
            group.start_soon(self._gossip)
            group.start_soon(self._clear_answered)
            while True:
                await self.board.lost_requests.wait_items()
                self._check_losses(group)

    # Own losses.

    def _check_losses(self, group: abc.TaskGroup) -> None:
        by_start = collections.defaultdict(list)
        for lost in self.board.lost_requests.take():
            by_start[lost.start].append(lost)
        for losses in by_start.values():
            group.start_soon(self._check_endpoint, losses)

    async def _check_endpoint(
        self, losses: list[suspects.LostRequest]
    ) -> None:
        """Report a crash if an endpoint no longer listens."""
        first = losses[0]
        crashed = await probes.is_refused(first.address)
        keys = sorted({key for lost in losses for key in lost.keys})
        event = logevents.CrashChecked(first.endpoint, crashed, len(losses))
        logevents.log(LOG, event)
        if not crashed or not keys:
            return
        now = self.read_clock()
        for key in keys:
            self._record(key, {first.start: first.at}, is_own=True)
        for part in messages.split_keys(keys):
            report = messages.CrashReport(
                self.board.settings.vm,
                first.start,
                int(1000 * (now - first.at)),
                part,
            )
            self.board.outgoing.post(report)

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
        was_refused = table.is_refused(key, answers, now)
        for start, at in crashes.items():
            table.record_crash(key, start, at)
        evidence = table.by_key[key]
        evidence.is_own |= is_own
        self.write(self.board.suspects, table)
        if was_refused or not table.is_refused(key, answers, now):
            return
        meters.SUSPECTED.inc()
        event = logevents.RequestSuspected(key, list(evidence.crashes))
        logevents.log(LOG, event)
        if evidence.is_own:
            self._store.mark_changed(key)

    async def _load(self) -> None:
        """Apply the records of VMs that may no longer run."""
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
        """Tell a few other VMs which requests are refused."""
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
        refused = table.list_refused(self.board.answers.value, now)
        chosen = random.sample(refused, min(KEYS_PER_GOSSIP, len(refused)))
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
