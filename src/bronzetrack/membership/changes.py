"""Heartbeats as differences, to save bytes.

Numbers tie changes to their base: changes with number n turn the heartbeat
n - 1 into the heartbeat n, whichever session carried the two. A receiver that
does not hold n - 1 leaves its view alone and asks for a whole heartbeat.
"""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Mapping

import attrs

from bronzetrack.membership import messages

DEFAULT_SUMMARY = messages.EndpointSummary()
FIELDS = tuple(field.name for field in attrs.fields(messages.EndpointSummary))


@attrs.frozen
class Beat:
    """Who gets which form of a heartbeat.

    :param changes: None if nobody gets them
    """

    whole: frozenset[str]
    partial: frozenset[str]
    changes: messages.HeartbeatChanges | None


def plan_beat(
    before: messages.Heartbeat | None,
    after: messages.Heartbeat,
    carried: Mapping[str, int],
    peers: Collection[str],
    readers: Collection[str],
) -> Beat:
    """Return what to send to each peer.

    :param before: the heartbeat with the number before, if there was one
    :param carried: number of the last heartbeat that the present session
        took, by peer
    :param peers: the peers with a session
    :param readers: the peers that read changes
    """
    partial = frozenset(
        peer
        for peer in peers
        if before is not None
        and peer in readers
        and carried.get(peer) == before.number
    )
    changes = None
    if before is not None and partial:
        changes = find_changes(before, after)
    return Beat(frozenset(peers) - partial, partial, changes)


def find_changes(
    before: messages.Heartbeat, after: messages.Heartbeat
) -> messages.HeartbeatChanges:
    """Return what turns a heartbeat into the next one."""
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
    known = _list_fields(before or DEFAULT_SUMMARY)
    fields = _list_fields(after)
    return messages.EndpointChange(
        **{
            name: value
            for name, value in fields.items()
            if known[name] != value
        }
    )


def apply_changes(
    endpoints: Mapping[str, messages.EndpointSummary],
    changes: messages.HeartbeatChanges,
) -> dict[str, messages.EndpointSummary]:
    """Return the summaries after changes to those of the number before."""
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
    return {name: getattr(item, name) for name in FIELDS}
