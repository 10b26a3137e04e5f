"""What a VM knows about overload, a section of the blackboard."""

from __future__ import annotations

import attrs

from bronzetrack.entry.admission.shares import callertimes
from bronzetrack.limits import tokens

# Services that are remembered.
MAX_SERVICES = 32
# Classes of a service that are told apart.
MAX_CLASSES = 16
# Requests that a VM may admit at once, and those that it may have admitted in
# advance when a limit begins.
MAX_TOKENS = 4.0
MIN_TOKENS = -0.5
# Routes of a service whose callers are told apart.
MAX_ROUTES = 32
# Half-life of the counts of requests.
COUNT_HALF_LIFE_S = 1.0
# Half-life of an answer's weight in the present time of answers.
ANSWER_HALF_LIFE_S = 1.0
# Weight that the former answers keep in it with each new one.
RECENT_KEPT = 0.75
# Weights of a faster and of a slower answer in the time of answers in calm.
# Many answers wait also in calm, as VMs choose endpoints by old counts.
FASTER_WEIGHT = 0.2
SLOWER_WEIGHT = 0.05


@attrs.define(eq=False)
class DecayedCount:
    """Number of events whose weight decays with time."""

    value: float = 0.0
    updated_at: float = 0.0

    def add(self, now: float) -> None:
        """Count an event."""
        self.value = self.measure(now) + 1.0
        self.updated_at = now

    def measure(self, now: float) -> float:
        """Return the decayed number of events."""
        age_s = max(0.0, now - self.updated_at)
        return self.value * 0.5 ** (age_s / COUNT_HALF_LIFE_S)


@attrs.define(eq=False)
class Demand:
    """Requests that arrived for a service, and those that were admitted."""

    offered: DecayedCount = attrs.field(factory=DecayedCount)
    admitted: DecayedCount = attrs.field(factory=DecayedCount)

    def record(self, is_admitted: bool, now: float) -> None:
        """Count a request."""
        self.offered.add(now)
        if is_admitted:
            self.admitted.add(now)

    def measure_share(self, now: float) -> float:
        """Return the share of the requests that was admitted lately."""
        offered = self.offered.measure(now)
        return self.admitted.measure(now) / offered if offered else 1.0


@attrs.define(eq=False)
class RequestRate:
    """Rate at which a VM admits the requests to a service.

    It also counts while all requests are admitted, so that a limit does not
    begin with a reserve that the requests of the overload have used up.

    :param bucket: requests that may be admitted now. It is in debt where more
        were admitted, or where endpoints have a long queue.
    """

    rate_per_s: float = 0.0
    bucket: tokens.TokenBucket = tokens.TokenBucket(MAX_TOKENS)

    def refill(self, now: float) -> None:
        """Add the tokens since the last call."""
        self.bucket = self.bucket.refill(
            self.rate_per_s, MAX_TOKENS, tokens.to_ms(now)
        )

    def charge(self, requests: float) -> None:
        """Count requests that were admitted before a limit begins."""
        self.bucket = self.bucket.take(requests)

    def take(self, needed: float, is_limited: bool, now: float) -> bool:
        """Take a token if there are enough.

        :param needed: tokens that must be there
        :param is_limited: whether a token is needed at all
        :returns: whether the request is admitted
        """
        self.refill(now)
        if is_limited and self.bucket.tokens < needed:
            return False
        missing = max(0.0, MIN_TOKENS - (self.bucket.tokens - 1.0))
        self.bucket = self.bucket.take(1.0).add(missing)
        return True


@attrs.define(eq=False)
class Limit:
    """Limit on the requests that a VM admits to a service that is full.

    :param base_per_s: part of the rate that follows the endpoints' throughput
    :param stepped_at: when the rate was last corrected
    :param started_at: when the limit began
    :param full_at: when the service last had too many requests in progress, or
        this VM last refused a request
    :param reported_at: when the limit was last logged
    :param refused: requests refused since the limit began
    """

    base_per_s: float
    stepped_at: float
    started_at: float
    full_at: float
    reported_at: float
    refused: int = 0


@attrs.define(eq=False)
class ServiceShare:
    """What is known about the overload of a service.

    :param limit: limit on admitted requests, `None` while all are admitted
    :param rate: rate of the admitted requests
    :param calm_s: time of an answer while endpoints have free slots
    :param answers: number of answers seen
    :param recent_s: present time of an answer
    :param full_at: when endpoints last rejected a request as they were full,
        by id
    :param target_s: time within which an answer to the last request is on time
    :param caller_times: how long callers wait, by route
    :param demand: requests of all classes
    :param by_class: requests by class
    """

    limit: Limit | None = None
    rate: RequestRate = attrs.field(factory=RequestRate)
    calm_s: float = 0.0
    answers: int = 0
    recent_s: float = 0.0
    recent_at: float = float("-inf")
    full_at: dict[str, float] = attrs.field(factory=dict)
    target_s: float = 1.0
    caller_times: dict[str, callertimes.CallerTimes] = attrs.field(
        factory=dict
    )
    demand: Demand = attrs.field(factory=Demand)
    by_class: dict[tuple[int, bool], Demand] = attrs.field(factory=dict)

    def record_time(self, answer_s: float, is_calm: bool, now: float) -> None:
        """Record the time from a send to its answer.

        :param is_calm: whether endpoints have free slots
        """
        if not self.answers or answer_s < self.calm_s:
            weight = 1.0 if not self.answers else FASTER_WEIGHT
            self.calm_s += weight * (answer_s - self.calm_s)
        elif is_calm:
            self.calm_s += SLOWER_WEIGHT * (answer_s - self.calm_s)
        self.answers += 1
        age_s = max(0.0, now - self.recent_at)
        kept = RECENT_KEPT * 0.5 ** (age_s / ANSWER_HALF_LIFE_S)
        self.recent_s = kept * self.recent_s + (1 - kept) * answer_s
        self.recent_at = now

    def record_full(self, identity: str, now: float) -> None:
        """Record that an endpoint rejected a request as it was full."""
        self.full_at[identity] = now

    def find_caller_times(self, route: str) -> callertimes.CallerTimes:
        """Return how long callers of a route wait, creating it if needed."""
        found = self.caller_times.get(route)
        if found is None:
            if len(self.caller_times) >= MAX_ROUTES:
                del self.caller_times[next(iter(self.caller_times))]
            found = self.caller_times[route] = callertimes.CallerTimes()
        return found

    def find_class(self, key: tuple[int, bool]) -> Demand:
        """Return the demand of a class, creating it if needed."""
        found = self.by_class.get(key)
        if found is None:
            if len(self.by_class) >= MAX_CLASSES:
                del self.by_class[next(iter(self.by_class))]
            found = self.by_class[key] = Demand()
        return found


@attrs.define(eq=False)
class ShareState:
    """What a VM knows about the overload of services without engines."""

    services: dict[str, ServiceShare] = attrs.field(factory=dict)

    def get_or_create(self, service: str) -> ServiceShare:
        """Return what is known of a service, creating it if needed."""
        found = self.services.get(service)
        if found is None:
            if len(self.services) >= MAX_SERVICES:
                del self.services[next(iter(self.services))]
            found = self.services[service] = ServiceShare()
        return found

    def discard_unlisted(self, identities: set[str]) -> None:
        """Discard what is known of endpoints whose ids are not listed."""
        for service in self.services.values():
            for identity in set(service.full_at) - identities:
                del service.full_at[identity]
