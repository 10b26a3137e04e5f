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


@attrs.frozen
class Holder:
    """The claims of one incarnation that are in effect.

    :param sequence: its newest lease, NO_SEQUENCE if there is none
    :param endpoints: fencing number by endpoint
    """

    vm: str
    sequence: int
    endpoints: Mapping[str, int]


@records.RECORDS.register("holding")
@attrs.frozen
class HoldingRecord:
    """Repeats all claims in effect before retention drops them.

    It is effective if only leases were appended since its author read the
    stream. To a replay that has read everything it brings nothing new; a
    replay that lacks earlier records starts from it.

    :param through: the position up to which its author had read
    :param holders: by incarnation
    """

    through: int
    holders: Mapping[str, Holder]


@records.RECORDS.register("reset")
@attrs.frozen
class ResetRecord:
    """Voids all claims, after retention dropped them and no holder is left.

    It is effective only if nothing was appended since its author read the
    stream, so that a holder that comes back first voids it.

    :param through: the position up to which its author had read
    """

    through: int


@records.RECORDS.register("release")
@attrs.frozen
class ReleaseRecord:
    """Gives up endpoints.

    :param endpoints: fencing number of the claim that is given up, so that a
        late copy of the record does not end a later claim
    """

    vm: str
    incarnation: str
    endpoints: Mapping[str, int]
