"""View of the other VMs, and decisions based on the view."""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Mapping

import attrs

from bronzetrack.membership import changes as heartbeat_changes
from bronzetrack.membership import messages

HEARTBEAT_INTERVAL_MS = 1_000
SUSPECT_AFTER_MS = 3_000
EXPIRE_AFTER_MS = 10_000
# A VM that has just joined takes over endpoints of other VMs only after this
# time, so that a VM that fails right after its start causes no handovers.
JOIN_DELAY_MS = 3_000


@attrs.frozen
class VmState:
    """The last known state of another VM.

    :param heard_ms: monotonic time at which the last hello or heartbeat was
        received
    :param serving_ms: monotonic time at which the reported status last
        changed; for a VM that serves, the time since which it serves
    :param connected: whether a session to the VM is open
    :param number: number of the last applied heartbeat, 0 before the first
    :param reads_changes: whether the VM can read `HeartbeatChanges`
    :param may_claim: whether the VM could claim endpoints, None before its
        first heartbeat
    :param listed_leaving: VMs and endpoints that are marked as leaving in the
        VM list that the other VM read
    """

    vm: str
    incarnation: str
    availability_zone: str
    peer_address: str
    caller_address: str
    status: messages.VmStatus
    heard_ms: int
    serving_ms: int = 0
    configuration_offset: int = -1
    endpoints: Mapping[str, messages.EndpointSummary] = attrs.field(
        factory=dict
    )
    usage: Mapping[str, float] = attrs.field(factory=dict)
    connected: bool = False
    operator_address: str = ""
    number: int = 0
    reads_changes: bool = False
    may_claim: bool | None = None
    listed_leaving: tuple[str, ...] = ()


@attrs.frozen
class MembershipView:
    """The section of the membership controller.

    :param vms: known VMs by name, without this one
    :param own_listed: VMs and endpoints that are marked as leaving in the VM
        list that this VM read
    :param listed_leaving: union of `own_listed` and the same sets of the other
        VMs, since the lists lag and may disagree
    """

    vms: Mapping[str, VmState] = attrs.field(factory=dict)
    own_listed: frozenset[str] = frozenset()
    listed_leaving: frozenset[str] = frozenset()


def record_vm_list(
    view: MembershipView, leaving: frozenset[str]
) -> MembershipView:
    """Return the view after this VM read the VM list.

    :param leaving: VMs and endpoints that the list marks as leaving
    """
    if leaving == view.own_listed:
        return view
    return _merge_leaving_lists(attrs.evolve(view, own_listed=leaving))


def _merge_leaving_lists(view: MembershipView) -> MembershipView:
    others = (state.listed_leaving for state in view.vms.values())
    return attrs.evolve(view, listed_leaving=view.own_listed.union(*others))


def record_hello(
    view: MembershipView, hello: messages.Hello, now_ms: int
) -> MembershipView:
    """Return the view after the hello message of a peer.

    A new incarnation replaces the state of the previous one.
    """
    known = view.vms.get(hello.vm)
    if known is not None and known.incarnation == hello.incarnation:
        state = attrs.evolve(known, heard_ms=now_ms)
    else:
        state = VmState(
            vm=hello.vm,
            incarnation=hello.incarnation,
            availability_zone=hello.availability_zone,
            peer_address=hello.peer_address,
            caller_address=hello.caller_address,
            status=messages.VmStatus.STARTING,
            heard_ms=now_ms,
            operator_address=hello.operator_address,
            reads_changes=hello.reads_changes,
        )
    view = attrs.evolve(view, vms={**view.vms, hello.vm: state})
    if known is None or not known.listed_leaving:
        return view
    return _merge_leaving_lists(view)


