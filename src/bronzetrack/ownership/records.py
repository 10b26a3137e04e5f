"""Log records of the stream `ownership`."""

from __future__ import annotations

from collections.abc import Mapping

import attrs

from bronzetrack.core import records

STREAM = "ownership"


@records.RECORDS.register("lease")
@attrs.frozen
class LeaseRecord:
    """Renews the lease of one incarnation of a daemon.

    :param sequence: number of the renewal, counted from 0 per incarnation
    """

    vm: str
    incarnation: str
    sequence: int


@records.RECORDS.register("claim")
@attrs.frozen
class ClaimRecord:
    """Claims endpoints. The offset of the record is the fencing token.

    :param lapsed: most recent lease sequence that the claimant read, by
        incarnation of each holder whose lease the claimant declares lapsed
    """

    vm: str
    incarnation: str
    endpoints: tuple[str, ...]
    lapsed: Mapping[str, int] = attrs.field(factory=dict)


@attrs.frozen
class Holder:
    """The claims in effect of one incarnation.

    :param sequence: most recent lease sequence of the incarnation,
        `NO_SEQUENCE` if there is none
    :param endpoints: fencing token by endpoint
    """

    vm: str
    sequence: int
    endpoints: Mapping[str, int]


@records.RECORDS.register("holding")
@attrs.frozen
class HoldingRecord:
    """Repeats all claims in effect before log retention drops them.

    The record is effective if only leases were appended after its author read
    the stream. It adds no owners to a complete replay; a replay that lacks
    earlier records starts from it.

    :param through: offset up to which the author had read the stream
    :param holders: claims in effect by incarnation
    """

    through: int
    holders: Mapping[str, Holder]


@records.RECORDS.register("reset")
@attrs.frozen
class ResetRecord:
    """Voids all claims after retention dropped them and no holder is left.

    The record is effective only if nothing was appended after its author read
    the stream, so that an append by a returning holder invalidates it.

    :param through: offset up to which the author had read the stream
    """

    through: int


@records.RECORDS.register("release")
@attrs.frozen
class ReleaseRecord:
    """Releases endpoints.

    :param endpoints: fencing token of the released claim by endpoint, so
        that a delayed duplicate of the record does not end a later claim
    """

    vm: str
    incarnation: str
    endpoints: Mapping[str, int]
