"""Heartbeats sent as differences from the previous one, to save bytes.

The sequence number ties changes to their base: changes with number n turn
heartbeat n - 1 into heartbeat n, regardless of the session that carried either
of them. A receiver that does not hold heartbeat n - 1 keeps its view unchanged
and requests a whole heartbeat.
"""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Mapping

import attrs

from bronzetrack.membership import messages

DEFAULT_SUMMARY = messages.EndpointSummary()
SUMMARY_FIELDS = tuple(
    field.name for field in attrs.fields(messages.EndpointSummary)
)


@attrs.frozen
class HeartbeatPlan:
    """The peers that get a heartbeat in whole or as changes.

    :param whole: peers that get the whole heartbeat
    :param as_changes: peers that get the changes
    :param changes: the changes to send, None if `as_changes` is empty
    """

    whole: frozenset[str]
    as_changes: frozenset[str]
    changes: messages.HeartbeatChanges | None


def plan_heartbeat(
    before: messages.Heartbeat | None,
    after: messages.Heartbeat,
    last_queued: Mapping[str, int],
    peers: Collection[str],
    changes_peers: Collection[str],
) -> HeartbeatPlan:
    """Return which form of a heartbeat to send to each peer.

    :param before: the heartbeat with the previous number, None for the first
    :param after: the heartbeat to send
    :param last_queued: number of the last heartbeat that was queued on the
        current session, by peer
    :param peers: the peers with a session
    :param changes_peers: the peers whose version reads `HeartbeatChanges`
    """
    as_changes = frozenset(
        peer
        for peer in peers
        if before is not None
        and peer in changes_peers
        and last_queued.get(peer) == before.number
    )
    changes = None
    if before is not None and as_changes:
        changes = find_changes(before, after)
    return HeartbeatPlan(frozenset(peers) - as_changes, as_changes, changes)


def find_changes(
    before: messages.Heartbeat, after: messages.Heartbeat
) -> messages.HeartbeatChanges:
    """Return the changes that turn a heartbeat into the next one."""
    changed = {
        name: _find_change(before.endpoints.get(name), summary)
        for name, summary in after.endpoints.items()
        if before.endpoints.get(name) != summary
    }
    return messages.HeartbeatChanges(
        vm=after.vm,
        incarnation=after.incarnation,
        status=after.status,
        configuration_offset=after.configuration_offset,
        number=after.number,
        may_claim=after.may_claim,
        endpoints=changed,
        removed=tuple(sorted(before.endpoints.keys() - after.endpoints)),
        usage=None if before.usage == after.usage else after.usage,
        listed_leaving=(
            None
            if before.listed_leaving == after.listed_leaving
            else after.listed_leaving
        ),
    )


def _find_change(
    before: messages.EndpointSummary | None, after: messages.EndpointSummary
) -> messages.EndpointChange:
    previous = _list_fields(before or DEFAULT_SUMMARY)
    fields = _list_fields(after)
    return messages.EndpointChange(
        **{
            name: value
            for name, value in fields.items()
            if previous[name] != value
        }
    )


def apply_changes(
    endpoints: Mapping[str, messages.EndpointSummary],
    changes: messages.HeartbeatChanges,
) -> dict[str, messages.EndpointSummary]:
    """Return the summaries that result from applying changes.

    :param endpoints: summaries of the heartbeat with the previous number
    """
    kept = {
        name: summary
        for name, summary in endpoints.items()
        if name not in changes.removed
    }
    changed = {
        name: _apply_change(kept.get(name, DEFAULT_SUMMARY), change)
        for name, change in changes.endpoints.items()
    }
    return {**kept, **changed}


def _apply_change(
    summary: messages.EndpointSummary, change: messages.EndpointChange
) -> messages.EndpointSummary:
    fields = _list_fields(change)
    return attrs.evolve(
        summary,
        **{name: value for name, value in fields.items() if value is not None},
    )


def _list_fields(
    item: messages.EndpointSummary | messages.EndpointChange,
) -> dict[str, object]:
    return {name: getattr(item, name) for name in SUMMARY_FIELDS}
