"""Claim of an idempotency key before the work under it is dispatched."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

import attrs

from bronzetrack.core import blackboard
from bronzetrack.core import clock
from bronzetrack.core import failures
from bronzetrack.idempotency import claims
from bronzetrack.idempotency import records
from bronzetrack.idempotency import requests as key_requests
from bronzetrack.idempotency import settlement
from bronzetrack.idempotency import table as tables
from bronzetrack.ownership import leases
from bronzetrack.streaming import messages
from bronzetrack.streaming import outcomes

if TYPE_CHECKING:
    from bronzetrack import board as boards


@attrs.frozen
class Refusal:
    """Outcome and reason of an attempt that is not dispatched."""

    outcome: outcomes.Outcome
    failure: failures.Failure


class KeyClaimer:
    """Claims an idempotency key through the log, or voids the claim.

    :param read_clock: returns the current time
    :param work: the work to be dispatched under the key
    :param key: digest of the idempotency key of the work
    """

    def __init__(
        self,
        board: boards.Blackboard,
        read_clock: Callable[[], clock.Instant],
        work: messages.SubmitWork,
        key: str,
    ) -> None:
        self._board = board
        self._read_clock = read_clock
        self._work = work
        self._key = key
        self._claim = claims.Claim(work.attempt, work.issued_ms, 0)

    async def claim(self) -> Refusal | None:
        """Append a claim of the key and wait for its result.

        :returns: None if the work may be dispatched now, and only once;
            otherwise why it may not
        """
        refusal = self._check_preconditions()
        if refusal is not None:
            return refusal
        self._post(
            records.KeyClaim(
                key=self._key,
                vm=self._board.vm,
                incarnation=self._board.incarnation,
                attempt=self._work.attempt,
                fingerprint=self._work.digest,
                issued_ms=self._work.issued_ms,
            )
        )
        self._set_deadline()
        return await self._wait_until_decided()

    async def void(self) -> Refusal:
        """Void a claim that was won if its work was not dispatched.

        :returns: the outcome of the attempt
        """
        self._start_void()
        refusal = await self._wait_until_decided()
        if refusal is None:
            raise AssertionError("a voided claim was dispatched")
        return refusal

    def _check_preconditions(self) -> Refusal | None:
        now = self._read_clock()
        entry = self._get_entry()
        if not self._may_dispatch(now):
            failure = failures.Failure(
                failures.Reason.LEASE_LAPSED, "the lease of the owner lapsed"
            )
            return Refusal(outcomes.Outcome.REFUSED, failure)
        if entry is not None:
            return Refusal(*claims.make_end_outcome(self._claim, entry, now))
        not_ready = settlement.check_ready(self._board.keys.value)
        if not_ready is not None:
            return Refusal(outcomes.Outcome.REFUSED, not_ready)
        return None

    def _may_dispatch(self, now: clock.Instant) -> bool:
        return leases.may_dispatch_once(
            self._board.ownership.value,
            self._work.endpoint,
            self._board.incarnation,
            now.monotonic_ms,
        )

    def _get_entry(self) -> tables.KeyEntry | None:
        return self._board.keys.value.entries.get(self._key)

    def _set_deadline(self) -> None:
        now_ms = self._read_clock().monotonic_ms
        self._claim = attrs.evolve(
            self._claim, deadline_ms=now_ms + claims.CLAIM_TIMEOUT_MS
        )

    async def _wait_until_decided(self) -> Refusal | None:
        while True:
            revision = self._board.keys.revision
            now = self._read_clock()
            entry = self._get_entry()
            step = claims.decide_claim(
                self._claim, entry, self._may_dispatch(now), now
            )
            match step:
                case claims.ClaimStep.DISPATCH:
                    return None
                case claims.ClaimStep.END:
                    end = claims.make_end_outcome(self._claim, entry, now)
                    return Refusal(*end)
                case claims.ClaimStep.VOID:
                    self._start_void()
                case claims.ClaimStep.WAIT:
                    await self._wait_for_change(revision, now)

    async def _wait_for_change(
        self, revision: int, now: clock.Instant
    ) -> None:
        await blackboard.wait_any(
            self._board.keys.is_newer(revision),
            timeout_ms=self._claim.deadline_ms - now.monotonic_ms,
        )

    def _start_void(self) -> None:
        """Append a void of the attempt, and withdraw its pending claim.

        A claim of the attempt that is still being appended then has no
        effect.
        """
        self._claim = attrs.evolve(self._claim, voiding=True)
        self._set_deadline()
        self._board.mailboxes["keys"].post(
            key_requests.WithdrawClaim(self._work.attempt)
        )
        self._post(
            records.KeyVoid(
                key=self._key,
                incarnation=self._board.incarnation,
                attempt=self._work.attempt,
                issued_ms=self._work.issued_ms,
            )
        )

    def _post(self, record: records.KeyClaim | records.KeyVoid) -> None:
        request = key_requests.AppendKey(record)
        self._board.mailboxes["keys"].post(request)
