"""Part of one VM in the quotas of all VMs, without I/O."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
import math
import secrets

import attrs

from bronzetrack.entry import messages
from bronzetrack.entry.peering import peers
from bronzetrack.entry.quotas import accounts as account_tables
from bronzetrack.entry.quotas import claims
from bronzetrack.entry.quotas import fleet as fleets
from bronzetrack.entry.quotas import ledger as ledgers
from bronzetrack.entry.workspaces import workspaces

# A request for credit is repeated at this interval, and given up after the
# limit. A round trip takes 2 to 3 ms.
REPEAT_S = 0.05
GIVE_UP_S = 0.25
# Longest time between two checks of which workspaces this VM owns.
CHECK_S = 0.25
RUN_BITS = 16
MAX_SEQUENCE = 2**ledgers.SEQUENCE_BITS - 1


def number_workspaces(names: Iterable[str]) -> dict[str, int]:
    """Return the numbers that stand for workspaces in messages.

    They are the same on all VMs with the same configuration, and differ.
    """
    keys: dict[str, int] = {}
    for name in sorted(names):
        key = peers.compute_key(name)
        while key in keys.values():
            key = (key + 1) % 2**32
        keys[name] = key
    return keys


@attrs.define(eq=False)
class Participant:
    """Credit that this VM lends, holds and spends.

    :param run: random number of this run of the process
    :param by_name: workspaces with a quota
    :param keys: numbers of the workspaces in messages, by name
    :param by_key: workspaces by that number
    :param outgoing: messages to send
    """

    fleet: fleets.Fleet
    run: int = attrs.field(factory=lambda: secrets.randbits(RUN_BITS))
    by_name: Mapping[str, workspaces.Workspace] = attrs.field(factory=dict)
    keys: dict[str, int] = attrs.field(factory=dict)
    by_key: dict[int, workspaces.Workspace] = attrs.field(factory=dict)
    ledger: ledgers.Ledger = attrs.field(factory=ledgers.Ledger)
    accounts: dict[str, account_tables.Account] = attrs.field(factory=dict)
    outgoing: list[messages.Addressed] = attrs.field(factory=list)
    _sequence: int = 0
    _check_at: float = -math.inf

    def configure(
        self, by_name: Mapping[str, workspaces.Workspace], now: float
    ) -> None:
        """Apply the workspaces of a configuration."""
        self.by_name = {
            name: workspace
            for name, workspace in by_name.items()
            if workspace.has_quota
        }
        self.keys = number_workspaces(self.by_name)
        self.by_key = {
            key: self.by_name[name] for name, key in self.keys.items()
        }
        for name in set(self.accounts) - set(self.by_name):
            account = self.accounts.pop(name)
            for claim in account.waiting:
                claim.decide(claims.Verdict.ADMITTED, now)
        for name, account in self.accounts.items():
            account.configure(self.by_name[name])
        for name in set(self.ledger.books) - set(self.by_name):
            self.ledger.drop(name)
        self.check(now)

    def check(self, now: float) -> None:
        """Keep the books of the workspaces that this VM owns."""
        self._check_at = now + CHECK_S
        self.fleet.update(now)
        for name, workspace in self.by_name.items():
            if self.fleet.may_lend(name, now):
                self.ledger.keep(workspace, now)
            else:
                self.ledger.drop(name)

    def submit(self, claim: claims.Claim, now: float) -> None:
        """Decide on a claim, or ask the owner for credit."""
        claim.submitted_at = now
        name = claim.workspace.name
        workspace = self.by_name.get(name)
        if workspace is None:
            claim.decide(claims.Verdict.ADMITTED, now)
            return
        account = self.accounts.get(name)
        if account is None:
            account = self.accounts[name] = account_tables.Account(workspace)
        account.record_demand(claim.cost, now)
        may_decide = not account.waiting or account.is_denied(claim.cost, now)
        if may_decide and account.try_decide(claim, now):
            return
        if (
            now < account.silent_until
            or len(account.waiting) >= account_tables.MAX_WAITING
        ):
            self._decide_alone(account, [claim], now)
        else:
            account.waiting.append(claim)
            self._ask(account, now)

    def release(self, claim: claims.Claim, now: float) -> None:
        """Give back what a claim took."""
        account = self.accounts.get(claim.workspace.name)
        if account is not None:
            account.release(claim, now)

    def receive_request(
        self, vm: str, request: messages.CreditRequest, now: float
    ) -> messages.CreditGrant | None:
        """Return the answer to a VM, `None` if this VM must not lend."""
        workspace = self.by_key.get(request.workspace)
        if workspace is None:
            return None
        if not self.fleet.may_lend(workspace.name, now):
            self.ledger.drop(workspace.name)
            return None
        return self.ledger.answer(vm, request, workspace, now)

    def receive_grant(
        self, owner: str, grant: messages.CreditGrant, now: float
    ) -> None:
        """Apply the answer of an owner, if it is still waited for."""
        for account in self.accounts.values():
            pending = account.pending
            if (
                pending is not None
                and pending.owner == owner
                and pending.request.short_number == grant.number
                and now - pending.sent_at <= GIVE_UP_S
            ):
                account.apply_grant(grant, now)
                account.settle_waiting(now)
                self._ask(account, now)
                return

    def advance(self, now: float) -> None:
        """Repeat requests for credit or give them up, and check if due."""
        if now >= self._check_at:
            self.check(now)
        for account in self.accounts.values():
            pending = account.pending
            if pending is None:
                self._retry(account, now)
            elif now >= pending.sent_at + GIVE_UP_S:
                self._give_up(account, now)
            elif now >= pending.repeat_at:
                pending.repeat_at = now + REPEAT_S
                self._send(pending)

    def take_refused(self) -> list[claims.Claim]:
        """Return the claims refused since the last call."""
        taken = []
        for account in self.accounts.values():
            taken += account.refused
            account.refused = []
        return taken

    def find_due(self) -> float:
        """Return when `advance` or `check` has to be called next."""
        return min([self._check_at, *self._list_due()])

    def _list_due(self) -> Iterator[float]:
        for account in self.accounts.values():
            if account.pending is not None:
                yield account.pending.repeat_at
                yield account.pending.sent_at + GIVE_UP_S
            elif account.waiting:
                yield account.retry_at

    def _retry(self, account: account_tables.Account, now: float) -> None:
        """Ask an owner that was unsure again, if it is time."""
        if now >= account.retry_at:
            account.expire_waiting(now)
            self._ask(account, now)

    def _ask(self, account: account_tables.Account, now: float) -> None:
        """Ask for credit for the first of the waiting claims.

        If this VM is the owner, the answer comes at once.
        """
        while (
            account.waiting
            and account.pending is None
            and now >= account.retry_at
        ):
            owner = self.fleet.find_owner(account.workspace.name, now)
            request = self._make_request(account, now)
            account.counts.asked += 1
            account.pending = account_tables.Pending(
                request, owner, now, now + REPEAT_S
            )
            if owner != self.fleet.vm:
                self._send(account.pending)
                return
            grant = self.receive_request(owner, request, now)
            if grant is None:
                self._give_up(account, now)
                return
            account.apply_grant(grant, now)
            account.settle_waiting(now)

    def _make_request(
        self, account: account_tables.Account, now: float
    ) -> messages.CreditRequest:
        credit = account.measure_credit(now)
        least = math.ceil(max(0.0, account.waiting[0].cost - credit))
        wanted = math.ceil(account.measure_wanted() - credit)
        return messages.CreditRequest(
            workspace=self.keys[account.workspace.name],
            number=self._next_number(),
            least=least,
            ahead=max(0, wanted - least),
            returned=math.floor(account.take_returned(now)),
        )

    def _next_number(self) -> int:
        """Return the number of the next request.

        The next run begins when the numbers of this one are used up.
        """
        if self._sequence >= MAX_SEQUENCE:
            self.run = (self.run + 1) % 2**RUN_BITS
            self._sequence = 0
        self._sequence += 1
        return (self.run << ledgers.SEQUENCE_BITS) + self._sequence

    def _send(self, pending: account_tables.Pending) -> None:
        self.outgoing.append(
            messages.Addressed(pending.owner, pending.request)
        )

    def _give_up(self, account: account_tables.Account, now: float) -> None:
        """Decide without the owner, and do not ask it for a while."""
        pending, account.pending = account.pending, None
        if pending is not None:
            account.unsettled += max(0.0, -pending.request.returned)
        account.counts.missed += 1
        account.silent_until = now + account_tables.SILENCE_S
        waiting = list(account.waiting)
        account.waiting.clear()
        self._decide_alone(account, waiting, now)

    def _decide_alone(
        self,
        account: account_tables.Account,
        waiting: list[claims.Claim],
        now: float,
    ) -> None:
        vms = len(self.fleet.list_known(now))
        for claim in waiting:
            if claim.is_released:
                continue
            if self.fleet.peer_table.is_listed:
                account.decide_alone(claim, vms, now)
            else:
                account.refuse_unknown(claim, now)
