"""Endpoints that could run a request."""

from __future__ import annotations

from collections.abc import Mapping
from collections.abc import Sequence

import attrs

from bronzetrack.configuration import inventory as inventories
from bronzetrack.membership import messages

SAMPLED_CANDIDATES = 8


@attrs.frozen
class Candidate:
    """An endpoint that could run a request, as this VM sees it.

    :param owner: the VM that owns the endpoint
    :param warm: whether the adapter version is loaded there
    :param in_flight: attempts that this VM sent there and that have not ended
    :param report_age_ms: age of the owner's summary
    :param senders: VMs that may have sent work there since the summary
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
    near: bool = True
    senders: int = 1


@attrs.frozen
class OwnerReport:
    """The newest summary of an endpoint that reached this VM.

    :param senders: VMs that may have sent work there since, this one included
    """

    owner: str
    summary: messages.EndpointSummary
    age_ms: int
    senders: int = 1


def list_candidates(
    endpoints: Mapping[str, inventories.Endpoint],
    reports: Mapping[str, OwnerReport],
    adapter: str,
    in_flight: Mapping[str, int],
    leaving: frozenset[str],
    zone: str,
) -> list[Candidate]:
    """Return the candidates among some endpoints, in order of name."""
    return [
        Candidate(
            endpoint=name,
            owner=reports[name].owner,
            slots=endpoint.slots,
            warm=adapter in reports[name].summary.warm,
            free_slots=reports[name].summary.free_slots,
            queued=reports[name].summary.queued,
            in_flight=in_flight.get(name, 0),
            report_age_ms=reports[name].age_ms,
            slow=reports[name].summary.slow,
            near=endpoint.availability_zone == zone,
            senders=reports[name].senders,
        )
        for name, endpoint in sorted(endpoints.items())
        if name in reports
        and name not in leaving
        and not endpoint.leaving
        and not reports[name].summary.leaving
    ]


def sample_candidates(
    found: Sequence[Candidate],
) -> tuple[Candidate, ...]:
    """Return the candidates that the state dump keeps, warm ones first."""
    if len(found) <= SAMPLED_CANDIDATES:
        return tuple(found)
    ranked = sorted(found, key=lambda item: not item.warm)
    return tuple(ranked[:SAMPLED_CANDIDATES])
