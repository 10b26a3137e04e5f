"""State of one run, which the entry and owner roles share."""

from __future__ import annotations

import collections
from collections.abc import Callable
import random

import attrs

from bench import fakes
from bench import workloads
from bronzetrack.configuration import inventory as inventories
from bronzetrack.configuration import rules as rule_sets
from bronzetrack.dispatch import loads as load_plans
from bronzetrack.dispatch import placement
from bronzetrack.dispatch import state as states
from bronzetrack.limits import quotas as quota_views
from bronzetrack.limits import transfers
from bronzetrack.membership import messages as membership
from bronzetrack.retries import policy as retry_policy
from bronzetrack.streaming import requests

HOP_MS = 1.0
# Owners under a naive policy keep one queue in order of arrival and ignore
# the shares of members.
NAIVE_POLICIES = ("round_robin", "least_load", "locality")
OWN_POLICY = "balanced"


@attrs.define
class Outcome:
    """The outcome of an arrival; times in milliseconds.

    :param stalled_ms: time that the request waited for its adapter to load, 0
        until the load ends, None if the adapter was ready
    :param refusal: reason of a refusal or failure, empty if there was none
    :param excluded: endpoints that further attempts avoid
    """

    arrival: workloads.Arrival
    endpoint: str = ""
    started_ms: float | None = None
    first_ms: float | None = None
    ended_ms: float | None = None
    stalled_ms: float | None = None
    refusal: str = ""
    attempts: int = 0
    excluded: set[str] = attrs.field(factory=set)


@attrs.define
class Vm:
    """A VM that is an entry VM and owns endpoints.

    :param reported: endpoint summaries of its last heartbeat
    :param reported_usage: usage by member of its last heartbeat
    """

    name: str
    zone: str
    permits: transfers.Permits
    plans: dict[str, load_plans.LoadPlan] = attrs.field(factory=dict)
    needed: int = 0
    budget: retry_policy.RetryBudget = attrs.field(
        factory=retry_policy.RetryBudget
    )
    placements: dict[str, placement.Placement] = attrs.field(factory=dict)
    quotas: quota_views.QuotaView = attrs.field(factory=quota_views.QuotaView)
    recent: collections.deque[str] = attrs.field(
        factory=lambda: collections.deque(maxlen=requests.RECENT_REQUESTS)
    )
    usage: dict[str, float] = attrs.field(factory=dict)
    used_ms: float = 0.0
    in_flight: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )
    heartbeat_ms: float = 0.0
    reported: dict[str, membership.EndpointSummary] = attrs.field(factory=dict)
    reported_usage: dict[str, float] = attrs.field(factory=dict)


@attrs.frozen
class Start:
    """The start of a request in a slot of an endpoint.

    :param contended: whether ready work of another member waited there
    """

    at_ms: float
    member: str
    cost: float
    contended: bool


@attrs.define
class Site:
    """One run of one policy over one list of arrivals.

    :param queues: state of the queue of each endpoint at its owner
    :param owners: VM that owns each endpoint
    :param members: member that owns each adapter
    :param starts: all starts in order of time
    """

    workload: workloads.Workload
    policy: str
    rules: rule_sets.Rules
    rng: random.Random
    timeline: fakes.Timeline
    endpoints: dict[str, inventories.Endpoint]
    engines: dict[str, fakes.Engine]
    store: fakes.Store
    outcomes: list[Outcome]
    vms: dict[str, Vm]
    owners: dict[str, Vm]
    queues: dict[str, states.EndpointQueue]
    members: dict[str, str] = attrs.field(factory=dict)
    starts: list[Start] = attrs.field(factory=list)

    @property
    def is_naive(self) -> bool:
        """Whether owners use neither shares nor token transfers nor copies."""
        return self.policy in NAIVE_POLICIES

    def list_owned(self, vm: Vm) -> list[str]:
        """Return the names of the endpoints that a VM owns."""
        return [name for name, owner in self.owners.items() if owner is vm]

    def call_later(self, after_ms: float, action: Callable[[], None]) -> None:
        """Schedule an action after a delay."""
        self.timeline.call_at(self.timeline.now_ms + after_ms, action)

    def run(self, drain_ms: int = 10_000) -> None:
        """Run until all requests arrived and most of the work is done.

        :param drain_ms: time to run on after the end of the arrivals
        """
        self.timeline.run(self.workload.duration_ms + drain_ms)
