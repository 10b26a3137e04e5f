"""State transitions of the queue of an endpoint."""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Sequence

import attrs

from bronzetrack.core import failures
from bronzetrack.dispatch import events
from bronzetrack.dispatch import pace as paces
from bronzetrack.dispatch import state as states
from bronzetrack.endpoints import reports
from bronzetrack.streaming import messages

LOAD_RETRY_MS = 1_000
FENCE_RETRY_MS = 1_000
NEVER_MS = -(1 << 62)
# A former owner that is cut off may start work until a heartbeat informs it
# that it may have a successor. This is a heartbeat interval plus the transit.
SUCCESSOR_NOTICE_MS = 1_500
# A report that is read later than this after a claim includes all work of the
# former owner.
TAKEOVER_MS = reports.REPORT_LAG_MS + SUCCESSOR_NOTICE_MS


def enqueue(
    queue: states.EndpointQueue, item: states.Waiting
) -> states.EndpointQueue:
    """Return the queue with an item added, unless its attempt is known."""
    attempt = item.work.attempt
    waiting = any(other.work.attempt == attempt for other in queue.waiting)
    if waiting or attempt in queue.running:
        return queue
    return attrs.evolve(queue, waiting=(*queue.waiting, item))


def remove_waiting(
    queue: states.EndpointQueue, attempts: Collection[str]
) -> states.EndpointQueue:
    """Return the queue without the given waiting attempts."""
    kept = tuple(
        item for item in queue.waiting if item.work.attempt not in attempts
    )
    return attrs.evolve(queue, waiting=kept)


def start(
    queue: states.EndpointQueue, attempt: str, now_ms: int
) -> states.EndpointQueue:
    """Return the queue with a waiting attempt moved into a slot."""
    item = next(item for item in queue.waiting if item.work.attempt == attempt)
    return occupy_slot(
        remove_waiting(queue, {attempt}), item.work, item.sender, now_ms
    )


def occupy_slot(
    queue: states.EndpointQueue,
    work: messages.SubmitWork,
    sender: str,
    now_ms: int,
) -> states.EndpointQueue:
    """Return the queue with work in a slot and its adapter marked as used."""
    running = states.Running(work, sender, now_ms)
    return attrs.evolve(
        _mark_used(queue, work.adapter, now_ms),
        running={**queue.running, work.attempt: running},
    )


def finish(
    queue: states.EndpointQueue, attempt: str, now_ms: int
) -> states.EndpointQueue:
    """Return the queue with the slot of an attempt released."""
    item = queue.running.get(attempt)
    if item is None:
        return queue
    running = {
        name: other for name, other in queue.running.items() if name != attempt
    }
    return attrs.evolve(
        _mark_used(queue, item.work.adapter, now_ms), running=running
    )


def end_run(
    queue: states.EndpointQueue, event: events.RunEnded, now_ms: int
) -> states.EndpointQueue:
    """Return the queue after a run ended.

    An engine that restarted rejects requests for an adapter version before
    its status report shows the restart. The resident is removed at once, since
    work would otherwise be sent to the engine until then.
    """
    item = queue.running.get(event.attempt)
    queue = finish(queue, event.attempt, now_ms)
    if item is None or event.failure is None:
        return queue
    adapter = item.work.adapter
    resident = queue.residents.get(adapter)
    adapter_missing = event.failure.reason is failures.Reason.LOAD_FAILED
    if not adapter_missing or resident is None:
        return queue
    if resident.phase is not states.ResidentPhase.READY:
        return queue
    return drop_resident(_record_order_end(queue, adapter, now_ms), adapter)


def _mark_used(
    queue: states.EndpointQueue, adapter: str, now_ms: int
) -> states.EndpointQueue:
    resident = queue.residents.get(adapter)
    if resident is None:
        return queue
    used = attrs.evolve(resident, used_ms=now_ms)
    return attrs.evolve(queue, residents={**queue.residents, adapter: used})


def set_resident(
    queue: states.EndpointQueue,
    adapter: str,
    phase: states.ResidentPhase,
    now_ms: int,
) -> states.EndpointQueue:
    """Return the queue with an adapter set to a phase."""
    resident = states.Resident(phase, now_ms)
    return attrs.evolve(
        queue, residents={**queue.residents, adapter: resident}
    )


def drop_resident(
    queue: states.EndpointQueue, adapter: str
) -> states.EndpointQueue:
    """Return the queue with a resident adapter removed."""
    kept = {
        name: resident
        for name, resident in queue.residents.items()
        if name != adapter
    }
    return attrs.evolve(queue, residents=kept)


def delay_load(
    queue: states.EndpointQueue, adapter: str, until_ms: int
) -> states.EndpointQueue:
    """Return the queue without an adapter whose load is to be retried later.

    :param until_ms: monotonic time before which the load is not retried
    """
    delays = {**queue.load_retry_ms, adapter: until_ms}
    return attrs.evolve(drop_resident(queue, adapter), load_retry_ms=delays)


def adopt_residents(
    queue: states.EndpointQueue, adapters: Collection[str], now_ms: int
) -> states.EndpointQueue:
    """Return the queue with loaded adapters added as inherited residents."""
    inherited = {
        adapter: states.Resident(
            states.ResidentPhase.READY, now_ms, inherited=True
        )
        for adapter in adapters
        if adapter not in queue.residents
    }
    return attrs.evolve(queue, residents={**queue.residents, **inherited})


