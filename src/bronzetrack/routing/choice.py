"""Selection of the endpoint for an attempt."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Mapping
from typing import TYPE_CHECKING

from bronzetrack.core import failures
from bronzetrack.core import rendezvous
from bronzetrack.membership import messages
from bronzetrack.membership import view as views
from bronzetrack.ownership import leases
from bronzetrack.routing import candidates
from bronzetrack.routing import policies

if TYPE_CHECKING:
    from bronzetrack.configuration import inventory as inventories


def collect_summaries(
    ownership: leases.OwnershipState,
    view: views.MembershipView,
    own: Mapping[str, messages.EndpointSummary],
    vm: str,
    incarnation: str,
    now_ms: int,
) -> dict[str, candidates.ReceivedSummary]:
    """Return the newest summary of each endpoint with a reachable owner.

    An owner that is leaving gets no new work, since it can release an
    endpoint only when the endpoint is idle.

    :param own: summaries of the endpoints of this VM, without those that it
        has released while the log may still record it as their owner
    :param vm: name of this VM
    :param incarnation: incarnation of this VM
    """
    received_summaries = {}
    senders = 1 + len(views.list_serving(view, now_ms))
    sole = ownership.standing is leases.Standing.SOLE
    for name, owner in ownership.owners.items():
        if owner.incarnation == incarnation:
            if sole and name in own:
                received_summaries[name] = candidates.ReceivedSummary(
                    vm, own[name], 0
                )
            continue
        state = view.vms.get(owner.vm)
        if state is None or state.incarnation != owner.incarnation:
            continue
        if state.status is messages.VmStatus.LEAVING:
            continue
        if views.is_reachable(state, now_ms):
            received_summaries[name] = candidates.ReceivedSummary(
                owner.vm,
                state.endpoints.get(name, messages.EndpointSummary()),
                now_ms - state.heard_ms,
                senders,
            )
    if not ownership.caught_up or not sole:
        # A VM that started during an outage of the log, or that cannot reach
        # the log, learns of owners only from their heartbeats. A VM refuses
        # work for endpoints that it does not own.
        for state in view.vms.values():
            if views.is_reachable(state, now_ms):
                age_ms = now_ms - state.heard_ms
                for name, summary in state.endpoints.items():
                    received = candidates.ReceivedSummary(
                        state.vm, summary, age_ms
                    )
                    received_summaries.setdefault(name, received)
    return received_summaries


def choose_endpoint(
    endpoints: Mapping[str, inventories.Endpoint],
    received_summaries: Mapping[str, candidates.ReceivedSummary],
    adapter: str,
    in_flight: Mapping[str, int],
    leaving: frozenset[str],
    zone: str,
    excluded: Collection[str],
    isolated_key: str | None = None,
    policy: str = "balanced",
    on_candidates: Callable[[list[candidates.Candidate]], None] | None = None,
) -> candidates.Candidate | failures.Failure:
    """Return the endpoint for an attempt, or a failure if there is none.

    :param endpoints: endpoints that may serve the request, by name
    :param received_summaries: newest summaries by endpoint
    :param adapter: adapter version that the request needs
    :param in_flight: attempts of this VM that have not ended, by endpoint
    :param leaving: endpoints that are listed as leaving
    :param zone: availability zone of this VM
    :param excluded: endpoints at which the request has failed; used again
        only if there is no other endpoint
    :param isolated_key: fingerprint of a suspect request, which all VMs have
        to send to the same endpoint
    :param policy: name of the routing policy
    :param on_candidates: callback that receives all candidates, for the state
        dump
    """
    found = candidates.list_candidates(
        endpoints, received_summaries, adapter, in_flight, leaving, zone
    )
    if on_candidates is not None:
        on_candidates(found)
    if not found:
        return failures.Failure(
            failures.Reason.NO_OWNER,
            "no endpoint with a reachable owner",
            retry_after_ms=1_000,
        )
    if isolated_key is not None:
        names = rendezvous.rank_nodes(
            isolated_key, [item.endpoint for item in found]
        )
        return next(item for item in found if item.endpoint == names[0])
    reachable = [item for item in found if item.reachable] or found
    preferred = [item for item in reachable if item.endpoint not in excluded]
    return policies.POLICIES.lookup(policy)(preferred or reachable, adapter)
