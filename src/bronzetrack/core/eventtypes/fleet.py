"""Log events of the other VMs."""

from __future__ import annotations

import logging

import attrs

from bronzetrack.core import logevents


@logevents.register(
    "announce_failed", "this VM could not be announced", logging.WARNING
)
@attrs.frozen
class AnnounceFailed(logevents.LogEvent):
    """Other VMs do not know this VM until a later attempt succeeds."""

    detail: str


@logevents.register(
    "announcement_rejected",
    "an announcement cannot be read",
    logging.WARNING,
)
@attrs.frozen
class AnnouncementRejected(logevents.LogEvent):
    """An entry of another VM that cannot be read."""

    peer: str
    detail: str


@logevents.register(
    "fleet_changed", "other VMs fell silent or were heard again"
)
@attrs.frozen
class FleetChanged(logevents.LogEvent):
    """A change of the VMs whose heartbeats or digests arrive.

    :param alive: number of VMs that are heard
    :param known: number of VMs that may be running
    :param lost: number of VMs that fell silent
    :param members_age_s: seconds since a hub told of the VMs it hears
    """

    alive: int
    known: int
    lost: int
    members_age_s: float | None


@logevents.register(
    "joining_changed", "this VM joins the others, or has joined them"
)
@attrs.frozen
class JoiningChanged(logevents.LogEvent):
    """This VM began or ceased to join the other VMs.

    :param joining: whether VMs may act that this one does not know
    :param known: number of other VMs that may be running
    :param strangers: number of VMs that digests name and it does not know
    """

    joining: bool
    known: int
    strangers: int


@logevents.register(
    "datagram_rejected", "a datagram cannot be read", logging.WARNING
)
@attrs.frozen
class DatagramRejected(logevents.LogEvent):
    """A message of another VM that cannot be read."""

    detail: str
