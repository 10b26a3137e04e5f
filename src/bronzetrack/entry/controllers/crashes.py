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
from bronzetrack.transport import probes

LOG = logging.getLogger(__name__)
# Range of pauses between two rounds of clearing. VMs that learn of a crash at
# the same time differ, so that one of them tells the others of an answer.
CLEARING_PAUSE_S = (0.2, 0.8)


@roles.CONTROLLERS.register("crashes")
class CrashController(roles.Controller):
    """Confirms crashes of endpoints and shares them with the other VMs."""

    name = "crashes"

    async def run(self) -> None:
        """Check lost requests and apply reports until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._apply_messages)
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
        self._record(keys, first.start, first.at)
        for part in messages.split_keys(keys):
            report = messages.CrashReport(
                self.board.settings.vm,
                first.start,
                int(1000 * (now - first.at)),
                part,
            )
            self.board.outgoing.post(report)

    def _record(self, keys: list[str], start: str, at: float) -> None:
        table = self.board.suspects.value
        answers = self.board.answers.value
        now = self.read_clock()
        for key in keys:
            was_refused = table.is_refused(key, answers, now)
            table.record_crash(key, start, at)
            if not was_refused and table.is_refused(key, answers, now):
                meters.SUSPECTED.inc()
                event = logevents.RequestSuspected(
                    key, list(table.by_key[key].crashes)
                )
                logevents.log(LOG, event)
        self.write(self.board.suspects, table)

    # Reports of other VMs.

    async def _apply_messages(self) -> None:
        mailbox = self.board.crash_messages
        while True:
            await mailbox.wait_items()
            for message in mailbox.take():
                self._apply(message)

    def _apply(
        self, message: messages.CrashReport | messages.KeysCleared
    ) -> None:
        now = self.read_clock()
        match message:
            case messages.CrashReport():
                at = now - message.age_ms / 1000
                self._record(message.keys, message.start, at)
            case messages.KeysCleared():
                for key, age_ms in message.ages_ms.items():
                    self.board.suspects.value.clear(key, now - age_ms / 1000)

    async def _clear_answered(self) -> None:
        """Tell the other VMs of answers to requests that they suspect."""
        section = self.board.suspects
        while True:
            await blackboard.wait_any(
                blackboard.Condition(
                    section, lambda: bool(section.value.by_key)
                )
            )
            await anyio.sleep(random.uniform(*CLEARING_PAUSE_S))
            now = self.read_clock()
            self._report_answered(now)
            section.value.prune(self.board.answers.value, now)

    def _report_answered(self, now: float) -> None:
        answers = self.board.answers.value
        ages_ms = {
            key: int(1000 * max(0.0, now - answers.get(key)))
            for key, evidence in self.board.suspects.value.by_key.items()
            if evidence.is_newly_answered(answers.get(key))
        }
        for key, age_ms in ages_ms.items():
            self.board.suspects.value.clear(key, now - age_ms / 1000)
        for part in messages.split_keys(list(ages_ms)):
            message = messages.KeysCleared({key: ages_ms[key] for key in part})
            self.board.outgoing.post(message)
