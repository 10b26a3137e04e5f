"""What a VM has learned about costs, a section of the blackboard."""

from __future__ import annotations

import attrs

from bronzetrack.entry.costs import firstevents
from bronzetrack.entry.costs import means
from bronzetrack.entry.costs import parts
from bronzetrack.entry.costs import work

# Routes, and pairs of a route and an adapter, that are remembered.
MAX_ROUTES = 128
MAX_ADAPTERS = 512
# Services that are remembered.
MAX_SERVICES = 32
# Typical time between two events, until a VM has seen a stream.
PRIOR_EVENT_MS = 40.0
# Typical events per token that a request announces, until a VM has seen a
# stream. Events do not state their number of tokens.
PRIOR_EVENTS_PER_TOKEN = 0.125
# Typical work of a request, in ms of an endpoint.
PRIOR_WORK_MS = 20.0
# Share of the prompts whose shared parts their home engine keeps, until a VM
# has seen answers.
PRIOR_HOME_HITS = 0.5
# Typical time of an answer that is no stream.
PRIOR_ANSWER_MS = 50.0
# Standard deviation of the speeds of the endpoints of a service.
SPEED_DEVIATION = 0.2
# An answer changes the speed of its endpoint by at most these factors.
SPEED_RANGE = (0.25, 4.0)
# Times to the first event also hold waits, so that they count less.
FIRST_EVENT_WEIGHT = 0.25
# An endpoint that rejected a request as it was full counts as full for this
# time. A few requests of a full endpoint end within it.
FULL_S = 0.2


@attrs.define(eq=False)
class ServiceCosts:
    """What is known about the endpoints of a service.

    :param first_events: model of the time to the first event
    :param event_ms: time between two events
    :param work_ms: work of a request, in ms of an endpoint
    :param speeds: duration of the same work at each endpoint, as a multiple of
        the mean of the service, by id
    :param home_hits: share of the prompts whose shared parts an engine kept
        that all VMs send them to first
    :param full_until: until when endpoints count as full, by id
    """

    first_events: firstevents.FirstEventModel = attrs.field(
        factory=firstevents.FirstEventModel
    )
    event_ms: means.DecayedMean = attrs.field(factory=means.DecayedMean)
    work_ms: means.DecayedMean = attrs.field(factory=means.DecayedMean)
    speeds: dict[str, means.DecayedMean] = attrs.field(factory=dict)
    home_hits: means.DecayedMean = attrs.field(factory=means.DecayedMean)
    full_until: dict[str, float] = attrs.field(factory=dict)

    def estimate_speed(self, identity: str, now: float) -> float:
        """Return a cautious estimate of the speed of an endpoint."""
        speed = self.speeds.get(identity, UNKNOWN)
        return speed.estimate(1.0, now) + speed.measure_error(
            SPEED_DEVIATION, now
        )

    def record_speed(
        self, identity: str, ratio: float, now: float, weight: float = 1.0
    ) -> None:
        """Record how long an endpoint took, as a multiple of the mean."""
        low, high = SPEED_RANGE
        self.speeds.setdefault(identity, means.DecayedMean()).add(
            min(high, max(low, ratio)), now, weight
        )

    def record_full(self, identity: str, now: float) -> None:
        """Record that an endpoint rejected a request as it was full."""
        self.full_until[identity] = now + FULL_S

    def is_full(self, identity: str, now: float) -> bool:
        """Return whether an endpoint was full a moment ago."""
        return self.full_until.get(identity, 0.0) > now

    def estimate_event_ms(self, now: float) -> float:
        """Return the time between two events."""
        return self.event_ms.estimate(PRIOR_EVENT_MS, now)

    def estimate_home_hits(self, now: float) -> float:
        """Return how likely the home engine of shared parts keeps them."""
        return self.home_hits.estimate(PRIOR_HOME_HITS, now)

    def estimate_work_ms(self, now: float) -> float:
        """Return the mean work of a request, in ms of an endpoint."""
        return self.work_ms.estimate(PRIOR_WORK_MS, now)


UNKNOWN = means.DecayedMean()


@attrs.define(eq=False)
class CostState:
    """What this VM has learned from answers, and its requests in progress.

    :param route_lengths: events per announced token by route
    :param adapter_lengths: the same by route and adapter
    :param answer_ms: time of an answer that is no stream, by route
    """

    services: dict[str, ServiceCosts] = attrs.field(factory=dict)
    route_lengths: means.MeanTable[str] = attrs.field(
        factory=lambda: means.MeanTable(MAX_ROUTES)
    )
    adapter_lengths: means.MeanTable[tuple[str, str]] = attrs.field(
        factory=lambda: means.MeanTable(MAX_ADAPTERS)
    )
    answer_ms: means.MeanTable[str] = attrs.field(
        factory=lambda: means.MeanTable(MAX_ROUTES)
    )
    kept: parts.KeptParts = attrs.field(factory=parts.KeptParts)
    ledger: work.Ledger = attrs.field(factory=work.Ledger)

    def get_or_create(self, service: str) -> ServiceCosts:
        """Return what is known of a service, creating it if needed."""
        found = self.services.get(service)
        if found is None:
            if len(self.services) >= MAX_SERVICES:
                del self.services[next(iter(self.services))]
            found = self.services[service] = ServiceCosts()
        return found

    def estimate_length(self, route: str, adapter: str, now: float) -> float:
        """Return the expected number of events per announced token."""
        by_route = self.route_lengths.estimate(
            route, PRIOR_EVENTS_PER_TOKEN, now
        )
        return self.adapter_lengths.estimate((route, adapter), by_route, now)

    def record_length(
        self, route: str, adapter: str, ratio: float, now: float
    ) -> None:
        """Record the number of events per announced token of an answer."""
        self.route_lengths.add(route, ratio, now)
        self.adapter_lengths.add((route, adapter), ratio, now)

    def discard_unlisted(self, identities: set[str]) -> None:
        """Discard what is known of endpoints whose ids are not listed."""
        self.kept.discard_unlisted(identities)
        for service in self.services.values():
            for table in (service.speeds, service.full_until):
                for identity in set(table) - identities:
                    del table[identity]
