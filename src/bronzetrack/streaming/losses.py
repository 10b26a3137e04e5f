"""Detection, at the entry VM, of answers that were lost between VMs."""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping

from bronzetrack.core import failures
from bronzetrack.streaming import progress as progresses

# A chunk that was overtaken by a later one on a new stream arrives well within
# this time.
GAP_WAIT_MS = 500
# Longer than the time between two chunks, so that only queued work and answers
# that arrive in one piece are probed.
PROBE_INTERVAL_MS = 3_000
MAX_PROBED_ATTEMPTS = 1_000


def find_loss(
    progress: progresses.Progress,
    own_vm: str,
    sessions: Collection[str],
    incarnations: Mapping[str, str],
    now_ms: int,
) -> failures.Failure | None:
    """Return the failure if the rest of the present attempt is lost.

    :param sessions: VMs to which a stream is open
    :param incarnations: current incarnation of each VM that sent a message
        recently
    :param now_ms: monotonic time in milliseconds
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


def group_silent_requests(
    open_requests: Iterable[progresses.Progress], own_vm: str, now_ms: int
) -> dict[str, list[progresses.Progress]]:
    """Return the requests to probe, grouped by the owner of their attempt.

    They are the requests that wait for an attempt of which no message came
    for `PROBE_INTERVAL_MS`. An attempt that resumes a stream at this VM is
    left out: it is in no queue, so its owner would answer the probe as if the
    attempt did not run.

    :param now_ms: monotonic time in milliseconds
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
