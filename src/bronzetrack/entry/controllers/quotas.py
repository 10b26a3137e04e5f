"""Controller that keeps the quotas of workspaces with the other VMs."""

from __future__ import annotations

import logging
from typing import Any

from bronzetrack.core import blackboard
from bronzetrack.core import logevents
from bronzetrack.entry import messages
from bronzetrack.entry import roles
from bronzetrack.entry.quotas import claims
from bronzetrack.entry.quotas import logevents as quota_events

LOG = logging.getLogger(__name__)


@roles.CONTROLLERS.register("quotas")
class QuotasController(roles.Controller):
    """Decides on claims, and lends credit where this VM is the owner."""

    name = "quotas"

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self._rules_revision = -1
        self._owned: set[str] = set()
        self._missed: dict[str, int] = {}

    async def run(self) -> None:
        """Act on claims, messages and due times until cancelled."""
        board = self.board
        while True:
            self.step(self.read_clock())
            state = board.quotas.value
            timeout_ms = None
            if state.by_name:
                now = self.read_clock()
                # Rounded up, so that the wait does not end too early.
                timeout_ms = 1 + int(1000 * (state.find_due() - now))
            await blackboard.wait_any(
                board.rules.is_newer(self._rules_revision),
                board.quota_claims.is_not_empty(),
                board.released_claims.is_not_empty(),
                board.credit_messages.is_not_empty(),
                timeout_ms=timeout_ms,
            )

    def step(self, now: float) -> None:
        """Take what has come, and send what is due."""
        board = self.board
        state = board.quotas.value
        state.fleet.stopping_since = board.lifecycle.value.stopping_since
        if board.rules.revision != self._rules_revision:
            self._configure(now)
        for received in board.credit_messages.take():
            self._apply(received, now)
        for claim in board.quota_claims.take():
            state.submit(claim, now)
        for claim in board.released_claims.take():
            state.release(claim, now)
        state.advance(now)
        self._send()
        self._log_refusals(now)
        self._log_changes(now)

    def _configure(self, now: float) -> None:
        self._rules_revision = self.board.rules.revision
        configuration = self.board.rules.value.configuration
        directory = configuration.workspaces if configuration else None
        self.board.quotas.value.configure(
            directory.by_name if directory else {}, now
        )

    def _apply(self, received: messages.Received, now: float) -> None:
        state = self.board.quotas.value
        if isinstance(received.message, messages.CreditGrant):
            state.receive_grant(received.vm, received.message, now)
            return
        grant = state.receive_request(received.vm, received.message, now)
        if grant is not None:
            state.outgoing.append(messages.Addressed(received.vm, grant))

    def _send(self) -> None:
        state = self.board.quotas.value
        for message in state.outgoing:
            self.board.outgoing.post(message)
        state.outgoing.clear()

    def _log_refusals(self, now: float) -> None:
        state = self.board.quotas.value
        for claim in state.take_refused():
            name = claim.workspace.name
            account = state.accounts[name]
            is_known = claim.verdict is claims.Verdict.OVER_QUOTA
            event = quota_events.QuotaRefused(
                claim.request_id,
                name,
                claim.verdict.value if claim.verdict else "",
                claim.cost,
                state.fleet.find_owner(name, now),
                round(account.measure_credit(now), 1),
                logevents.round_time(
                    claim.retry_after_s if is_known else None
                ),
            )
            logevents.log(LOG, event)

    def _log_changes(self, now: float) -> None:
        state = self.board.quotas.value
        for name, account in state.accounts.items():
            missed = account.counts.missed
            if missed != self._missed.get(name, 0):
                self._missed[name] = missed
                owner = state.fleet.find_owner(name, now)
                event = quota_events.QuotaOwnerSilent(name, owner, missed)
                logevents.log(LOG, event)
        owned = set(state.ledger.books)
        if owned != self._owned:
            self._owned = owned
            logevents.log(LOG, quota_events.QuotaOwned(sorted(owned)))
