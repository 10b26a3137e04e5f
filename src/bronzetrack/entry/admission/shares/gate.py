"""Admission of requests to services without engines, on the blackboard."""

from __future__ import annotations

from collections.abc import Callable
import copy
import logging
from typing import TYPE_CHECKING

import attrs

from bronzetrack.core import logevents
from bronzetrack.entry.admission import switch
from bronzetrack.entry.admission.shares import control
from bronzetrack.entry.admission.shares import logevents as share_events
from bronzetrack.entry.admission.shares import meters
from bronzetrack.entry.admission.shares import retries
from bronzetrack.entry.admission.shares import state as states
from bronzetrack.entry.forwarding import failures
from bronzetrack.entry.forwarding import relays
from bronzetrack.entry.loads import placement

if TYPE_CHECKING:
    from bronzetrack.entry import board as boards
    from bronzetrack.entry.forwarding import progress as progresses
    from bronzetrack.entry.forwarding import requests

LOG = logging.getLogger(__name__)
# Sums that are older than this are not used.
TOTALS_TTL_S = 2.0
# Shortest time between two log lines about the limit of a service.
REPORT_INTERVAL_S = 1.0


@attrs.frozen
class Preview:
    """What the gate would do with a request.

    :param is_limited: whether the admitted requests are limited
    :param share: share of the requests that was admitted lately
    :param rate_per_s: rate of the limit at this VM
    :param load: requests in progress at the service, `None` if not known
    """

    is_admitted: bool
    is_limited: bool
    share: float
    rate_per_s: float
    load: control.Load | None


class ShareGate:
    """Applies the decisions on the share to the state on the blackboard.

    It does nothing for services of engines, and where admission control does
    not apply.
    """

    def __init__(
        self, board: boards.Blackboard, read_clock: Callable[[], float]
    ) -> None:
        self._board = board
        self._read_clock = read_clock

    def admit(
        self, request: requests.Request, progress: progresses.Progress
    ) -> failures.Failure | None:
        """Return the failure of a request outside the admitted share."""
        if not self._applies(progress.service):
            return None
        now = self._read_clock()
        share = self._find_share(progress.service)
        share.target_s = request.route.target_s if request.route else 1.0
        self._update(progress.service, share, now)
        if _admit(share, request, now):
            return None
        meters.REFUSED.labels(progress.service, "share").inc()
        return failures.Failure(
            failures.Reason.OVERLOADED,
            "the service has more requests than it can answer in time",
            control.choose_retry_after(
                now - request.arrived_at,
                share.target_s,
                placement.DEFAULT_GENERATOR,
            ),
        )

    def preview(
        self, request: requests.Request, service: str
    ) -> Preview | None:
        """Return what `admit` would do, without a change of the state.

        :returns: `None` if the service has no share
        """
        if not self._applies(service):
            return None
        now = self._read_clock()
        known = self._board.admission_shares.value.services.get(service)
        share = copy.deepcopy(known) if known else states.ServiceShare()
        share.target_s = request.route.target_s if request.route else 1.0
        load = self._measure_load(service, now)
        control.update(share, load, share.target_s, now)
        is_limited = share.limit is not None
        rate_per_s = share.rate.rate_per_s
        lately = share.demand.measure_share(now)
        return Preview(
            _admit(share, request, now), is_limited, lately, rate_per_s, load
        )

    def refresh(self) -> None:
        """End limits of services that get no more requests."""
        now = self._read_clock()
        for name, share in self._board.admission_shares.value.services.items():
            if share.limit is None:
                continue
            if self._applies(name):
                self._update(name, share, now)
            else:
                share.limit = None

    def record(
        self,
        progress: progresses.Progress,
        relay: relays.Relay,
        outcome: relays.Outcome,
        sent_at: float,
    ) -> None:
        """Record how an endpoint answered."""
        if not self._applies(progress.service):
            return
        now = self._read_clock()
        share = self._find_share(progress.service)
        if relays.is_full(outcome, relay.status):
            share.record_full(progress.endpoint, now)
        elif outcome is relays.Outcome.ANSWERED and relay.status < 300:
            load = self._measure_load(progress.service, now)
            is_calm = load is not None and load.has_free_slots
            share.record_time(now - sent_at, is_calm, now)

    def judge_rejection(
        self,
        request: requests.Request,
        progress: progresses.Progress,
        relay: relays.Relay,
        outcome: relays.Outcome,
    ) -> retries.Verdict | None:
        """Return what to do with a request that a full endpoint rejected.

        :returns: `None` if nothing is decided here
        """
        if not relays.is_full(outcome, relay.status) or not self._applies(
            progress.service
        ):
            return None
        now = self._read_clock()
        verdict = retries.judge_rejection(
            self._find_share(progress.service),
            self._board.endpoints.value.list_service(progress.service),
            frozenset(progress.tried),
            placement.BalancingInput(
                self._board.traffic.value,
                self._board.membership.value.active,
                self._board.settings.zone,
                now,
            ),
            now - request.arrived_at,
            request.route.target_s if request.route else 1.0,
        )
        if not verdict.may_retry:
            meters.REFUSED.labels(progress.service, "full").inc()
        return verdict

    def _applies(self, service: str) -> bool:
        rules = self._board.rules.value
        if not switch.applies(
            self._board.settings.admission, rules.configuration
        ):
            return False
        found = rules.find_service(service)
        return found is not None and found.engine is None

    def _find_share(self, service: str) -> states.ServiceShare:
        return self._board.admission_shares.value.get_or_create(service)

    def _measure_load(self, service: str, now: float) -> control.Load | None:
        """Return the load of a service, `None` if no sums are known."""
        membership = self._board.membership.value
        if now - membership.newest_totals_at > TOTALS_TTL_S:
            return None
        return control.measure_load(
            self._board.endpoints.value.list_service(service),
            membership.newest_totals,
            membership.peer_table.count_vms(now),
            now,
        )

    def _update(
        self, service: str, share: states.ServiceShare, now: float
    ) -> None:
        """Update the limit of a service and log if it changed."""
        before = share.limit
        load = self._measure_load(service, now)
        control.update(share, load, share.target_s, now)
        limit = share.limit
        values = {
            "service": service,
            "share": round(share.demand.measure_share(now), 2),
            "rate_per_s": round(share.rate.rate_per_s, 2),
            "in_progress": load.in_progress if load else 0,
            "slots": load.slots if load else 0,
            "recent_ms": round(1000 * share.recent_s, 1),
            "calm_ms": round(1000 * share.calm_s, 1),
        }
        if limit is not None and before is None:
            logevents.log(LOG, share_events.ShareLimited(**values))
        elif limit is None and before is not None:
            limited_s = logevents.round_time(now - before.started_at)
            event = share_events.ShareRestored(
                **values, refused=before.refused, limited_s=limited_s
            )
            logevents.log(LOG, event)
        elif limit is not None and now - limit.reported_at > REPORT_INTERVAL_S:
            limit.reported_at = now
            logevents.log(
                LOG,
                share_events.ShareCorrected(**values, refused=limit.refused),
            )


def _admit(
    share: states.ServiceShare, request: requests.Request, now: float
) -> bool:
    """Return whether a request is in the admitted share, and count it."""
    left_s = request.deadline - request.arrived_at
    times = share.find_caller_times(
        request.route.name if request.route else ""
    )
    if share.limit is None:
        times.record(left_s)
    return control.admit(
        share, request.priority, times.has_returned(left_s), now
    )
