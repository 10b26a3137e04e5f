"""What members vote on."""

from __future__ import annotations

from collections.abc import Mapping

import attrs


@attrs.frozen
class MemberRule:
    """The voted limits of one member.

    :param weight: share of capacity relative to the other members
    :param warm_adapters: adapter versions it may keep loaded in total
    """

    weight: float = 1.0
    warm_adapters: int = 64


@attrs.frozen
class ClassRule:
    """The voted rank of one work class.

    :param rank: lower ranks run first
    :param slot_share: the largest part of the slots of an endpoint, 0 to 1
    :param queue_timeout_ms: how long a request may wait before it is refused
    """

    rank: int = 1
    slot_share: float = 1.0
    queue_timeout_ms: int = 30_000


@attrs.frozen
class Rules:
    """All voted rules."""

    members: Mapping[str, MemberRule] = attrs.field(factory=dict)
    classes: Mapping[str, ClassRule] = attrs.field(
        factory=lambda: {"normal": ClassRule()}
    )
    default_class: str = "normal"
