"""Log events of the lease of the VM that gives orders."""

from __future__ import annotations

import logging

import attrs

from bronzetrack.core import logevents


@logevents.register("lease_taken", "the lease was taken")
@attrs.frozen
class LeaseTaken(logevents.LogEvent):
    """This VM starts to give orders."""

    token: int


@logevents.register("lease_lapsed", "the lease lapsed before it was renewed")
@attrs.frozen
class LeaseLapsed(logevents.LogEvent):
    """This VM gives no orders until it holds the lease again."""

    token: int


@logevents.register("lease_released", "the lease was released")
@attrs.frozen
class LeaseReleased(logevents.LogEvent):
    """Another VM may take the lease without waiting for it to lapse."""

    token: int


@logevents.register(
    "lease_failed",
    "a call to the store about the lease failed",
    logging.WARNING,
)
@attrs.frozen
class LeaseCallFailed(logevents.LogEvent):
    """A call to the store about the lease that failed or got no answer."""

    detail: str
