"""Blackboard that holds the whole state of an entry VM."""

from __future__ import annotations

from typing import Any

import attrs

from bronzetrack.core import blackboard
from bronzetrack.entry import endpoints as endpoint_tables
from bronzetrack.entry import leases
from bronzetrack.entry import messages
from bronzetrack.entry import notifiers
from bronzetrack.entry import routes
from bronzetrack.entry import settings as entry_settings
from bronzetrack.entry import shutdown
from bronzetrack.entry.admission import state as admission_states
from bronzetrack.entry.admission.shares import state as share_states
from bronzetrack.entry.costs import state as cost_states
from bronzetrack.entry.eras import state as era_states
from bronzetrack.entry.forwarding import budget
from bronzetrack.entry.forwarding import traffic
from bronzetrack.entry.loads import loadstate
from bronzetrack.entry.peering import hubs
from bronzetrack.entry.peering import peers
from bronzetrack.entry.quotas import claims
from bronzetrack.entry.quotas import fleet
from bronzetrack.entry.quotas import participant
from bronzetrack.entry.suspects import losses
from bronzetrack.entry.suspects import suspects as suspect_tables
from bronzetrack.transport import account

MAILBOX_CAPACITY = 4_096


@attrs.define(eq=False)
class Lifecycle:
    """Readiness and shutdown state of this VM.

    :param ready: whether this VM accepts requests
    :param stopping_since: time of the signal to stop, `None` before it
    :param schedule: schedule of the shutdown, `None` before the signal
    :param ended: whether unfinished requests are to be ended now
    """

    ready: bool = False
    stopping_since: float | None = None
    schedule: shutdown.Schedule | None = None
    ended: bool = False


@attrs.define(eq=False)
class Rules:
    """Active configuration and the published adapter versions.

    :param configuration: active configuration, `None` until one is read
    :param versions: oldest usable version by model and adapter
    """

    configuration: routes.Configuration | None = None
    versions: dict[tuple[str, str], int] = attrs.field(factory=dict)

    def find_service(self, name: str) -> routes.Service | None:
        """Return a service of the active configuration, if it has it."""
        configuration = self.configuration
        return configuration.services.get(name) if configuration else None


@attrs.define(eq=False)
class Membership:
    """The other VMs and what they report.

    :param active: requests in progress of all other VMs, by endpoint
    :param work_ms: work of these requests by endpoint, in ms of the endpoint
    :param newest_totals: requests in progress of all VMs by endpoint, as one
        hub reported them last
    :param newest_totals_at: when it did
    :param lease_report: most recent report of the lease
    :param holder_address: name of a holder of the lease and the address for
        its datagrams
    :param is_hub: whether other VMs send their heartbeats to this VM
    :param hub_heard_at: when the last digest of a hub arrived
    :param members_heard_at: when a hub last told which VMs it hears
    :param operator_view_at: when a hub last read the operator topic
    :param endpoint_view_at: when a hub last read the entries of endpoints
    :param operator_offset: position up to which hubs have read the operator
        topic
    :param endpoint_offset: position after the last record by which an endpoint
        came, left or changed its state, as hubs report it
    """

    peer_table: peers.PeerTable = attrs.field(factory=peers.PeerTable)
    active: dict[str, int] = attrs.field(factory=dict)
    work_ms: dict[str, float] = attrs.field(factory=dict)
    newest_totals: dict[str, int] = attrs.field(factory=dict)
    newest_totals_at: float = float("-inf")
    lease_report: leases.LeaseReport = leases.LeaseReport()
    holder_address: tuple[str, tuple[str, int]] = ("", ("", 0))
    is_hub: bool = False
    hub_heard_at: float = float("-inf")
    members_heard_at: float = float("-inf")
    operator_view_at: float = float("-inf")
    endpoint_view_at: float = float("-inf")
    operator_offset: int = 0
    endpoint_offset: int = 0

    @property
    def operator_news_until(self) -> float:
        """Until when hubs tell this VM of changes of the operator topic."""
        return self._limit_news(self.operator_view_at)

    @property
    def endpoint_news_until(self) -> float:
        """Until when hubs tell this VM of changes of endpoints' entries."""
        return self._limit_news(self.endpoint_view_at)

    def _limit_news(self, view_at: float) -> float:
        """Return until when this VM need not read a topic by itself.

        Hubs read the store at short intervals, and the other VMs need not,
        as long as a hub is heard and reaches the store.

        :param view_at: when a hub last read the topic
        """
        if self.is_hub:
            return float("-inf")
        return min(
            self.hub_heard_at + hubs.HUB_SILENCE_S, view_at + hubs.VIEW_TTL_S
        )


@attrs.define(eq=False)
class Budgets:
    """Retry budgets by service."""

    by_service: dict[str, budget.RetryBudget] = attrs.field(factory=dict)


