"""Log events of the admitted share of full services."""

from __future__ import annotations

import logging

import attrs

from bronzetrack.core import logevents


@attrs.frozen
class ShareEvent(logevents.LogEvent):
    """State of the limit of a service.

    :param share: share of the requests that this VM admitted lately
    :param rate_per_s: requests per second that it admits
    :param in_progress: requests in progress at the endpoints, of all VMs
    :param slots: requests that the endpoints run at a time
    :param recent_ms: present time of an answer
    :param calm_ms: time of an answer in calm
    """

    service: str
    share: float
    rate_per_s: float
    in_progress: int
    slots: int
    recent_ms: float
    calm_ms: float


@logevents.register(
    "share_limited",
    "a service is overloaded; requests are refused",
    logging.WARNING,
)
@attrs.frozen
class ShareLimited(ShareEvent):
    """This VM began to limit the requests to a service."""


@logevents.register("share_corrected", "the admitted rate was corrected")
@attrs.frozen
class ShareCorrected(ShareEvent):
    """The limit changed, logged at most once per second.

    :param refused: requests refused since the limit began
    """

    refused: int


@logevents.register("share_restored", "all requests are admitted again")
@attrs.frozen
class ShareRestored(ShareEvent):
    """This VM admits all requests to a service again.

    :param refused: requests refused since the limit began
    :param limited_s: duration of the limit
    """

    refused: int
    limited_s: float | None
