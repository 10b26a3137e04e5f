"""Peer messages that transfer the configuration."""

from __future__ import annotations

from typing import ClassVar

import attrs

from bronzetrack.core import messages


@messages.MESSAGES.register("fetch_configuration")
@attrs.frozen
class FetchConfiguration:
    """Requests the configuration of a peer.

    :param offset: offset of the configuration that the requesting VM has in
        force; a peer with a lower offset does not answer
    """

    mailbox: ClassVar[str] = "configuration"

    offset: int


@messages.MESSAGES.register("configuration_snapshot")
@attrs.frozen
class ConfigurationSnapshot:
    """One part of an encoded configuration.

    :param offset: offset of the publication that set the configuration
    :param through: offset up to which the peer had read the stream
    :param part: index of the part, counted from 0
    :param parts: number of parts
    :param data: content of the part
    """

    mailbox: ClassVar[str] = "configuration"

    offset: int
    through: int
    part: int
    parts: int
    data: bytes
