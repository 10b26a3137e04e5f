"""Credit that this VM holds for a workspace."""

from __future__ import annotations

import collections
import math

import attrs

from bronzetrack.entry import messages
from bronzetrack.entry.quotas import claims
from bronzetrack.entry.workspaces import workspaces
from bronzetrack.limits import tokens

# Credit is valid for this time after it was asked for. What all VMs hold at
# the start of a window is used beyond the rate and burst of that window.
CREDIT_TTL_S = 1.0
# Expired credit is returned if another request follows within this time.
RETURN_S = 0.25
# A VM with more requests per second than `MIN_AHEAD_PER_S` asks for its own
# demand in this time. What it does not spend is missing at other VMs: with
# 1 s, a workspace at 2.5 times its quota uses 0.82 of it instead of 0.94.
DEMAND_S = 0.5
DEMAND_WINDOW_S = 4.0
MIN_AHEAD_PER_S = 1.5
# Requests that lack as many units or more are refused until there are enough,
# but at most for the longer time. A VM with many requests refuses them for the
# shorter time at least, since others mostly take the units first; without it,
# the owner of a busy workspace at 4.2 times its quota sends and receives
# 3.9 KB a second instead of 3.0.
MAX_DENIAL_S = 1.0
MIN_BUSY_DENIAL_S = 0.5
# Without an answer, a VM uses this part of its even share by itself, from a
# bucket of this time. Half of the VMs then use at most 0.6 s of the rate in a
# window of 8 s, beside the 9 s and the burst that the owner lends to the other
# half until then. The slack of the largest workspaces is 1.63 s of the rate.
FALLBACK_PART = 0.1
FALLBACK_S = 4.0
# After requests without an answer, the owner is not asked for this time.
SILENCE_S = 0.25
# An owner that is unsure is asked again after a time within these limits, as
# long as no request has waited longer than the last.
MIN_RETRY_S = 0.05
MAX_RETRY_S = 0.1
MAX_WAIT_S = 0.5
# Refused requests give their credit back for this time after admission.
REFUND_LIMIT_S = 1.0
MAX_WAITING = 1_024
# Sums of fractions differ from the cost by less than this.
ROUNDING = 1e-6


@attrs.define(eq=False)
class Lot:
    """Credit with a common expiry."""

    amount: float
    expires_at: float


@attrs.define(eq=False)
class Pending:
    """A request for credit that has no answer yet.

    :param owner: VM that was asked
    :param sent_at: when it was first sent
    :param repeat_at: when it is sent again
    """

    request: messages.CreditRequest
    owner: str
    sent_at: float
    repeat_at: float


@attrs.define(eq=False)
class Counts:
    """Totals since the start of the process.

    :param spent: units of the admitted requests, less those given back
    :param refused: requests over the quota
    :param unknown: requests refused since no owner answered or was sure
    :param asked: requests for credit, without repetitions
    :param missed: requests for credit without an answer
    :param unsure: requests for credit that a new owner could not decide on
    """

    spent: float = 0.0
    refused: int = 0
    unknown: int = 0
    asked: int = 0
    missed: int = 0
    unsure: int = 0


