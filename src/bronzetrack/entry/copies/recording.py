"""Log lines and metrics of the loads of adapters."""

from __future__ import annotations

import logging

from bronzetrack.core import logevents as core_logevents
from bronzetrack.entry.copies import demands
from bronzetrack.entry.copies import logevents
from bronzetrack.entry.copies import meters
from bronzetrack.entry.loads import loading

LOG = logging.getLogger(__name__)


def record_load(
    plan: loading.Plan, ranked: demands.RankedDemand, now: float
) -> None:
    """Count a planned load, and log it if it is of a further copy."""
    if not ranked.holders:
        meters.PLANNED.labels("first").inc()
        return
    meters.PLANNED.labels("further").inc()
    event = logevents.CopyPlanned(
        plan.endpoint.identity,
        plan.model_key[1],
        len(ranked.holders),
        ranked.copies,
        round(ranked.waiting, 1),
        core_logevents.round_time(now - ranked.demand.since),
    )
    core_logevents.log(LOG, event)
