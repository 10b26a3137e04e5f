"""What this VM knows of the others, and decisions about it."""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Mapping

import attrs

from bronzetrack.membership import changes as heartbeat_changes
from bronzetrack.membership import messages

HEARTBEAT_INTERVAL_MS = 1_000
SUSPECT_AFTER_MS = 3_000
GONE_AFTER_MS = 10_000
# A VM that has just joined gets endpoints of others only after this time, so
# that one that starts and fails again moves nothing.
SETTLED_AFTER_MS = 3_000


@attrs.frozen
class VmState:
    """The last that was heard of a VM.

    :param heard_ms: monotonic time of the last message
    :param serving_ms: monotonic time since when it says that it serves
    :param connected: whether a session towards it is open
    :param number: of the heartbeat that the fields are from
    :param reads_changes: whether it reads heartbeats as changes
    :param may_claim: whether it could claim endpoints, None before its first
        heartbeat
    :param listed_leaving: VMs and endpoints that its list calls leaving
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
    :param own_listed: VMs and endpoints that the list of this VM calls leaving
    :param listed_leaving: those and the ones that lists of other VMs do, since
        the lists lag and may disagree
    """

    vms: Mapping[str, VmState] = attrs.field(factory=dict)
    own_listed: frozenset[str] = frozenset()
    listed_leaving: frozenset[str] = frozenset()


def record_list(
    view: MembershipView, leaving: frozenset[str]
) -> MembershipView:
    """Return the view after this VM read its list."""
    if leaving == view.own_listed:
        return view
    return _merge_lists(attrs.evolve(view, own_listed=leaving))


def _merge_lists(view: MembershipView) -> MembershipView:
    others = (state.listed_leaving for state in view.vms.values())
    return attrs.evolve(view, listed_leaving=view.own_listed.union(*others))


def record_hello(
    view: MembershipView, hello: messages.Hello, now_ms: int
) -> MembershipView:
    """Return the view after a session was opened."""
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
    return _merge_lists(view)


def record_heartbeat(
    view: MembershipView, heartbeat: messages.Heartbeat, now_ms: int
) -> MembershipView:
    """Return the view after a heartbeat; a late one is void.

    It is late if it is of an old incarnation, or came on an old session after
    a newer one.
    """
    known = view.vms.get(heartbeat.vm)
    if known is None or known.incarnation != heartbeat.incarnation:
        return view
    if 0 < heartbeat.number <= known.number:
        return view
    still = known.status is heartbeat.status
    state = attrs.evolve(
        known,
        status=heartbeat.status,
        heard_ms=now_ms,
        serving_ms=known.serving_ms if still else now_ms,
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
    return _merge_lists(view)


def lacks_base(
    view: MembershipView, changes: messages.HeartbeatChanges
) -> bool:
    """Return whether a whole heartbeat is needed to make use of changes."""
    known = view.vms.get(changes.vm)
    return (
        known is not None
        and known.incarnation == changes.incarnation
        and (not known.number or known.number < changes.number - 1)
    )


def record_changes(
    view: MembershipView, changes: messages.HeartbeatChanges, now_ms: int
) -> MembershipView:
    """Return the view after changes; those to another base are void.

    They do not count as heard either, since the age of figures is counted
    from there.
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
    """Return the view after the session towards a VM opened or ended."""
    known = view.vms.get(vm)
    if known is None or known.incarnation != incarnation:
        return view
    state = attrs.evolve(known, connected=connected)
    return attrs.evolve(view, vms={**view.vms, vm: state})


def expire_vms(view: MembershipView, now_ms: int) -> MembershipView:
    """Return the view without VMs that were not heard for too long."""
    kept = {
        name: state
        for name, state in view.vms.items()
        if now_ms - state.heard_ms < GONE_AFTER_MS
    }
    if len(kept) == len(view.vms):
        return view
    return _merge_lists(attrs.evolve(view, vms=kept))


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
    """Return by VM that was heard recently whether it may be a successor.

    :param owned: the endpoints of this VM, as far as it has read
    """
    return {
        name: state.may_claim or not state.endpoints.keys().isdisjoint(owned)
        for name, state in view.vms.items()
        if state.may_claim is not None
        and now_ms - state.heard_ms < SUSPECT_AFTER_MS
    }


def list_serving(view: MembershipView, now_ms: int) -> list[VmState]:
    """Return the VMs that serve and are not leaving, in order of name."""
    return [
        state
        for _, state in sorted(view.vms.items())
        if is_reachable(state, now_ms)
        and state.status is messages.VmStatus.SERVING
        and state.vm not in view.listed_leaving
    ]