@attrs.define(eq=False)
class Blackboard:
    """Sections with one writer each, and mailboxes with one reader each.

    :param incarnation: random identifier of this run of the process
    :param store_read_at: time as of which the entries of endpoints were last
        read from the store
    :param operator_read_at: time as of which the operator topic was last read
    :param operator_offset: position of the next record of the operator topic
    :param store_era: era of the store, which rises when it is restored from
        an older copy
    :param uses_notifier: source of changes to the adapters in use at this VM
    :param refused_tokens: fencing tokens that an engine refused as too old
    :param account: memory that callers of all listeners occupy
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
    endpoints: blackboard.Section[endpoint_tables.EndpointTable] = attrs.field(
        factory=lambda: blackboard.Section(
            "endpoints", "discovery", endpoint_tables.EndpointTable()
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
        factory=lambda: blackboard.Section("contact", "discovery", 0.0)
    )
    operator_read_at: blackboard.Section[float] = attrs.field(
        factory=lambda: blackboard.Section(
            "operator_contact", "configuration", float("-inf")
        )
    )
    operator_offset: blackboard.Section[int] = attrs.field(
        factory=lambda: blackboard.Section("operator", "configuration", 0)
    )
    store_era: blackboard.Section[era_states.StoreEra] = attrs.field(
        factory=lambda: blackboard.Section(
            "store_era", "store", era_states.StoreEra()
        )
    )
    lease: blackboard.Section[leases.Lease] = attrs.field(init=False)
    account: account.Account = attrs.field(init=False)
    suspects: blackboard.Section[suspect_tables.Suspects] = attrs.field(
        factory=lambda: blackboard.Section(
            "suspects", "crashes", suspect_tables.Suspects()
        )
    )
    answers: blackboard.Section[suspect_tables.Answers] = attrs.field(
        factory=lambda: blackboard.Section(
            "answers", "forwarding", suspect_tables.Answers()
        )
    )
    costs: blackboard.Section[cost_states.CostState] = attrs.field(
        factory=lambda: blackboard.Section(
            "costs", "forwarding", cost_states.CostState()
        )
    )
    admission: blackboard.Section[admission_states.AdmissionState] = (
        attrs.field(
            factory=lambda: blackboard.Section(
                "admission", "forwarding", admission_states.AdmissionState()
            )
        )
    )
    admission_shares: blackboard.Section[share_states.ShareState] = (
        attrs.field(
            factory=lambda: blackboard.Section(
                "admission_shares", "forwarding", share_states.ShareState()
            )
        )
    )
    lost_requests: blackboard.Mailbox[suspect_tables.LostRequest] = (
        attrs.field(
            factory=lambda: blackboard.Mailbox("lost", MAILBOX_CAPACITY)
        )
    )
    endpoint_starts: blackboard.Mailbox[losses.EndpointStart] = attrs.field(
        factory=lambda: blackboard.Mailbox("starts", MAILBOX_CAPACITY)
    )
    crash_messages: blackboard.Mailbox[
        messages.CrashReport | messages.SuspectReport | messages.KeysCleared
    ] = attrs.field(
        factory=lambda: blackboard.Mailbox("crashes", MAILBOX_CAPACITY)
    )
    quotas: blackboard.Section[participant.Participant] = attrs.field(
        init=False
    )
    quota_claims: blackboard.Mailbox[claims.Claim] = attrs.field(init=False)
    released_claims: blackboard.Mailbox[claims.Claim] = attrs.field(init=False)
    credit_messages: blackboard.Mailbox[messages.Received] = attrs.field(
        factory=lambda: blackboard.Mailbox("credit", MAILBOX_CAPACITY)
    )
    refused_tokens: blackboard.Mailbox[int] = attrs.field(
        factory=lambda: blackboard.Mailbox("fenced", MAILBOX_CAPACITY)
    )
    holder_notifiers: notifiers.HolderNotifiers = attrs.field(
        factory=notifiers.HolderNotifiers
    )
    uses_notifier: notifiers.Notifier = attrs.field(factory=notifiers.Notifier)
    placed: blackboard.Mailbox[messages.HoldingChange] = attrs.field(
        factory=lambda: blackboard.Mailbox("placed", MAILBOX_CAPACITY)
    )
    leaving: blackboard.Mailbox[
        endpoint_tables.LeavingNotice | endpoint_tables.RemovalNotice
    ] = attrs.field(
        factory=lambda: blackboard.Mailbox("leaving", MAILBOX_CAPACITY)
    )
    load_requests: blackboard.Mailbox[messages.LoadRequest] = attrs.field(
        factory=lambda: blackboard.Mailbox("wanted", MAILBOX_CAPACITY)
    )
    outgoing: blackboard.Mailbox[Any] = attrs.field(
        factory=lambda: blackboard.Mailbox("outgoing", MAILBOX_CAPACITY)
    )

    def __attrs_post_init__(self) -> None:
        """Create what depends on the settings."""
        self.account = account.Account(self.settings.machine.account_bytes)
        self.lease = blackboard.Section(
            "lease", "leadership", leases.Lease(ttl_s=self.settings.lease_s)
        )
        # The requests of all connections may begin or end at the same time. A
        # claim that is not given back is lost to its workspace.
        capacity = max(
            MAILBOX_CAPACITY, self.settings.machine.caller_connections
        )
        self.quota_claims = blackboard.Mailbox("claims", capacity)
        self.released_claims = blackboard.Mailbox("released", capacity)
        vms = fleet.Fleet(self.settings.vm, self.membership.value.peer_table)
        self.quotas = blackboard.Section(
            "quotas", "quotas", participant.Participant(vms)
        )
