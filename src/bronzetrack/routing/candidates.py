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
    reachable: bool = True
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
    found = []
    for name in sorted(reports):
        endpoint, report = endpoints.get(name), reports[name]
        if endpoint is None or endpoint.leaving or name in leaving:
            continue
        summary = report.summary
        if summary.leaving:
            continue
        found.append(
            Candidate(
                endpoint=name,
                owner=report.owner,
                slots=endpoint.slots,
                warm=adapter in summary.warm,
                free_slots=summary.free_slots,
                queued=summary.queued,
                in_flight=in_flight.get(name, 0),
                report_age_ms=report.age_ms,
                slow=summary.slow,
                reachable=summary.reachable,
                near=endpoint.availability_zone == zone,
                senders=report.senders,
            )
        )
    return found


def sample_candidates(
    found: Sequence[Candidate],
) -> tuple[Candidate, ...]:
    """Return the candidates that the state dump keeps, warm ones first."""
    if len(found) <= SAMPLED_CANDIDATES:
        return tuple(found)
    ranked = sorted(found, key=lambda item: not item.warm)
    return tuple(ranked[:SAMPLED_CANDIDATES])
