"""Peer messages that move weight-store tokens between VMs."""

from __future__ import annotations

from typing import ClassVar

import attrs

from bronzetrack.core import messages


@messages.MESSAGES.register("token_request")
@attrs.frozen
class TokenRequest:
    """A VM asks a peer for tokens that the peer does not need.

    :param number: counts the requests of the asking VM
    """

    mailbox: ClassVar[str] = "work"

    number: int
    tokens: float


@messages.MESSAGES.register("token_grant")
@attrs.frozen
class TokenGrant:
    """The answer to a request; the sender has already given up the tokens.

    :param number: the number of the request
    :param tokens: 0 if the peer has none to spare
    """

    mailbox: ClassVar[str] = "work"

    number: int
    tokens: float
