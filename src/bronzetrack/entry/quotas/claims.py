"""Claims of requests on the quota of their workspace."""

from __future__ import annotations

import enum

import attrs

from bronzetrack.core import blackboard
from bronzetrack.entry import notifiers
from bronzetrack.entry.forwarding import failures
from bronzetrack.entry.forwarding import requests
from bronzetrack.entry.workspaces import workspaces

# Largest cost of a request. It is several times what an engine holds, so that
# a request that states more cannot run. Without a bound, a stated usage of 20
# digits does not fit into a message, and one of 10 uses up the quota for days.
MAX_COST = 1_000_000


class Verdict(enum.Enum):
    """Decision about a claim."""

    ADMITTED = "admitted"
    OVER_QUOTA = "over_quota"
    UNKNOWN = "unknown"


@attrs.define(eq=False)
class Claim:
    """A claim of one request.

    :param request_id: id of the request
    :param cost: units that the request uses
    :param verdict: decision, `None` while the claim waits for credit
    :param retry_after_s: seconds until the units are there
    :param decided_at: time of the decision
    :param submitted_at: when the claim was submitted
    :param is_released: whether the request ended and used nothing
    :param notifier: source of the change of the verdict
    """

    request_id: str
    workspace: workspaces.Workspace
    cost: float
    verdict: Verdict | None = None
    retry_after_s: float = 0.0
    decided_at: float = 0.0
    submitted_at: float = 0.0
    is_released: bool = False
    notifier: notifiers.Notifier = attrs.field(factory=notifiers.Notifier)

    def decide(
        self, verdict: Verdict, now: float, retry_after_s: float = 0.0
    ) -> None:
        """Record the decision and wake the request."""
        self.verdict = verdict
        self.decided_at = now
        self.retry_after_s = retry_after_s
        self.notifier.change()

    def is_decided(self) -> blackboard.Condition:
        """Return the condition that there is a verdict."""
        return blackboard.Condition(
            self.notifier, lambda: self.verdict is not None
        )

    def describe_failure(self) -> failures.Failure | None:
        """Return the failure of the request, `None` if it is admitted."""
        if self.verdict is Verdict.ADMITTED:
            return None
        if self.verdict is Verdict.OVER_QUOTA:
            return failures.Failure(
                failures.Reason.OVER_QUOTA,
                f"the quota of workspace {self.workspace.name} is used up",
                self.retry_after_s,
            )
        return failures.Failure(
            failures.Reason.QUOTA_UNKNOWN,
            f"no VM knows what is left of the quota of {self.workspace.name}",
            failures.RETRY_AFTER_S,
        )


def measure_cost(request: requests.Request) -> float:
    """Return the units of its workspace that a request uses."""
    workspace = request.workspace
    if workspace is None or workspace.unit is workspaces.Unit.REQUESTS:
        return 1.0
    if request.states_usage:
        cost = request.prompt_tokens + request.output_tokens
    else:
        cost = workspace.plain_tokens
    return float(min(cost, MAX_COST))
