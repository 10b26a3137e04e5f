"""Log events of quotas."""

from __future__ import annotations

import logging

import attrs

from bronzetrack.core import logevents


@logevents.register("quota_refused", "a request was refused by a quota")
@attrs.frozen
class QuotaRefused(logevents.LogEvent):
    """A request was refused by the quota of its workspace.

    :param verdict: whether the quota is used up or not known
    :param cost: units that the request needed
    :param owner: VM that lends the credit of the workspace
    :param credit: units that this VM held
    :param retry_after_s: seconds until the units are there
    """

    request_id: str
    workspace: str
    verdict: str
    cost: float
    owner: str
    credit: float
    retry_after_s: float | None


@logevents.register(
    "quota_owner_silent",
    "the owner of a workspace did not answer",
    logging.WARNING,
)
@attrs.frozen
class QuotaOwnerSilent(logevents.LogEvent):
    """The owner of a workspace did not answer a request for credit.

    :param owner: VM that was asked
    :param missed: requests for credit without an answer so far
    """

    workspace: str
    owner: str
    missed: int


@logevents.register("quota_owned", "this VM began or ceased to lend credit")
@attrs.frozen
class QuotaOwned(logevents.LogEvent):
    """This VM began or ceased to lend the credit of workspaces.

    :param owned: names of all workspaces whose credit it lends
    """

    owned: list[str]
