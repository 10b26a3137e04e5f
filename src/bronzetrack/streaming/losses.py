"""How an entry VM finds out that an answer was lost between VMs."""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping

from bronzetrack.core import failures
from bronzetrack.streaming import progress as progresses

# A chunk that overtook another on a new stream arrives well within this.
GAP_WAIT_MS = 500
# Longer than the time between two chunks, so that only work that waits and
# answers in one piece are asked about.
PROBE_INTERVAL_MS = 3_000
PROBED_ATTEMPTS = 1_000


def find_loss(
    progress: progresses.Progress,
    own_vm: str,
    sessions: Collection[str],
    incarnations: Mapping[str, str],
    now_ms: int,
) -> failures.Failure | None:
    """Return why the rest of the present attempt is lost, if it is.

    :param sessions: VMs that a stream is open to
    :param incarnations: the run of each VM that was heard from recently
    """
    if progress.gap_ms is not None and (
        now_ms - progress.gap_ms >= GAP_WAIT_MS
    ):
        return failures.Failure(
            failures.Reason.ANSWER_INCOMPLETE,
            f"chunk {progress.assembler.next_number} was lost",
        )
    owner = progress.owner
    if owner == own_vm:
        return None
    if owner not in sessions:
        return failures.Failure(
            failures.Reason.PEER_UNREACHABLE, f"no session with {owner}"
        )
    if incarnations.get(owner) != progress.owner_incarnation:
        return failures.Failure(
            failures.Reason.PEER_UNREACHABLE, f"{owner} is gone"
        )
    return None


def list_silent(
    open_requests: Iterable[progresses.Progress], own_vm: str, now_ms: int
) -> dict[str, list[progresses.Progress]]:
    """Return by owner the requests whose attempt has been silent.

    An attempt that resumes a stream at this VM is in no queue, so that its
    owner could not tell that it runs.
    """
    silent: dict[str, list[progresses.Progress]] = {}
    for progress in open_requests:
        if (
            progress.stage is progresses.Stage.RUNNING
            and not (progress.owner == own_vm and progress.is_resumed)
            and now_ms - progress.heard_ms >= PROBE_INTERVAL_MS
        ):
            silent.setdefault(progress.owner, []).append(progress)
    return silent
