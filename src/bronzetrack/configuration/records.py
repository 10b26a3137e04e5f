"""Log records of the stream `configuration`."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import attrs

from bronzetrack.core import records

STREAM = "configuration"


@records.RECORDS.register("publication")
@attrs.frozen
class PublicationRecord:
    """A new inventory or rule set.

    :param kind: `inventory` or `rules`
    :param base: offset of the configuration in force on which the author based
        the document
    :param document: the whole document, or the changed entries by section with
        None for a removed entry
    :param author: name of the publisher, for the history
    :param delta: whether the document holds only changed entries
    :param token: random value by which the author identifies the record
    """

    kind: str
    base: int
    document: Mapping[str, Any]
    author: str = ""
    delta: bool = False
    token: str = ""


@records.RECORDS.register("snapshot")
@attrs.frozen
class SnapshotRecord:
    """A copy of the configuration in force that survives log retention.

    The record is effective if nothing was published after its author read the
    stream. It doesn't change the configuration of a complete replay; a replay
    that lacks earlier records starts from it.

    :param offset: offset of the publication that set the configuration
    :param through: offset up to which the author had read the stream
    :param data: the encoded configuration, which a complete replay need not
        decode
    """

    offset: int
    through: int
    data: bytes
