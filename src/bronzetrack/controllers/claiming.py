"""Claims the key of one run before its dispatch."""

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
    """Why an attempt is not dispatched."""

    outcome: outcomes.Outcome
    failure: failures.Failure


class KeyClaimer:
    """Claims a key, or gives the claim up.

    :param key: digest of the key of the work
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
        """Return None if the work may be dispatched once, now."""
        refusal = self._check_before()
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
        return await self._advance()

    async def void(self) -> Refusal:
        """Give up a claim that was won and not dispatched."""
        self._start_void()
        refusal = await self._advance()
        if refusal is None:
            raise AssertionError("a claim was dispatched after its void")
        return refusal

    def _check_before(self) -> Refusal | None:
        now = self._read_clock()
        entry = self._get_entry()
        if not self._may_run(now):
            failure = failures.Failure(
                failures.Reason.LEASE_LAPSED, "the lease of the owner lapsed"
            )
            return Refusal(outcomes.Outcome.REFUSED, failure)
        if entry is not None:
            return Refusal(*claims.describe_end(self._claim, entry, now))
        unready = settlement.check_ready(self._board.keys.value)
        if unready is not None:
            return Refusal(outcomes.Outcome.REFUSED, unready)
        return None

    def _may_run(self, now: clock.Instant) -> bool:
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

    async def _advance(self) -> Refusal | None:
        while True:
            revision = self._board.keys.revision
            now = self._read_clock()
            entry = self._get_entry()
            step = claims.decide_claim(
                self._claim, entry, self._may_run(now), now
            )
            match step:
                case claims.ClaimStep.DISPATCH:
                    return None
                case claims.ClaimStep.END:
                    ended = claims.describe_end(self._claim, entry, now)
                    return Refusal(*ended)
                case claims.ClaimStep.VOID:
                    self._start_void()
                case claims.ClaimStep.WAIT:
                    await self._wait_change(revision, now)

    async def _wait_change(self, revision: int, now: clock.Instant) -> None:
        await blackboard.wait_any(
            self._board.keys.is_newer(revision),
            timeout_ms=self._claim.deadline_ms - now.monotonic_ms,
        )

    def _start_void(self) -> None:
        """Ask for a void, so that a claim still under way has no effect."""
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
