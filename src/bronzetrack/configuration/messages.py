"""Peer messages about configuration."""

from __future__ import annotations

from typing import ClassVar

import attrs

from bronzetrack.core import messages


@messages.MESSAGES.register("fetch_configuration")
@attrs.frozen
class FetchConfiguration:
    """Asks a peer for its configuration.

    :param offset: what the asking VM has in force; a peer with a lower
        offset does not answer
    """

    mailbox: ClassVar[str] = "configuration"

    offset: int


@messages.MESSAGES.register("configuration_snapshot")
@attrs.frozen
class ConfigurationSnapshot:
    """One part of an encoded configuration.

    :param offset: of the publication that brought the configuration
    :param through: the position up to which the peer had read the stream
    :param part: counts from 0
    """

    mailbox: ClassVar[str] = "configuration"

    offset: int
    through: int
    part: int
    parts: int
    data: bytes
