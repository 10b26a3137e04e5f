"""Claims of forwarded requests on the quota of their workspace."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bronzetrack.core import blackboard
from bronzetrack.entry.forwarding import failures
from bronzetrack.entry.quotas import claims

if TYPE_CHECKING:
    from bronzetrack.entry import board as boards
    from bronzetrack.entry.forwarding import progress as progresses
    from bronzetrack.entry.forwarding import requests


class QuotaGate:
    """Has claims decided by the controller of quotas."""

    def __init__(self, board: boards.Blackboard) -> None:
        self._board = board

    async def admit(
        self, request: requests.Request, progress: progresses.Progress
    ) -> failures.Failure | None:
        """Wait for the decision on a request that counts towards a quota.

        :returns: the failure of a request that is not admitted
        """
        assert request.workspace is not None
        claim = claims.Claim(
            request.request_id, request.workspace, claims.measure_cost(request)
        )
        if not self._board.quota_claims.post(claim):
            return claim.describe_failure()
        progress.claim = claim
        await blackboard.wait_any(claim.is_decided())
        return claim.describe_failure()

    def release(self, progress: progresses.Progress) -> None:
        """Give back the claim of a request that ended without a run."""
        if progress.claim is not None and not progress.possible_runs:
            self._board.released_claims.post(progress.claim)
