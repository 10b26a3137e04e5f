"""Leases and owners of endpoints, and the actions that they permit.

All times are monotonic times of this VM. They are never compared with times
of another VM, and log records contain no times.
"""

from __future__ import annotations

from collections.abc import Mapping
import enum

import attrs

from bronzetrack.core import retention

LEASE_MS = 10_000
RENEWAL_INTERVAL_MS = 3_000
CLOCK_MARGIN_MS = 1_000
ORDER_LIFE_MS = 5_000
# A VM that was paused has to evaluate its standing again before it dispatches.
# Evaluation runs four times a second. A successor may claim only after the
# clock margin.
STANDING_VALIDITY_MS = 1_000
# VMs that renewed within this time before the log became unreachable may hold
# a lease again. A VM that was replaced meanwhile counts as silent for the same
# time.
RECENT_RENEWAL_MS = 600_000
# After this time without a record in the stream, no holder has a lease or an
# order in flight.
QUIET_PERIOD_MS = LEASE_MS + CLOCK_MARGIN_MS + ORDER_LIFE_MS
NO_SEQUENCE = -1


@attrs.frozen
class Lease:
    """The most recent lease renewal of an incarnation.

    :param vm: name of the VM that renewed the lease
    :param sequence: sequence number of the renewal
    :param read_ms: monotonic time at which this VM read the renewal
    """

    vm: str
    sequence: int
    read_ms: int


@attrs.frozen
class Ownership:
    """The owner of an endpoint.

    :param vm: name of the owning VM
    :param incarnation: incarnation of the daemon that made the claim
    :param fencing: fencing token, which is the log offset of the claim
    :param claimed_ms: monotonic time at which this VM read the claim
    """

    vm: str
    incarnation: str
    fencing: int
    claimed_ms: int


class Standing(enum.Enum):
    """Whether a VM without access to the log may have a successor.

    SOLE: there is no successor, since the lease is still valid or no VM can
    have claimed. DOUBTFUL: there may be a successor, since too few VMs
    reported that they cannot claim. SUPERSEDED: there may be a successor,
    since a VM reported that it can claim or that it owns one of the endpoints.
    """

    SOLE = "sole"
    DOUBTFUL = "doubtful"
    SUPERSEDED = "superseded"


@attrs.frozen
class OwnershipState:
    """The section of the ownership controller.

    :param next_offset: offset at which the next read of the stream starts
    :param leases: most recent lease by incarnation
    :param renewed_ms: monotonic time at which a lease was last read, by VM;
        unlike `leases`, entries of VMs without endpoints are kept
    :param owners: owner by endpoint
    :param complete: whether the replay has every record that affects the
        owners
    :param caught_up: whether the replay is complete and has reached the end
        of the stream
    :param log_reachable: whether the last read of the stream succeeded
    :param changed_offset: offset after the last record that can change the
        owners; leases and holding records do not count
    :param retained: the retained range and the most recent holding record
    :param read_ms: monotonic time at which the last record was read
    :param sent: monotonic time just before the append of each recent lease
        renewal of this VM, by sequence number
    :param held_until_ms: monotonic time until which this VM holds its lease
    :param held_since_ms: monotonic time since which this VM has held a lease
        without interruption
    :param standing: whether other VMs may have taken over endpoints of this VM
    :param judged_ms: monotonic time at which the standing was last evaluated;
        not updated while the log is reachable
    :param draining: own endpoints that get no new work because they are about
        to be handed over
    :param given_up: endpoints that this VM decided to release; it stops acting
        as their owner before it appends the release record
    """

    next_offset: int = 0
    leases: Mapping[str, Lease] = attrs.field(factory=dict)
    renewed_ms: Mapping[str, int] = attrs.field(factory=dict)
    owners: Mapping[str, Ownership] = attrs.field(factory=dict)
    complete: bool = True
    caught_up: bool = False
    log_reachable: bool = False
    changed_offset: int = 0
    retained: retention.Retained = attrs.field(factory=retention.Retained)
    read_ms: int = 0
    sent: Mapping[int, int] = attrs.field(factory=dict)
    held_until_ms: int = 0
    held_since_ms: int = 0
    standing: Standing = Standing.SOLE
    judged_ms: int = 0
    draining: frozenset[str] = frozenset()
    given_up: frozenset[str] = frozenset()


