"""How the quota of a workspace would be applied to a request."""

from __future__ import annotations

import copy

from bronzetrack.entry.explanations import answers
from bronzetrack.entry.forwarding import requests
from bronzetrack.entry.quotas import accounts
from bronzetrack.entry.quotas import claims
from bronzetrack.entry.quotas import participant


def explain_quota(
    state: participant.Participant, request: requests.Request, now: float
) -> answers.Quota | None:
    """Return what this VM knows of the quota, without a claim on it.

    :returns: `None` if the request counts towards no quota
    """
    workspace = request.workspace
    if workspace is None or not request.has_quota:
        return None
    # Copies, since they remember what they have found.
    fleet = copy.copy(state.fleet)
    account = copy.copy(
        state.accounts.get(workspace.name) or accounts.Account(workspace)
    )
    cost = claims.measure_cost(request)
    verdict = answers.QuotaVerdict.ADMITTED
    if workspace.name in state.by_name:
        vms = len(fleet.list_known(now))
        verdict = _find_verdict(account, cost, vms, now)
        if (
            verdict is answers.QuotaVerdict.ADMITTED_ALONE
            and not fleet.peer_table.is_listed
        ):
            # A VM that does not know the others has no part of the quota.
            verdict = answers.QuotaVerdict.UNKNOWN
    is_refused = verdict is answers.QuotaVerdict.OVER_QUOTA
    return answers.Quota(
        rate_per_s=workspace.rate_per_s,
        burst=workspace.burst,
        unit=workspace.unit,
        cost=cost,
        credit=account.measure_credit(now),
        owner=fleet.find_owner(workspace.name, now),
        waiting=len(account.waiting),
        verdict=verdict,
        retry_after_s=(
            max(0.0, account.enough_at - now) if is_refused else None
        ),
    )


def _find_verdict(
    account: accounts.Account, cost: float, vms: int, now: float
) -> answers.QuotaVerdict:
    """Return how a claim would be decided.

    :param account: copy of the account, which is changed
    :param vms: number of VMs that may be running
    """
    verdicts = answers.QuotaVerdict
    is_denied = account.is_denied(cost, now)
    if not account.waiting or is_denied:
        if account.has_credit(cost, now):
            return verdicts.ADMITTED
        if is_denied:
            return verdicts.OVER_QUOTA
    if (
        now >= account.silent_until
        and len(account.waiting) < accounts.MAX_WAITING
    ):
        return verdicts.ASKED
    if account.spend_fallback(cost, vms, now):
        return verdicts.ADMITTED_ALONE
    return verdicts.UNKNOWN
