"""Log events of requests that may crash endpoints."""

from __future__ import annotations

import logging

import attrs

from bronzetrack.core import logevents


@logevents.register(
    "connection_lost", "an endpoint broke off while it ran a request"
)
@attrs.frozen
class ConnectionLost(logevents.LogEvent):
    """A loss that may show that the request crashes endpoints.

    :param keys: what the request has in common with its copies
    :param crashes: crashes that this VM counts against the keys
    """

    request_id: str
    endpoint: str
    keys: list[str]
    crashes: list[int]


@logevents.register(
    "trial_sent", "a request with refused keys was sent as a trial"
)
@attrs.frozen
class TrialSent(logevents.LogEvent):
    """A send that shows whether a prompt part crashes endpoints."""

    request_id: str
    keys: list[str]


@logevents.register(
    "crash_checked", "it was checked whether an endpoint crashed"
)
@attrs.frozen
class CrashChecked(logevents.LogEvent):
    """A check whether an endpoint that did not finish requests has crashed.

    :param crashed: whether there is evidence of a crash
    :param evidence: `refused`: the address refused a connection; `restarted`:
        another start of the endpoint was seen; `none`
    :param requests: number of requests whose connection was lost
    :param given_up: number of requests that this VM gave up before
    """

    endpoint: str
    crashed: bool
    evidence: str
    requests: int
    given_up: int


@logevents.register(
    "request_suspected", "copies of a request are refused from now on"
)
@attrs.frozen
class RequestSuspected(logevents.LogEvent):
    """Crashes, own or reported, that refuse all copies of a request.

    :param key: what the request has in common with its copies
    :param starts: ids of the starts of the endpoints that crashed
    """

    key: str
    starts: list[str]


@logevents.register(
    "suspect_rejected", "a suspect in the store is invalid", logging.WARNING
)
@attrs.frozen
class SuspectRejected(logevents.LogEvent):
    """A record of a request that may crash endpoints, which is ignored."""

    key: str
    detail: str


@logevents.register(
    "suspect_save_failed", "a suspect could not be stored", logging.WARNING
)
@attrs.frozen
class SuspectSaveFailed(logevents.LogEvent):
    """A write to the store that is repeated."""

    detail: str
