"""Permits of this VM for loads of adapters from the weight store."""

from __future__ import annotations

import math
from typing import Any
from typing import TYPE_CHECKING

from bronzetrack.dispatch import state as states
from bronzetrack.limits import messages
from bronzetrack.limits import transfers

if TYPE_CHECKING:
    from bronzetrack import board as boards
    from bronzetrack.core import controllers


class LoadPermits:
    """Maintains the section `permits` for the dispatch controller.

    :param writer: name of the controller that writes the section
    """

    def __init__(
        self, board: boards.Blackboard, ports: controllers.Ports, writer: str
    ) -> None:
        self._board = board
        self._ports = ports
        self._writer = writer
        self._store = board.settings.weight_store
        self._needed_tokens = 0

    def _write(self, permits: transfers.Permits) -> None:
        self._board.permits.write(self._writer, permits)

    def refill(self, now_ms: int) -> None:
        """Add the tokens that have accrued since the last refill."""
        share = self._store.loads_per_s / self._store.expected_vms
        permits = self._board.permits.value
        bucket = permits.bucket.refill(share, max(1.0, share), now_ms)
        self._write(permits.replace_bucket(bucket))

    def take(self) -> None:
        """Take one token for a load."""
        permits = self._board.permits.value
        self._write(permits.replace_bucket(permits.bucket.take(1)))

    def count(self) -> int:
        """Return the number of loads that may start now."""
        whole = math.floor(self._board.permits.value.bucket.tokens)
        return max(0, min(self.count_free_concurrency(), whole))

    def count_free_concurrency(self) -> int:
        """Return the number of loads that the concurrency limit leaves.

        The tokens are not considered.
        """
        loading = sum(
            resident.phase is states.ResidentPhase.LOADING
            for queue in self._board.dispatch.value.endpoints.values()
            for resident in queue.residents.values()
        )
        share = self._store.in_flight // self._store.expected_vms
        return max(0, share - loading)

    def request(self, permit_shortfall: int, now_ms: int) -> None:
        """Request the tokens that waiting loads lack from a peer.

        :param permit_shortfall: number of loads that wait only for a permit
        """
        self._needed_tokens = min(
            permit_shortfall, self.count_free_concurrency()
        )
        permits, addressed = transfers.request_tokens(
            self._board.permits.value,
            self._board.vm,
            self._ports.peers.list_sessions(),
            self._needed_tokens,
            now_ms,
        )
        self._write(permits)
        if addressed is not None:
            self._ports.peers.send(addressed.peer, addressed.request)

    def receive(self, sender: str, message: Any) -> None:
        """Grant tokens to a peer, or accept tokens that a peer granted."""
        permits = self._board.permits.value
        match message:
            case messages.TokenRequest():
                # If the send fails, its tokens are lost, and the peer asks
                # again in its next round.
                permits, answer = transfers.grant_tokens(
                    permits, message, self._needed_tokens
                )
                self._write(permits)
                self._ports.peers.send(sender, answer)
            case messages.TokenGrant():
                self._write(transfers.accept_grant(permits, message))
