"""Leases, owners, and what they allow.

Times are monotonic times of this VM. A time is never compared with one of
another VM, and no record holds a time.
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
# A VM that was paused has to judge its standing anew; it does so four times a
# second. A successor may claim only after the margin.
STANDING_LIFE_MS = 1_000
# VMs that renewed within this time before the log was lost may have a lease
# again. One that was replaced meanwhile counts as silent for as long.
KNOWN_MS = 600_000
# After this time without a record no holder has a lease or an order on its
# way.
QUIET_MS = LEASE_MS + CLOCK_MARGIN_MS + ORDER_LIFE_MS
NO_SEQUENCE = -1


@attrs.frozen
class Lease:
    """The newest renewal of an incarnation.

    :param read_ms: monotonic time at which this VM read the renewal
    """

    vm: str
    sequence: int
    read_ms: int


@attrs.frozen
class Ownership:
    """Who owns an endpoint.

    :param fencing: offset of the claim
    :param claimed_ms: monotonic time at which this VM read the claim
    """

    vm: str
    incarnation: str
    fencing: int
    claimed_ms: int


class Standing(enum.Enum):
    """Whether a VM without the log and without a lease has a successor.

    SOLE has none: the lease holds, or no VM can have claimed. DOUBTFUL may
    have one, as far as too few VMs say otherwise. SUPERSEDED may have one,
    since a VM said that it could claim.
    """

    SOLE = "sole"
    DOUBTFUL = "doubtful"
    SUPERSEDED = "superseded"


@attrs.frozen
class OwnershipState:
    """The section of the ownership controller.

    :param next_offset: the log position that is read next
    :param leases: newest lease by incarnation
    :param renewed_ms: monotonic time at which a lease was last read, by VM;
        unlike the leases not dropped for VMs without endpoints
    :param owners: owner by endpoint
    :param complete: whether the replay lacks no record that counts
    :param caught_up: whether it is complete and has read to the end
    :param log_reachable: whether the last read of the stream succeeded
    :param changed_offset: position after the last record that was no lease
    :param retained: the retained range and the newest holding record
    :param read_ms: monotonic time at which the last record was read
    :param sent: monotonic time before the append of each lease of this VM
        that was not read back yet, by sequence
    :param held_until_ms: monotonic time until which this VM holds its lease
    :param held_since_ms: monotonic time since when it has held a lease
        without a break
    :param standing: whether others may have taken over what this VM owns
    :param judged_ms: monotonic time at which the standing was judged; not
        kept up while the log is reachable
    :param draining: own endpoints that get no new work, to be handed over
    :param given_up: endpoints that this VM decided to release; it stops to
        act as their owner before it sends the record
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
    """Return the newest lease sequence of an incarnation."""
    lease = state.leases.get(incarnation)
    return NO_SEQUENCE if lease is None else lease.sequence


def is_lapsed(state: OwnershipState, endpoint: str, now_ms: int) -> bool:
    """Return whether a follower may state the lease of a holder as lapsed.

    A holder without a known lease gets the time of one from its claim on.
    """
    owner = state.owners[endpoint]
    lease = state.leases.get(owner.incarnation)
    read_ms = owner.claimed_ms if lease is None else lease.read_ms
    return now_ms - read_ms > LEASE_MS + CLOCK_MARGIN_MS


def lacks_lease(state: OwnershipState, incarnation: str, now_ms: int) -> bool:
    """Return whether a VM has no lease although the log takes renewals.

    After an outage all leases have lapsed, and the VM that renews first would
    take the endpoints of those that are about to.
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
    """Return the endpoints that an incarnation owns and has not given up.

    Only the own incarnation has endpoints that are given up.
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

    An order has to end within the lease. An endpoint that ignores fencing
    numbers may still receive an order of the predecessor for the life of an
    order after the claim.
    """
    owner = state.owners.get(endpoint)
    if owner is None or owner.incarnation != incarnation:
        return False
    if endpoint in state.given_up:
        return False
    if checks_fencing:
        return True
    settled_ms = owner.claimed_ms + ORDER_LIFE_MS
    return settled_ms <= now_ms <= state.held_until_ms - ORDER_LIFE_MS


def may_dispatch(state: OwnershipState, now_ms: int) -> bool:
    """Return whether this VM may start idempotent work on what it owns.

    A holder that was paused may not, until it has read whether there is a
    successor, which may evict what the work needs. In an outage of the log
    there can be no successor; a holder that alone is cut off from the log may
    have one.
    """
    if now_ms < state.held_until_ms:
        return True
    if state.log_reachable or state.standing is not Standing.SOLE:
        return False
    return now_ms - state.judged_ms <= STANDING_LIFE_MS


def may_dispatch_once(
    state: OwnershipState, endpoint: str, incarnation: str, now_ms: int
) -> bool:
    """Return whether this VM may dispatch work that must not be repeated."""
    owner = state.owners.get(endpoint)
    if owner is None or owner.incarnation != incarnation:
        return False
    return endpoint not in state.given_up and now_ms < state.held_until_ms
