"""Rules that members vote on: limits of members and of work classes."""

from __future__ import annotations

from collections.abc import Mapping

import attrs


@attrs.frozen
class MemberRule:
    """The limits of one member, as voted.

    :param weight: weight of the capacity share relative to other members
    :param warm_adapters: maximum number of loaded adapter versions in total
    """

    weight: float = 1.0
    warm_adapters: int = 64


@attrs.frozen
class ClassRule:
    """The priority and limits of one work class, as voted.

    :param rank: priority of the class; lower ranks run first
    :param slot_share: maximum share of the slots of an endpoint, more than 0
        and at most 1
    :param queue_timeout_ms: maximum time that a request waits in a queue
        before it is refused
    """

    rank: int = 1
    slot_share: float = 1.0
    queue_timeout_ms: int = 30_000


@attrs.frozen
class Rules:
    """All voted rules.

    :param members: rules by member
    :param classes: rules by work class
    :param default_class: work class of requests that specify none
    """

    members: Mapping[str, MemberRule] = attrs.field(factory=dict)
    classes: Mapping[str, ClassRule] = attrs.field(
        factory=lambda: {"normal": ClassRule()}
    )
    default_class: str = "normal"
