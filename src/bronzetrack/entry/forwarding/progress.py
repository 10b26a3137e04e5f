"""Progress of a request on this VM."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from bronzetrack.entry.forwarding import events
from bronzetrack.entry.peering import views

if TYPE_CHECKING:
    from bronzetrack.entry.admission import state as admission_states
    from bronzetrack.entry.costs import choice as choices
    from bronzetrack.entry.quotas import claims
    from bronzetrack.transport import connections


@attrs.define(eq=False)
class Progress:
    """Attempts made for a request and their results so far.

    :param service: service that the request is routed to
    :param tried: ids of the endpoints that were tried
    :param sends: number of times that the request was sent
    :param possible_runs: number of sends after which an endpoint may have run
        the request
    :param status: status of the endpoint's last answer, 0 without one
    :param endpoint: id of the endpoint that the request was last sent to
    :param buffer: buffer of incomplete events where the stream may be resumed
    :param waited_s: seconds from the arrival to the last send
    :param view: what was known of the endpoints at the last send
    :param first_byte_s: seconds from the arrival to the answer's first byte
    :param load_requested_at: when a load was last requested for the request
    :param failover_until: until when the request waits for an engine at which
        it was not interrupted
    :param used_connections: connections that the request was sent on
    :param missing: id of the endpoint that lacked the model or adapter
    :param unreachable: id of the endpoint that accepted no connection
    :param claim: claim on the quota of the request's workspace
    :param choice: last choice of an endpoint if it was made by cost
    :param waiter: the request among those that want an engine
    :param is_retry_due: whether the next send counts against the retry budget
        and is not yet deducted from it
    """

    service: str
    tried: set[str] = attrs.field(factory=set)
    sends: int = 0
    possible_runs: int = 0
    outcome: str = ""
    status: int = 0
    endpoint: str = ""
    buffer: events.EventBuffer | None = None
    waited_s: float | None = None
    view: views.View | None = None
    first_byte_s: float | None = None
    load_requested_at: float = 0.0
    failover_until: float = 0.0
    used_connections: list[connections.Connection] = attrs.field(factory=list)
    missing: str = ""
    unreachable: str = ""
    claim: claims.Claim | None = None
    choice: choices.Choice | None = None
    waiter: admission_states.Waiter | None = None
    is_retry_due: bool = False

    @property
    def may_resume(self) -> bool:
        """Whether another endpoint can go on with an answer that began."""
        return self.buffer is not None and self.buffer.is_position_known
