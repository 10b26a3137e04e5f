"""Quotas in the state dump."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from bronzetrack.entry.quotas import participant


def describe_quotas(
    state: participant.Participant, now: float
) -> dict[str, dict[str, Any]]:
    """Return the state of the quota of each workspace on this VM."""
    return {
        name: {
            "rate_per_s": workspace.rate_per_s,
            "owner": state.fleet.find_owner(name, now),
            **_describe_account(state, name, now),
        }
        for name, workspace in state.by_name.items()
    }


def _describe_account(
    state: participant.Participant, name: str, now: float
) -> dict[str, Any]:
    book = state.ledger.books.get(name)
    account = state.accounts.get(name)
    return {
        "lends": book is not None,
        "lent": book.lent if book else 0.0,
        "credit": account.measure_credit(now) if account else 0.0,
        "spent": account.counts.spent if account else 0.0,
        "refused": account.counts.refused if account else 0,
        "unknown": account.counts.unknown if account else 0,
        "missed": account.counts.missed if account else 0,
        "unsure": account.counts.unsure if account else 0,
    }