def clear_inherited(
    queue: states.EndpointQueue, in_use: Collection[str]
) -> states.EndpointQueue:
    """Return the queue with the inherited mark removed from idle adapters."""
    residents = {
        adapter: (
            attrs.evolve(resident, inherited=False)
            if adapter not in in_use
            else resident
        )
        for adapter, resident in queue.residents.items()
    }
    return attrs.evolve(queue, residents=residents)


def end_load(
    queue: states.EndpointQueue, event: events.LoadEnded, now_ms: int
) -> states.EndpointQueue:
    """Return the queue after a load order ended."""
    queue = update_reachability(queue, event.failure)
    queue = _record_order_end(queue, event.adapter, now_ms)
    if event.failure is not None:
        return delay_load(queue, event.adapter, now_ms + LOAD_RETRY_MS)
    queue = set_resident(
        queue, event.adapter, states.ResidentPhase.READY, now_ms
    )
    return attrs.evolve(queue, fenced=True)


def _record_order_end(
    queue: states.EndpointQueue, adapter: str, now_ms: int
) -> states.EndpointQueue:
    recent = {
        name: ended_ms
        for name, ended_ms in queue.ordered_ms.items()
        if now_ms - ended_ms <= reports.REPORT_LAG_MS
    }
    return attrs.evolve(queue, ordered_ms={**recent, adapter: now_ms})


def update_reachability(
    queue: states.EndpointQueue, failure: failures.Failure | None
) -> states.EndpointQueue:
    """Return the queue with the reachability after an order or a report."""
    reachable = (
        failure is None
        or failure.reason is not failures.Reason.ENDPOINT_UNREACHABLE
    )
    return attrs.evolve(queue, reachable=reachable)


def record_fence_sent(
    queue: states.EndpointQueue, now_ms: int
) -> states.EndpointQueue:
    """Return the queue with the retry time after a fence was sent."""
    return attrs.evolve(queue, fence_retry_ms=now_ms + FENCE_RETRY_MS)


def end_fence(
    queue: states.EndpointQueue, event: events.FenceEnded
) -> states.EndpointQueue:
    """Return the queue with the result of a fence."""
    return attrs.evolve(queue, fenced=event.failure is None)


def end_unload(
    queue: states.EndpointQueue, event: events.UnloadEnded, now_ms: int
) -> states.EndpointQueue:
    """Return the queue after an unload order ended.

    After a failure the adapter may or may not be loaded. It is assumed to be
    loaded, so that its slot is not filled twice. A status report corrects a
    wrong assumption.
    """
    queue = _record_order_end(queue, event.adapter, now_ms)
    if event.failure is None:
        return drop_resident(queue, event.adapter)
    return set_resident(
        queue, event.adapter, states.ResidentPhase.READY, now_ms
    )


def classify_pace(
    queue: states.EndpointQueue,
    other_chunk_ms: Sequence[float],
    slots: int,
    now_ms: int,
) -> states.EndpointQueue:
    """Return the queue with its endpoint classified as slow or normal.

    :param other_chunk_ms: time between chunks in milliseconds at the other
        endpoints
    :param slots: number of slots of the endpoint
    """
    classified = paces.classify(
        queue.pace, other_chunk_ms, queue.streaming_since_ms, slots, now_ms
    )
    return (
        queue
        if classified == queue.pace
        else attrs.evolve(queue, pace=classified)
    )


def apply_report(
    queue: states.EndpointQueue,
    report: reports.LoadReport,
    owned_ms: int,
    now_ms: int,
) -> states.EndpointQueue:
    """Return the queue after a status report.

    :param owned_ms: how long this VM has owned the endpoint, in milliseconds.
        A report that is read more than `TAKEOVER_MS` after the claim was made
        after the former owner stopped. `TAKEOVER_MS` is the maximum lag of a
        report plus the time until the former owner is informed. The clocks of
        an endpoint and of a VM are never compared.
    """
    queue = attrs.evolve(queue, leaving=report.leaving, reachable=True)
    if report.boot != queue.boot:
        fresh = attrs.evolve(
            queue, boot=report.boot, residents={}, fenced=False
        )
        return adopt_residents(fresh, report.loaded, now_ms)
    queue = _reconcile_residents(queue, report, now_ms)
    if owned_ms <= TAKEOVER_MS:
        return queue
    in_use = [name for name, count in report.running.items() if count]
    return clear_inherited(queue, in_use)


def _reconcile_residents(
    queue: states.EndpointQueue, report: reports.LoadReport, now_ms: int
) -> states.EndpointQueue:
    """Return the queue with its residents corrected by a status report.

    The report stands in for the answers of orders that were lost. Adapters
    with an order within the lag of reports are left as they are.
    """
    settled = {
        adapter
        for adapter in {*queue.residents, *report.loaded}
        if now_ms - queue.ordered_ms.get(adapter, NEVER_MS)
        > reports.REPORT_LAG_MS
    }
    gone = {
        adapter
        for adapter, resident in queue.residents.items()
        if resident.phase is states.ResidentPhase.READY
        and adapter in settled - set(report.loaded)
        and adapter not in queue.pinned
    }
    kept = {
        adapter: resident
        for adapter, resident in queue.residents.items()
        if adapter not in gone
    }
    found = settled & set(report.loaded)
    return adopt_residents(
        attrs.evolve(queue, residents=kept), sorted(found), now_ms
    )
