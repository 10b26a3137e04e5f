"""Permits of this VM for loads from the weight store."""

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
    """Keeps the section `permits` for the dispatch controller.

    :param writer: name of the controller
    """

    def __init__(
        self, board: boards.Blackboard, ports: controllers.Ports, writer: str
    ) -> None:
        self._board = board
        self._ports = ports
        self._writer = writer
        self._store = board.settings.weight_store
        self._needed = 0

    def _write(self, permits: transfers.Permits) -> None:
        self._board.permits.write(self._writer, permits)

    def refill(self, now_ms: int) -> None:
        """Add the tokens that time has brought."""
        share = self._store.loads_per_s / self._store.expected_vms
        permits = self._board.permits.value
        bucket = permits.bucket.refill(share, max(1.0, share), now_ms)
        self._write(permits.change(bucket))

    def take(self) -> None:
        """Use a token for a load."""
        permits = self._board.permits.value
        self._write(permits.change(permits.bucket.take(1)))

    def count(self) -> int:
        """Return how many loads may start now."""
        whole = math.floor(self._board.permits.value.bucket.tokens)
        return max(0, min(self.count_places(), whole))

    def count_places(self) -> int:
        """Return how many loads may start if tokens are at hand."""
        loading = sum(
            resident.phase is states.ResidentPhase.LOADING
            for queue in self._board.dispatch.value.endpoints.values()
            for resident in queue.residents.values()
        )
        share = self._store.in_flight // self._store.expected_vms
        return max(0, share - loading)

    def request(self, short: int, now_ms: int) -> None:
        """Ask a peer for the tokens that waiting loads lack.

        :param short: loads that wait for a permit only
        """
        self._needed = min(short, self.count_places())
        permits, question = transfers.ask(
            self._board.permits.value,
            self._board.vm,
            self._ports.peers.list_sessions(),
            self._needed,
            now_ms,
        )
        self._write(permits)
        if question is not None:
            self._ports.peers.send(question.peer, question.request)

    def receive(self, sender: str, message: Any) -> None:
        """Grant tokens to a peer or accept those of a peer."""
        permits = self._board.permits.value
        match message:
            case messages.TokenRequest():
                # Another round of the peer finds what a failed send lost.
                permits, answer = transfers.grant(
                    permits, message, self._needed
                )
                self._write(permits)
                self._ports.peers.send(sender, answer)
            case messages.TokenGrant():
                self._write(transfers.accept(permits, message))
