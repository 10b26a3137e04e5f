"""Blackboard that holds the whole state of an entry VM."""

from __future__ import annotations

from typing import Any

import attrs

from bronzetrack.core import blackboard
from bronzetrack.entry import budget
from bronzetrack.entry import endpoints
from bronzetrack.entry import leases
from bronzetrack.entry import loadstate
from bronzetrack.entry import messages
from bronzetrack.entry import notifiers
from bronzetrack.entry import peers
from bronzetrack.entry import routes
from bronzetrack.entry import settings as entry_settings
from bronzetrack.entry import suspects
from bronzetrack.entry import traffic

MAILBOX_CAPACITY = 4_096


@attrs.define(eq=False)
class Lifecycle:
    """Readiness and shutdown state of this VM.

    :param ready: whether this VM accepts requests
    :param stopping_since: time of the signal to stop, `None` before it
    """

    ready: bool = False
    stopping_since: float | None = None


@attrs.define(eq=False)
class Rules:
    """Active configuration and the published adapter versions.

    :param configuration: active configuration, `None` until one is read
    :param versions: oldest usable version by model and adapter
    """

    configuration: routes.Configuration | None = None
    versions: dict[tuple[str, str], int] = attrs.field(factory=dict)


@attrs.define(eq=False)
class Membership:
    """The other VMs and the total of their requests in progress.

    :param active: requests in progress of all other VMs, by endpoint
    """

    peer_table: peers.PeerTable = attrs.field(factory=peers.PeerTable)
    active: dict[str, int] = attrs.field(factory=dict)


@attrs.define(eq=False)
class Budgets:
    """Retry budgets by service."""

    by_service: dict[str, budget.RetryBudget] = attrs.field(factory=dict)


@attrs.define(eq=False)
class Blackboard:
    """Sections with one writer each, and mailboxes with one reader each.

    :param incarnation: random identifier of this run of the process
    :param store_read_at: time of the last successful read of the store
    :param refused_tokens: fencing tokens that an engine refused as too old
    """

    settings: entry_settings.Settings
    incarnation: str
    lifecycle: blackboard.Section[Lifecycle] = attrs.field(
        factory=lambda: blackboard.Section(
            "lifecycle", "lifecycle", Lifecycle()
        )
    )
    rules: blackboard.Section[Rules] = attrs.field(
        factory=lambda: blackboard.Section("rules", "configuration", Rules())
    )
    endpoints: blackboard.Section[endpoints.EndpointTable] = attrs.field(
        factory=lambda: blackboard.Section(
            "endpoints", "discovery", endpoints.EndpointTable()
        )
    )
    traffic: blackboard.Section[traffic.TrafficTable] = attrs.field(
        factory=lambda: blackboard.Section(
            "traffic", "forwarding", traffic.TrafficTable()
        )
    )
    budgets: blackboard.Section[Budgets] = attrs.field(
        factory=lambda: blackboard.Section("budgets", "forwarding", Budgets())
    )
    membership: blackboard.Section[Membership] = attrs.field(
        factory=lambda: blackboard.Section(
            "membership", "membership", Membership()
        )
    )
    loading: blackboard.Section[loadstate.LoadingState] = attrs.field(
        factory=lambda: blackboard.Section(
            "loading", "loading", loadstate.LoadingState()
        )
    )
    store_read_at: blackboard.Section[float] = attrs.field(
        factory=lambda: blackboard.Section("contact", "configuration", 0.0)
    )
    lease: blackboard.Section[leases.Lease] = attrs.field(init=False)
    suspects: blackboard.Section[suspects.Suspects] = attrs.field(
        factory=lambda: blackboard.Section(
            "suspects", "forwarding", suspects.Suspects()
        )
    )
    losses: blackboard.Mailbox[messages.ConnectionLoss] = attrs.field(
        factory=lambda: blackboard.Mailbox("losses", MAILBOX_CAPACITY)
    )
    refused_tokens: blackboard.Mailbox[int] = attrs.field(
        factory=lambda: blackboard.Mailbox("fenced", MAILBOX_CAPACITY)
    )
    holder_notifiers: notifiers.HolderNotifiers = attrs.field(
        factory=notifiers.HolderNotifiers
    )
    placed: blackboard.Mailbox[messages.HoldingChange] = attrs.field(
        factory=lambda: blackboard.Mailbox("placed", MAILBOX_CAPACITY)
    )
    load_requests: blackboard.Mailbox[messages.LoadRequest] = attrs.field(
        factory=lambda: blackboard.Mailbox("wanted", MAILBOX_CAPACITY)
    )
    outgoing: blackboard.Mailbox[Any] = attrs.field(
        factory=lambda: blackboard.Mailbox("outgoing", MAILBOX_CAPACITY)
    )

    def __attrs_post_init__(self) -> None:
        """Create the section whose initial value depends on the settings."""
        self.lease = blackboard.Section(
            "lease", "leadership", leases.Lease(ttl_s=self.settings.lease_s)
        )