def record_heartbeat(
    view: MembershipView, heartbeat: messages.Heartbeat, now_ms: int
) -> MembershipView:
    """Return the view after a heartbeat. Late heartbeats are ignored.

    A heartbeat is late if it is from an old incarnation, or if it arrived on
    an old session after a newer heartbeat.
    """
    known = view.vms.get(heartbeat.vm)
    if known is None or known.incarnation != heartbeat.incarnation:
        return view
    if 0 < heartbeat.number <= known.number:
        return view
    status_unchanged = known.status is heartbeat.status
    state = attrs.evolve(
        known,
        status=heartbeat.status,
        heard_ms=now_ms,
        serving_ms=known.serving_ms if status_unchanged else now_ms,
        configuration_offset=heartbeat.configuration_offset,
        endpoints=heartbeat.endpoints,
        usage=heartbeat.usage,
        number=heartbeat.number,
        may_claim=heartbeat.may_claim,
        listed_leaving=heartbeat.listed_leaving,
    )
    view = attrs.evolve(view, vms={**view.vms, heartbeat.vm: state})
    if known.listed_leaving == heartbeat.listed_leaving:
        return view
    return _merge_leaving_lists(view)


def needs_whole_heartbeat(
    view: MembershipView, changes: messages.HeartbeatChanges
) -> bool:
    """Return whether a whole heartbeat has to be fetched for changes.

    This is the case if the VM is known, but the heartbeat that the changes are
    based on was not received.
    """
    known = view.vms.get(changes.vm)
    return (
        known is not None
        and known.incarnation == changes.incarnation
        and (not known.number or known.number < changes.number - 1)
    )


def record_changes(
    view: MembershipView, changes: messages.HeartbeatChanges, now_ms: int
) -> MembershipView:
    """Return the view after changes. Changes to another base are ignored.

    Ignored changes don't update `heard_ms` either, since the age of the
    reported figures counts from that time.
    """
    known = view.vms.get(changes.vm)
    if known is None or not known.number:
        return view
    if known.number != changes.number - 1:
        return view
    heartbeat = messages.Heartbeat(
        vm=changes.vm,
        incarnation=changes.incarnation,
        status=changes.status,
        configuration_offset=changes.configuration_offset,
        endpoints=heartbeat_changes.apply_changes(known.endpoints, changes),
        usage=known.usage if changes.usage is None else changes.usage,
        listed_leaving=(
            known.listed_leaving
            if changes.listed_leaving is None
            else changes.listed_leaving
        ),
        number=changes.number,
        may_claim=changes.may_claim,
    )
    return record_heartbeat(view, heartbeat, now_ms)


def record_session(
    view: MembershipView, vm: str, incarnation: str, connected: bool
) -> MembershipView:
    """Return the view after the session to a VM was opened or closed."""
    known = view.vms.get(vm)
    if known is None or known.incarnation != incarnation:
        return view
    state = attrs.evolve(known, connected=connected)
    return attrs.evolve(view, vms={**view.vms, vm: state})


def expire_vms(view: MembershipView, now_ms: int) -> MembershipView:
    """Return the view without VMs that have been silent for too long."""
    kept = {
        name: state
        for name, state in view.vms.items()
        if now_ms - state.heard_ms < EXPIRE_AFTER_MS
    }
    if len(kept) == len(view.vms):
        return view
    return _merge_leaving_lists(attrs.evolve(view, vms=kept))


def is_reachable(state: VmState, now_ms: int) -> bool:
    """Return whether new work may be relayed to a VM."""
    return (
        state.connected
        and state.status is not messages.VmStatus.STARTING
        and now_ms - state.heard_ms < SUSPECT_AFTER_MS
    )


def list_claimants(
    view: MembershipView, owned: Collection[str], now_ms: int
) -> dict[str, bool]:
    """Return whether each VM that was heard recently may be a successor.

    A VM may be a successor if it could claim endpoints or reports an endpoint
    of this VM as its own.

    :param owned: the endpoints of this VM according to the log records that
        it has read
    """
    return {
        name: state.may_claim or not state.endpoints.keys().isdisjoint(owned)
        for name, state in view.vms.items()
        if state.may_claim is not None
        and now_ms - state.heard_ms < SUSPECT_AFTER_MS
    }


def list_serving(view: MembershipView, now_ms: int) -> list[VmState]:
    """Return the reachable VMs that serve and are not leaving, by name."""
    return [
        state
        for _, state in sorted(view.vms.items())
        if is_reachable(state, now_ms)
        and state.status is messages.VmStatus.SERVING
        and state.vm not in view.listed_leaving
    ]
