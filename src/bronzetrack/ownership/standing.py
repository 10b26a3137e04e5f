"""Whether an owner that cannot read the log may have a successor."""

from __future__ import annotations

from collections.abc import Mapping

import attrs

from bronzetrack.ownership import leases

# Several times the interval at which a VM judges its standing.
JUDGE_GAP_MS = 2_000


def judge(
    state: leases.OwnershipState,
    vm: str,
    claimants: Mapping[str, bool],
    now_ms: int,
) -> leases.OwnershipState:
    """Return the state with the standing that the other VMs' words give it.

    A successor has read the log after the lease of this VM lapsed. That no VM
    can do so is believed if more than half of the VMs, this one included, say
    so, and none says the contrary: in an outage a few VMs may be down, while
    an owner that is cut off hears from few others or from none.

    Once there was doubt, all of them have to say so. That is also so for a VM
    that did not judge for a while after its lease, as it was paused: it has
    not heard what the others said meanwhile.

    :param vm: name of this VM
    :param claimants: whether it could claim, or owns what this VM owned, by
        VM that was heard recently
    """
    if state.log_reachable:
        # The standing was set when the log was read.
        return state
    standing = _find_standing(state, vm, claimants, now_ms)
    return attrs.evolve(state, standing=standing, judged_ms=now_ms)


def _find_standing(
    state: leases.OwnershipState,
    vm: str,
    claimants: Mapping[str, bool],
    now_ms: int,
) -> leases.Standing:
    if now_ms < state.held_until_ms:
        return leases.Standing.SOLE
    # Only the log says what became of the endpoints of a superseded VM.
    superseded = state.standing is leases.Standing.SUPERSEDED
    if superseded or any(claimants.values()):
        return leases.Standing.SUPERSEDED
    others = list_others(state, vm)
    agreeing = 1 + len(others & claimants.keys())
    paused = now_ms - state.judged_ms > JUDGE_GAP_MS
    if paused or state.standing is leases.Standing.DOUBTFUL:
        enough = agreeing == 1 + len(others)
    else:
        enough = 2 * agreeing > 1 + len(others)
    return leases.Standing.SOLE if enough else leases.Standing.DOUBTFUL


def list_others(state: leases.OwnershipState, vm: str) -> set[str]:
    """Return the VMs that renewed not long before the log was last read."""
    oldest_ms = state.read_ms - leases.KNOWN_MS
    return {
        other
        for other, read_ms in state.renewed_ms.items()
        if read_ms >= oldest_ms
    } - {vm}