def get_sequence(state: OwnershipState, incarnation: str) -> int:
    """Return the most recent lease sequence number of an incarnation.

    :returns: `NO_SEQUENCE` if no lease of the incarnation is known
    """
    lease = state.leases.get(incarnation)
    return NO_SEQUENCE if lease is None else lease.sequence


def is_lapsed(state: OwnershipState, endpoint: str, now_ms: int) -> bool:
    """Return whether a follower may declare the lease of an owner lapsed.

    For an owner without a known lease, the lease time counts from the moment
    at which the claim was read.
    """
    owner = state.owners[endpoint]
    lease = state.leases.get(owner.incarnation)
    read_ms = owner.claimed_ms if lease is None else lease.read_ms
    return now_ms - read_ms > LEASE_MS + CLOCK_MARGIN_MS


def lacks_lease(state: OwnershipState, incarnation: str, now_ms: int) -> bool:
    """Return whether an incarnation lacks a lease while the log is available.

    This VM has to have held its own lease for the length of a lease first:
    after an outage of the log all leases have lapsed, and the VM that renews
    first would otherwise take over the endpoints of VMs that are about to
    renew.
    """
    if now_ms - state.held_since_ms < LEASE_MS:
        return False
    lease = state.leases.get(incarnation)
    if lease is None:
        return True
    return now_ms - lease.read_ms > LEASE_MS + CLOCK_MARGIN_MS


def may_claim(state: OwnershipState, now_ms: int) -> bool:
    """Return whether this VM could claim endpoints now."""
    return state.log_reachable and now_ms < state.held_until_ms


def list_owned(state: OwnershipState, incarnation: str) -> list[str]:
    """Return the sorted endpoints that an incarnation owns.

    Endpoints that are given up are left out. Only this VM's own incarnation
    has such endpoints.
    """
    return sorted(
        endpoint
        for endpoint, owner in state.owners.items()
        if owner.incarnation == incarnation and endpoint not in state.given_up
    )


def may_order(
    state: OwnershipState,
    endpoint: str,
    incarnation: str,
    checks_fencing: bool,
    now_ms: int,
) -> bool:
    """Return whether this VM may send an exclusive order to an endpoint.

    An owner may always send orders to an endpoint that checks fencing tokens.
    For an endpoint that ignores them, an order has to end within the lease.
    Such an endpoint may still receive orders from the previous owner until
    `ORDER_LIFE_MS` after the claim, so the new owner sends none before then.

    :param checks_fencing: whether the endpoint rejects old fencing tokens
    """
    owner = state.owners.get(endpoint)
    if owner is None or owner.incarnation != incarnation:
        return False
    if endpoint in state.given_up:
        return False
    if checks_fencing:
        return True
    safe_from_ms = owner.claimed_ms + ORDER_LIFE_MS
    return safe_from_ms <= now_ms <= state.held_until_ms - ORDER_LIFE_MS


def may_dispatch(state: OwnershipState, now_ms: int) -> bool:
    """Return whether this VM may start idempotent work on its endpoints.

    After a pause, a holder may not dispatch until it has read the log and
    knows whether there is a successor, since a successor may evict adapters
    that the work needs. During an outage of the log there can be no
    successor. A holder that is the only one cut off from the log may have
    one.
    """
    if now_ms < state.held_until_ms:
        return True
    if state.log_reachable or state.standing is not Standing.SOLE:
        return False
    return now_ms - state.judged_ms <= STANDING_VALIDITY_MS


def may_dispatch_once(
    state: OwnershipState, endpoint: str, incarnation: str, now_ms: int
) -> bool:
    """Return whether this VM may dispatch work that must not be repeated."""
    owner = state.owners.get(endpoint)
    if owner is None or owner.incarnation != incarnation:
        return False
    return endpoint not in state.given_up and now_ms < state.held_until_ms
