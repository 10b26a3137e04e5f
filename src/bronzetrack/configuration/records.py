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
    :param base: the offset in force that the author started from
    :param author: who publishes, for the history
    :param delta: whether the document holds only changed entries
    :param document: the whole document, or changed entries by section with
        None for a removed entry
    :param token: a random value by which the author finds the record again
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
    """A copy of the configuration in force, so that retention drops none.

    It is effective if nothing was published since its author read the
    stream. To a replay that has read everything it brings nothing new; a
    replay that lacks earlier records starts from it.

    :param offset: of the publication that brought the configuration
    :param through: the position up to which its author had read
    :param data: the encoded configuration, which a replay that has read
        everything need not decode
    """

    offset: int
    through: int
    data: bytes
