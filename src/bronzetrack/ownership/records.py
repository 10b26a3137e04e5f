"""Log records of the stream `ownership`."""

from __future__ import annotations

from collections.abc import Mapping

import attrs

from bronzetrack.core import records

STREAM = "ownership"


@records.RECORDS.register("lease")
@attrs.frozen
class LeaseRecord:
    """Renews the lease of one run of a daemon.

    :param sequence: counts the renewals of the incarnation from 0
    """

    vm: str
    incarnation: str
    sequence: int


@records.RECORDS.register("claim")
@attrs.frozen
class ClaimRecord:
    """Claims endpoints; its offset is the fencing number.

    :param lapsed: newest lease sequence that the claimant saw, by the
        incarnation of a holder whose lease it states as lapsed
    """

    vm: str
    incarnation: str
    endpoints: tuple[str, ...]
    lapsed: Mapping[str, int] = attrs.field(factory=dict)


@records.RECORDS.register("holding")
@attrs.frozen
class HoldingRecord:
    """Repeats claims before retention drops them.

    :param endpoints: fencing number by endpoint
    """

    vm: str
    incarnation: str
    endpoints: Mapping[str, int]


@records.RECORDS.register("release")
@attrs.frozen
class ReleaseRecord:
    """Gives up endpoints."""

    vm: str
    incarnation: str
    endpoints: tuple[str, ...]
