"""What an explanation says about a request."""

from __future__ import annotations

import enum

import attrs

from bronzetrack.entry import routes
from bronzetrack.entry.admission.shares import gate as share_gates
from bronzetrack.entry.forwarding import failures
from bronzetrack.entry.workspaces import workspaces


class Outcome(enum.Enum):
    """What would become of a request now.

    WAITS is a request that waits at this VM until an endpoint can take it.
    """

    SENT = "sent"
    WAITS = "waits"
    REFUSED = "refused"


class QuotaVerdict(enum.Enum):
    """How the quota of a workspace would be applied to a request.

    ADMITTED is decided by the credit that this VM holds, OVER_QUOTA by a
    recent refusal of the owner, and ASKED by the owner, which has to be asked.
    ADMITTED_ALONE and UNKNOWN are decided by this VM's own part of the quota,
    as the owner does not answer.
    """

    ADMITTED = "admitted"
    OVER_QUOTA = "over_quota"
    ASKED = "asked"
    ADMITTED_ALONE = "admitted_alone"
    UNKNOWN = "unknown"


@attrs.frozen
class Quota:
    """The quota of a workspace and a request that counts towards it.

    :param cost: units that the request uses
    :param credit: units that this VM holds
    :param owner: VM that lends the units
    :param waiting: requests of this VM that wait for credit
    :param retry_after_s: seconds until there are enough units
    """

    rate_per_s: float
    burst: float
    unit: workspaces.Unit
    cost: float
    credit: float
    owner: str
    waiting: int
    verdict: QuotaVerdict
    retry_after_s: float | None = None


@attrs.frozen
class Exclusion:
    """Why an endpoint is not among those that a choice draws from.

    :param reason: key in the registry of exclusions
    """

    reason: str
    detail: str


@attrs.frozen
class Candidate:
    """An endpoint of a service, with its likely cost.

    :param active: requests in progress of all VMs
    :param own_active: those of this VM
    :param load: score by which the choice by count compares
    :param ahead_ms: work ahead of the request, in ms of the endpoint; `None`,
        as the following ones, where requests are not routed by cost
    :param first_ms: estimated time to the first event or the answer
    :param work_ms: work of the request, in ms of the endpoint
    :param unread_tokens: prompt tokens that the endpoint has to read
    :param score_ms: score by which the choice by cost compares
    :param probability: probability that the endpoint is chosen; `None` if
        there are too many to enumerate what may be drawn
    :param exclusions: what rules the endpoint out, empty for one that may be
        chosen
    """

    identity: str
    zone: str
    capacity: int
    active: int
    own_active: int
    load: float
    probability: float | None
    ahead_ms: float | None = None
    first_ms: float | None = None
    work_ms: float | None = None
    unread_tokens: float | None = None
    score_ms: float | None = None
    exclusions: tuple[Exclusion, ...] = ()


@attrs.frozen
class Wait:
    """Requests that want the same engines.

    :param others: number of other requests of this VM that wait for them
    :param next_send_s: seconds until the request may be sent to one of them
    :param limit_s: longest time that the request waits
    """

    others: int
    next_send_s: float
    limit_s: float


@attrs.frozen
class Copies:
    """Engines that hold the adapter of a request.

    :param version: oldest version that may be used
    :param present: usable engines that hold it
    :param needed: engines that should hold it, by the requests in progress
    """

    version: int
    present: int
    needed: int


@attrs.frozen
class ServiceAnswer:
    """What would become of a request at one of the services of its route.

    :param probability: probability that the route chooses the service
    :param is_by_cost: whether the requests are routed by cost
    :param failure: why the request would be refused, if it would
    :param share: admission of a service without engines, `None` if it does
        not apply
    :param wait: `None` if admission control does not apply
    :param copies: `None` if the request needs no engine
    :param candidates: endpoints, the likely ones first
    :param omitted: number of endpoints that are left out
    """

    service: str
    probability: float
    is_by_cost: bool
    outcome: Outcome
    detail: str
    candidates: tuple[Candidate, ...]
    omitted: int = 0
    failure: failures.Failure | None = None
    share: share_gates.Preview | None = None
    wait: Wait | None = None
    copies: Copies | None = None


@attrs.frozen
class Answer:
    """What would become of a request at this VM now.

    :param configuration: version of the active configuration, if any
    :param failure: why the request would be refused before an endpoint is
        looked for, if it would
    :param workspace: name of the workspace that the key belongs to, if any
    :param priority: priority of the request, `None` if it has no route
    :param is_isolated: whether this VM reaches neither the store nor another
        VM
    """

    vm: str
    zone: str
    configuration: int | None
    is_isolated: bool
    failure: failures.Failure | None = None
    route: routes.Route | None = None
    workspace: str | None = None
    priority: int | None = None
    quota: Quota | None = None
    services: tuple[ServiceAnswer, ...] = ()
