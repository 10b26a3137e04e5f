"""Reasons for which an endpoint cannot be chosen for a request."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator

import attrs

from bronzetrack.core import registry
from bronzetrack.entry import endpoints
from bronzetrack.entry.explanations import answers
from bronzetrack.entry.forwarding import requests
from bronzetrack.entry.loads import placement


@attrs.frozen(eq=False)
class Situation:
    """What is known when an endpoint is chosen.

    :param version: oldest version of the adapter that may be used, `None` if
        the request needs no engine
    :param has_memory: whether an engine has memory for the request
    :param starts: latest start at each address, as Unix time in milliseconds
    :param eligible: ids of the endpoints that could run the request
    :param open: ids of those that it may be sent to now
    :param preferred: ids of those that the choice draws from
    """

    request: requests.Request
    version: int | None
    balancing: placement.BalancingInput
    has_memory: Callable[[endpoints.Endpoint], bool]
    starts: dict[str, int]
    eligible: frozenset[str]
    open: frozenset[str]
    preferred: frozenset[str]

    @property
    def now(self) -> float:
        """Present time."""
        return self.balancing.now


# Returns the detail of the reason, `None` if it does not apply.
FindExclusion = Callable[[Situation, endpoints.Endpoint], str | None]
EXCLUSIONS: registry.Registry[FindExclusion] = registry.Registry(
    "exclusions of endpoints"
)


@EXCLUSIONS.register("replaced")
def find_other_start(
    situation: Situation, endpoint: endpoints.Endpoint
) -> str | None:
    """Return whether another start serves the address of an endpoint."""
    latest = situation.starts.get(endpoint.address, 0)
    if endpoint.removed_at is None or latest <= endpoint.started_ms:
        return None
    return f"{endpoint.address} belongs to a later start"


@EXCLUSIONS.register("removed")
def find_removal(
    situation: Situation, endpoint: endpoints.Endpoint
) -> str | None:
    """Return since when an endpoint counts as removed."""
    removed_at, now = endpoint.removed_at, situation.now
    if removed_at is None or now < removed_at:
        return None
    if endpoint.is_returning(now):
        return "it has returned and has to announce itself once more"
    return f"its entry was removed {now - removed_at:.1f} s ago"


@EXCLUSIONS.register("leaving")
def find_departure(
    situation: Situation, endpoint: endpoints.Endpoint
) -> str | None:
    """Return since when an endpoint is known to leave."""
    departure = endpoint.departure
    if departure is None:
        return None
    age_s = situation.now - departure.known_at
    return f"known for {age_s:.1f} s by its {departure.evidence.source.value}"


@EXCLUSIONS.register("unreachable")
def find_lost_connection(
    situation: Situation, endpoint: endpoints.Endpoint
) -> str | None:
    """Return for how long an endpoint gets no connection."""
    own = situation.balancing.traffic.by_identity.get(endpoint.identity)
    if own is None or own.unreachable_until <= situation.now:
        return None
    left_s = own.unreachable_until - situation.now
    return f"it accepted no connection; next attempt in {left_s:.2f} s"


@EXCLUSIONS.register("paused")
def find_pause(
    situation: Situation, endpoint: endpoints.Endpoint
) -> str | None:
    """Return for how long an endpoint wants no requests of this VM."""
    left_s = situation.balancing.get_pause_end(endpoint) - situation.now
    return f"it wants a pause for {left_s:.2f} s" if left_s > 0 else None


@EXCLUSIONS.register("connection_limit")
def find_connection_limit(
    situation: Situation, endpoint: endpoints.Endpoint
) -> str | None:
    """Return whether this VM has all the connections that it may have."""
    own = situation.balancing.traffic.by_identity.get(endpoint.identity)
    limit = situation.balancing.max_own_requests
    if own is None or own.active < limit:
        return None
    return f"this VM has {own.active} of {limit:g} connections"


@EXCLUSIONS.register("not_held")
def find_missing_adapter(
    situation: Situation, endpoint: endpoints.Endpoint
) -> str | None:
    """Return whether an engine lacks the model or the adapter."""
    if _holds_any(situation, endpoint):
        return None
    return "it does not hold the model or the adapter"


@EXCLUSIONS.register("old_version")
def find_old_version(
    situation: Situation, endpoint: endpoints.Endpoint
) -> str | None:
    """Return whether an engine holds only an older version."""
    key, version = situation.request.model_key, situation.version
    if version is None or key is None or not _holds_any(situation, endpoint):
        return None
    if endpoint.holds(key, version):
        return None
    held = endpoint.adapters.get(key, 0)
    return f"it holds version {held}, at least {version} is needed"


def _holds_any(situation: Situation, endpoint: endpoints.Endpoint) -> bool:
    """Return whether an endpoint holds some version of what is needed."""
    key = situation.request.model_key
    if situation.version is None or key is None:
        return True
    return endpoint.holds(key, 1)


@EXCLUSIONS.register("no_memory")
def find_full_memory(
    situation: Situation, endpoint: endpoints.Endpoint
) -> str | None:
    """Return whether an engine lacks the memory for the request."""
    if situation.version is None or situation.has_memory(endpoint):
        return None
    return "its requests and this one exceed its memory"


@EXCLUSIONS.register("full")
def find_fullness(
    situation: Situation, endpoint: endpoints.Endpoint
) -> str | None:
    """Return whether an engine that rejected requests gets none now."""
    if endpoint.identity not in situation.eligible - situation.open:
        return None
    return "it rejected requests as it was full"


@EXCLUSIONS.register("failing")
def find_failures(
    situation: Situation, endpoint: endpoints.Endpoint
) -> str | None:
    """Return whether an endpoint failed and others are preferred."""
    if endpoint.identity not in situation.open - situation.preferred:
        return None
    if not situation.balancing.is_failing(endpoint):
        return None
    return "it failed recently, and others did not"


def list_exclusions(
    situation: Situation, endpoint: endpoints.Endpoint
) -> Iterator[answers.Exclusion]:
    """Iterate over the reasons for which an endpoint cannot be chosen."""
    for reason, find in EXCLUSIONS.items():
        detail = find(situation, endpoint)
        if detail is not None:
            yield answers.Exclusion(reason, detail)
