"""Candidate endpoints for a request."""

from __future__ import annotations

from collections.abc import Mapping
from collections.abc import Sequence

import attrs

from bronzetrack.configuration import inventory as inventories
from bronzetrack.membership import messages

MAX_DUMPED_CANDIDATES = 8


@attrs.frozen
class Candidate:
    """An endpoint that could run a request, as known to this VM.

    :param owner: the VM that owns the endpoint
    :param slots: number of slots of the endpoint
    :param warm: whether the adapter version is loaded at the endpoint
    :param free_slots: free slots according to the owner's summary
    :param queued: waiting requests according to the owner's summary
    :param in_flight: attempts that this VM sent to the endpoint and that have
        not ended
    :param report_age_ms: age of the owner's summary
    :param slow: whether the endpoint answers slower than the others of its
        model
    :param reachable: whether the endpoint answers its owner
    :param near: whether the endpoint is in the availability zone of this VM
    :param senders: number of VMs that may have sent work to the endpoint since
        the summary
    """

    endpoint: str
    owner: str
    slots: int
    warm: bool
    free_slots: int
    queued: int
    in_flight: int
    report_age_ms: int
    slow: bool = False
    reachable: bool = True
    near: bool = True
    senders: int = 1


@attrs.frozen
class ReceivedSummary:
    """The newest summary of an endpoint that this VM has received.

    :param owner: the VM that owns the endpoint
    :param age_ms: age of the summary in milliseconds
    :param senders: number of VMs that may have sent work to the endpoint since
        the summary, including this one
    """

    owner: str
    summary: messages.EndpointSummary
    age_ms: int
    senders: int = 1


def list_candidates(
    endpoints: Mapping[str, inventories.Endpoint],
    received_summaries: Mapping[str, ReceivedSummary],
    adapter: str,
    in_flight: Mapping[str, int],
    leaving: frozenset[str],
    zone: str,
) -> list[Candidate]:
    """Return the candidates for a request, sorted by endpoint name.

    Endpoints that are leaving or no longer in the inventory are left out.

    :param endpoints: endpoints that may serve the request, by name
    :param received_summaries: newest summaries by endpoint
    :param adapter: adapter version that the request needs
    :param in_flight: attempts of this VM that have not ended, by endpoint
    :param leaving: endpoints that are listed as leaving
    :param zone: availability zone of this VM
    """
    found = []
    for name in sorted(received_summaries):
        endpoint, received = endpoints.get(name), received_summaries[name]
        if endpoint is None or endpoint.leaving or name in leaving:
            continue
        summary = received.summary
        if summary.leaving:
            continue
        found.append(
            Candidate(
                endpoint=name,
                owner=received.owner,
                slots=endpoint.slots,
                warm=adapter in summary.warm,
                free_slots=summary.free_slots,
                queued=summary.queued,
                in_flight=in_flight.get(name, 0),
                report_age_ms=received.age_ms,
                slow=summary.slow,
                reachable=summary.reachable,
                near=endpoint.availability_zone == zone,
                senders=received.senders,
            )
        )
    return found


def limit_for_dump(
    found: Sequence[Candidate],
) -> tuple[Candidate, ...]:
    """Return the candidates to keep in the state dump, warm ones first."""
    if len(found) <= MAX_DUMPED_CANDIDATES:
        return tuple(found)
    ranked = sorted(found, key=lambda item: not item.warm)
    return tuple(ranked[:MAX_DUMPED_CANDIDATES])
