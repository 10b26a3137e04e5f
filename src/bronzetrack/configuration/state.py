"""State of the configuration controller."""

from __future__ import annotations

import attrs

from bronzetrack.configuration import inventory as inventories
from bronzetrack.configuration import rules as rule_sets
from bronzetrack.core import retention

NO_OFFSET = -1


@attrs.frozen
class Configuration:
    """The configuration in force and the log offset that set it.

    :param offset: offset of the last accepted publication, `NO_OFFSET` before
        the first
    """

    offset: int = NO_OFFSET
    inventory: inventories.Inventory = attrs.field(
        factory=inventories.Inventory
    )
    rules: rule_sets.Rules = attrs.field(factory=rule_sets.Rules)


@attrs.frozen
class Verdict:
    """The decision about one publication.

    :param offset: offset of the publication
    :param accepted: whether the publication came into force
    :param reason: why the publication was rejected, empty if accepted
    :param author: name of the publisher, as stated in the record
    :param token: value by which the author identifies the publication
    """

    offset: int
    accepted: bool
    reason: str = ""
    author: str = ""
    token: str = ""


@attrs.frozen
class ConfigurationState:
    """The section of the configuration controller.

    :param configuration: the configuration in force
    :param next_offset: offset at which the next read of the stream starts
    :param verdicts: the latest decisions, oldest first
    :param log_reachable: whether the last read of the stream succeeded
    :param failed_reads: number of failed reads since the last successful one
    :param complete: whether the replay has every publication; while it lacks
        one, the configuration stays in force and no publication is accepted
    :param changed_offset: offset after the last publication
    :param retained: the retained range and the most recent snapshot record
    """

    configuration: Configuration = attrs.field(factory=Configuration)
    next_offset: int = 0
    verdicts: tuple[Verdict, ...] = ()
    log_reachable: bool = False
    failed_reads: int = 0
    complete: bool = True
    changed_offset: int = 0
    retained: retention.Retained = attrs.field(factory=retention.Retained)