@attrs.define(eq=False)
class Account:
    """Credit and waiting claims of one workspace on this VM.

    :param lots: credit, the first to expire first
    :param waiting: claims that wait for credit, in order of arrival
    :param denied_amount: units that the owner refused
    :param denied_until: until when its refusal applies
    :param enough_at: when there will be enough for that
    :param silent_until: until when the owner is not asked
    :param retry_at: when an owner that was unsure is asked again
    :param refused: claims refused since they were last logged
    :param unsettled: units used without credit that no owner knows of
    """

    workspace: workspaces.Workspace
    lots: list[Lot] = attrs.field(factory=list)
    waiting: collections.deque[claims.Claim] = attrs.field(
        factory=collections.deque
    )
    pending: Pending | None = None
    denied_amount: float = math.inf
    denied_until: float = -math.inf
    enough_at: float = -math.inf
    silent_until: float = -math.inf
    retry_at: float = -math.inf
    unsettled: float = 0.0
    refused: list[claims.Claim] = attrs.field(factory=list)
    fallback: tokens.TokenBucket | None = None
    counts: Counts = attrs.field(factory=Counts)
    _demand: float = 0.0
    _requests: float = 0.0
    _demand_at: float = -math.inf

    def configure(self, workspace: workspaces.Workspace) -> None:
        """Apply the quota of a configuration.

        A higher one ends a refusal by the quota before.
        """
        if (
            workspace.rate_per_s > self.workspace.rate_per_s
            or workspace.burst > self.workspace.burst
        ):
            self.denied_until = -math.inf
        self.workspace = workspace

    def record_demand(self, cost: float, now: float) -> None:
        """Add a cost to the estimate of the demand."""
        kept = math.exp(-max(0.0, now - self._demand_at) / DEMAND_WINDOW_S)
        self._demand = self._demand * kept + cost
        self._requests = self._requests * kept + 1
        self._demand_at = now

    @property
    def is_busy(self) -> bool:
        """Whether this VM gets several requests a second."""
        return self._requests / DEMAND_WINDOW_S >= MIN_AHEAD_PER_S

    def measure_wanted(self) -> float:
        """Return the units to ask for.

        Demand is asked for in advance only if several requests share it.
        """
        waiting = sum(claim.cost for claim in self.waiting)
        if not self.is_busy:
            return waiting
        return max(waiting, DEMAND_S * self._demand / DEMAND_WINDOW_S)

    def measure_credit(self, now: float) -> float:
        """Return the credit that can be spent."""
        return sum(lot.amount for lot in self.lots if lot.expires_at > now)

    def has_credit(self, cost: float, now: float) -> bool:
        """Return whether the credit that this VM holds covers a cost."""
        return self.measure_credit(now) + ROUNDING >= cost

    def add_credit(self, amount: float, expires_at: float) -> None:
        """Add credit.

        Credit with the same expiry is one lot, as many requests may give
        theirs back at the same time.
        """
        for lot in self.lots:
            if lot.expires_at == expires_at:
                lot.amount += amount
                return
        self.lots.append(Lot(amount, expires_at))
        self.lots.sort(key=lambda lot: lot.expires_at)

    def spend(self, cost: float, now: float) -> bool:
        """Take a cost from the credit and return whether it was enough."""
        if not self.has_credit(cost, now):
            return False
        missing = cost
        for lot in self.lots:
            if lot.expires_at > now:
                part = min(lot.amount, missing)
                lot.amount -= part
                missing -= part
        self.lots = [lot for lot in self.lots if lot.amount > ROUNDING]
        return True

    def take_returned(self, now: float) -> float:
        """Remove expired credit and return what the owner is to be told.

        :returns: units to return, negative if more was used without credit
        """
        expired = sum(
            lot.amount
            for lot in self.lots
            if lot.expires_at <= now < lot.expires_at + RETURN_S
        )
        self.lots = [lot for lot in self.lots if lot.expires_at > now]
        returned = expired - self.unsettled
        self.unsettled = 0.0
        return returned

    def spend_fallback(self, cost: float, vms: int, now: float) -> bool:
        """Take a cost from this VM's own part of the quota.

        :param vms: number of VMs that may be running
        :returns: whether it was enough
        """
        rate_per_s = FALLBACK_PART * self.workspace.rate_per_s / vms
        capacity = FALLBACK_S * rate_per_s
        now_ms = tokens.to_ms(now)
        bucket = self.fallback or tokens.TokenBucket(capacity, now_ms)
        bucket = bucket.refill(rate_per_s, capacity, now_ms).limit(capacity)
        fits = bucket.tokens >= cost
        if fits:
            bucket = bucket.take(cost)
            self.unsettled += cost
        self.fallback = bucket
        return fits

    def is_denied(self, cost: float, now: float) -> bool:
        """Return whether the owner refused such a cost just now."""
        if now >= self.denied_until:
            return False
        # Requests for credit round up as well.
        missing = math.ceil(cost - self.measure_credit(now))
        return missing >= self.denied_amount

    def apply_grant(self, grant: messages.CreditGrant, now: float) -> None:
        """Add granted credit, or remember the refusal."""
        pending, self.pending = self.pending, None
        assert pending is not None
        if grant.granted > 0:
            self.add_credit(grant.granted, pending.sent_at + CREDIT_TTL_S)
            self.denied_until = -math.inf
            return
        wait_s = grant.retry_ms / 1000
        if grant.is_unsure:
            retry_s = min(max(wait_s, MIN_RETRY_S), MAX_RETRY_S)
            self.retry_at = now + retry_s
            self.counts.unsure += 1
            return
        self.denied_amount = pending.request.least
        shortest_s = MIN_BUSY_DENIAL_S if self.is_busy else 0.0
        denial_s = min(max(wait_s, shortest_s), MAX_DENIAL_S)
        self.denied_until = now + denial_s
        self.enough_at = now + max(wait_s, denial_s)

    def settle_waiting(self, now: float) -> None:
        """Decide on the waiting claims for which the credit or refusal does.

        The others wait on.
        """
        self._discard_released()
        undecided: collections.deque[claims.Claim] = collections.deque()
        for claim in self.waiting:
            if not self.try_decide(claim, now):
                undecided.append(claim)
        self.waiting = undecided

    def try_decide(self, claim: claims.Claim, now: float) -> bool:
        """Decide on a claim by the credit or a recent refusal, if possible."""
        if self.spend(claim.cost, now):
            self.counts.spent += claim.cost
            claim.decide(claims.Verdict.ADMITTED, now)
        elif self.is_denied(claim.cost, now):
            self.counts.refused += 1
            retry_s = max(0.0, self.enough_at - now)
            claim.decide(claims.Verdict.OVER_QUOTA, now, retry_s)
            self.refused.append(claim)
        return claim.verdict is not None

    def decide_alone(self, claim: claims.Claim, vms: int, now: float) -> None:
        """Decide on a claim without an owner."""
        if self.spend_fallback(claim.cost, vms, now):
            self.counts.spent += claim.cost
            claim.decide(claims.Verdict.ADMITTED, now)
            return
        self.refuse_unknown(claim, now)

    def expire_waiting(self, now: float) -> None:
        """Refuse the claims that have waited long for an unsure owner."""
        self._discard_released()
        while (
            self.waiting and now - self.waiting[0].submitted_at >= MAX_WAIT_S
        ):
            self.refuse_unknown(self.waiting.popleft(), now)

    def refuse_unknown(self, claim: claims.Claim, now: float) -> None:
        """Refuse a claim, as it is not known what is left of the quota."""
        self.counts.unknown += 1
        claim.decide(claims.Verdict.UNKNOWN, now)
        self.refused.append(claim)

    def release(self, claim: claims.Claim, now: float) -> None:
        """Give back the cost of a request that was not run."""
        claim.is_released = True
        if claim.verdict is not claims.Verdict.ADMITTED:
            return
        self.counts.spent -= claim.cost
        if now - claim.decided_at <= REFUND_LIMIT_S:
            self.add_credit(claim.cost, now + CREDIT_TTL_S)

    def _discard_released(self) -> None:
        self.waiting = collections.deque(
            claim for claim in self.waiting if not claim.is_released
        )
