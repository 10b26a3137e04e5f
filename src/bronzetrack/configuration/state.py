"""The configuration in force."""

from __future__ import annotations

import attrs

from bronzetrack.configuration import inventory as inventories
from bronzetrack.configuration import rules as rule_sets
from bronzetrack.core import retention

NO_OFFSET = -1


@attrs.frozen
class Configuration:
    """The configuration in force and the log offset that brought it.

    :param offset: offset of the accepted publication, NO_OFFSET before any
    """

    offset: int = NO_OFFSET
    inventory: inventories.Inventory = attrs.field(
        factory=inventories.Inventory
    )
    rules: rule_sets.Rules = attrs.field(factory=rule_sets.Rules)


@attrs.frozen
class Verdict:
    """How one publication was decided.

    :param offset: offset of the publication
    :param accepted: whether it is or was in force
    :param reason: why it was not accepted
    :param author: who published it, as the record states
    :param token: by which the author finds the decision again
    """

    offset: int
    accepted: bool
    reason: str = ""
    author: str = ""
    token: str = ""


@attrs.frozen
class ConfigurationState:
    """The section of the configuration controller.

    :param configuration: what is in force
    :param next_offset: the log position that is read next
    :param verdicts: the latest decisions, oldest first
    :param log_reachable: whether the last read of the stream succeeded
    :param failed_reads: how many reads have failed since one succeeded
    :param complete: whether the replay lacks no publication; if it does, the
        configuration stays in force and no publication is accepted
    :param changed_offset: position after the last publication
    :param retained: the retained range and the newest snapshot record
    """

    configuration: Configuration = attrs.field(factory=Configuration)
    next_offset: int = 0
    verdicts: tuple[Verdict, ...] = ()
    log_reachable: bool = False
    failed_reads: int = 0
    complete: bool = True
    changed_offset: int = 0
    retained: retention.Retained = attrs.field(factory=retention.Retained)
