"""Evaluation of whether an owner without log access may have a successor."""

from __future__ import annotations

from collections.abc import Mapping

import attrs

from bronzetrack.ownership import leases

# A VM that did not evaluate its standing for longer counts as paused. The
# value is several times the interval of the evaluation.
MAX_EVALUATION_GAP_MS = 2_000


def update_standing(
    state: leases.OwnershipState,
    vm: str,
    claimants: Mapping[str, bool],
    now_ms: int,
) -> leases.OwnershipState:
    """Return the state with a standing computed from reports of other VMs.

    A successor must have read the log after the lease of this VM lapsed. This
    VM assumes that no VM can do so if more than half of the VMs, this one
    included, report that they cannot claim, and none reports the contrary. In
    an outage of the log a few VMs may be down, while an owner that is cut off
    receives heartbeats from few other VMs or from none.

    Once the standing was doubtful, all VMs have to report that they cannot
    claim. The same holds if this VM was paused and did not evaluate its
    standing for a while after its lease: it has missed the heartbeats of that
    time.

    :param vm: name of this VM
    :param claimants: by VM with a recent heartbeat, whether that VM could
        claim, or owns an endpoint that this VM owned
    """
    if state.log_reachable:
        # The replay sets the standing whenever it reads the log to its end.
        return state
    standing = _evaluate_standing(state, vm, claimants, now_ms)
    return attrs.evolve(state, standing=standing, judged_ms=now_ms)


def _evaluate_standing(
    state: leases.OwnershipState,
    vm: str,
    claimants: Mapping[str, bool],
    now_ms: int,
) -> leases.Standing:
    if now_ms < state.held_until_ms:
        return leases.Standing.SOLE
    # Only the log shows who owns the endpoints of a superseded VM now.
    superseded = state.standing is leases.Standing.SUPERSEDED
    if superseded or any(claimants.values()):
        return leases.Standing.SUPERSEDED
    others = list_others(state, vm)
    agreeing = 1 + len(others & claimants.keys())
    paused = now_ms - state.judged_ms > MAX_EVALUATION_GAP_MS
    if paused or state.standing is leases.Standing.DOUBTFUL:
        enough = agreeing == 1 + len(others)
    else:
        enough = 2 * agreeing > 1 + len(others)
    return leases.Standing.SOLE if enough else leases.Standing.DOUBTFUL


def list_others(state: leases.OwnershipState, vm: str) -> set[str]:
    """Return the other VMs that renewed recently when the log was last read.

    :param vm: name of this VM, which is left out
    """
    oldest_ms = state.read_ms - leases.RECENT_RENEWAL_MS
    return {
        other
        for other, read_ms in state.renewed_ms.items()
        if read_ms >= oldest_ms
    } - {vm}
