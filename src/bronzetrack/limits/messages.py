"""Peer messages that transfer weight-store tokens between VMs."""

from __future__ import annotations

from typing import ClassVar

import attrs

from bronzetrack.core import messages


@messages.MESSAGES.register("token_request")
@attrs.frozen
class TokenRequest:
    """A request to a peer for tokens that the peer does not need.

    :param number: sequence number of the request at the requesting VM
    :param tokens: number of tokens that the requesting VM lacks
    """

    mailbox: ClassVar[str] = "work"

    number: int
    tokens: float


@messages.MESSAGES.register("token_grant")
@attrs.frozen
class TokenGrant:
    """The answer to a request, whose tokens the sender has already subtracted.

    :param number: sequence number of the request
    :param tokens: number of tokens granted, 0 if the peer has none to spare
    """

    mailbox: ClassVar[str] = "work"

    number: int
    tokens: float
