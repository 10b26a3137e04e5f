"""The owner role: queues, loads and dispatches.

It follows controllers.dispatch.
"""

from __future__ import annotations

from collections.abc import Callable

from bench import permits
from bench import site as sites
from bronzetrack.core import failures
from bronzetrack.dispatch import context as contexts
from bronzetrack.dispatch import events
from bronzetrack.dispatch import placement
from bronzetrack.dispatch import planner
from bronzetrack.dispatch import state as states
from bronzetrack.dispatch import transitions
from bronzetrack.limits import admission
from bronzetrack.limits import usage
from bronzetrack.retries import policy as retry_policy
from bronzetrack.streaming import messages
from bronzetrack.streaming import outcomes

STEP_MS = 250
QUEUE_REQUESTS = 256
NO_PLACEMENT = placement.Placement()


class OwnerRole:
    """Runs the queues of all VMs."""

    # The entry role, which gets back what an owner refuses.
    resend: Callable[[sites.Outcome, sites.Vm], None]

    def __init__(self, site: sites.Site) -> None:
        self._site = site

    def step(self, vm: sites.Vm, after_ms: float) -> None:
        """Look at the queues of a VM after some time and then regularly."""

        def act() -> None:
            for name in self._site.list_owned(vm):
                self.advance(name)
            self.step(vm, STEP_MS)

        self._site.call_later(after_ms, act)

    def accept(self, outcome: sites.Outcome, entry: sites.Vm) -> None:
        """Queue a request or refuse it."""
        site = self._site
        name = outcome.endpoint
        queue = site.queues[name]
        if not queue.is_ready(outcome.arrival.adapter):
            outcome.stalled_ms = 0.0
        work = self._make_work(outcome)
        if not site.is_naive:
            failure = admission.check_admission(
                admission.Admission(
                    work,
                    queue,
                    site.rules,
                    site.endpoints[name].slots,
                    QUEUE_REQUESTS,
                )
            )
            if failure is not None:
                entry.in_flight[name] -= 1
                outcome.refusal = failure.reason.value
                return
        item = states.Waiting(work, entry.name, int(site.timeline.now_ms))
        site.queues[name] = transitions.enqueue(queue, item)
        self.advance(name)

    def _make_work(self, outcome: sites.Outcome) -> messages.SubmitWork:
        arrival = outcome.arrival
        rule = self._site.rules.classes[arrival.kind.work_class]
        return messages.SubmitWork(
            attempt=str(arrival.number),
            request=str(arrival.number),
            endpoint=outcome.endpoint,
            member=arrival.member,
            adapter=arrival.adapter,
            work_class=arrival.kind.work_class,
            method="POST",
            path="/v1/completions",
            body=b"",
            timeout_ms=rule.queue_timeout_ms,
            cost=arrival.cost,
            stream=True,
        )

    def advance(self, name: str) -> None:
        """Carry out what is due at an endpoint."""
        site = self._site
        vm = site.owners[name]
        permits.refresh(site, vm)
        now_ms = int(site.timeline.now_ms)
        if not site.is_naive:
            site.queues[name] = transitions.classify_pace(
                site.queues[name],
                vm.placements.get(name, NO_PLACEMENT).paces,
                site.endpoints[name].slots,
                now_ms,
            )
        plan = planner.plan_endpoint(
            site.queues[name], self._make_context(name, vm), now_ms
        )
        for attempt, failure in plan.refuse:
            self._refuse(name, attempt, failure)
        for attempt in plan.start:
            self._start(name, vm, attempt)
        for adapter in plan.loads.load:
            self._load(name, vm, adapter)
        for adapter in plan.loads.unload:
            site.queues[name] = transitions.drop_resident(
                site.queues[name], adapter
            )
        if plan.loads.unload:
            self.advance(name)
            return
        vm.plans[name] = plan.loads
        permits.request_tokens(site, vm, self.advance)

    def _make_context(
        self, name: str, vm: sites.Vm
    ) -> contexts.EndpointContext:
        site = self._site
        whole = int(vm.permits.bucket.tokens)
        if whole > 0:
            whole = min(permits.count_places(site, vm), whole)
        known: dict[str, float] = {}
        if not site.is_naive:
            reported = (
                other.reported_usage
                for other in site.vms.values()
                if other is not vm
            )
            known = usage.sum_usage((vm.usage, *reported))
        return contexts.EndpointContext(
            endpoint=site.endpoints[name],
            rules=site.rules,
            may_load=True,
            may_unload=True,
            load_permits=max(0, whole),
            usage=known,
            placement=vm.placements.get(name, NO_PLACEMENT),
            quotas=vm.quotas,
            may_prefetch=vm.permits.may_prefetch(),
        )

    def _refuse(
        self, name: str, attempt: str, failure: failures.Failure
    ) -> None:
        site = self._site
        queue = site.queues[name]
        item = next(
            item for item in queue.waiting if item.work.attempt == attempt
        )
        site.queues[name] = transitions.remove_waiting(queue, {attempt})
        entry = site.vms[item.sender]
        entry.in_flight[name] -= 1
        outcome = site.outcomes[int(attempt)]
        outcome.refusal = failure.reason.value
        failed = retry_policy.FailedAttempt(
            outcome=outcomes.Outcome.REFUSED,
            failure=failure,
            lost=False,
            repeatable=True,
            resumable=False,
            isolated=False,
            attempts=outcome.attempts,
            resumes=0,
            chunks_passed=0,
        )
        if retry_policy.may_retry(failed, entry.budget):
            outcome.refusal = ""
            outcome.excluded.add(name)
            site.call_later(sites.HOP_MS, lambda: self.resend(outcome, entry))
            return
        if outcome.stalled_ms is not None and not outcome.stalled_ms:
            outcome.stalled_ms = site.timeline.now_ms - item.queued_ms

    def _start(self, name: str, vm: sites.Vm, attempt: str) -> None:
        site = self._site
        queue = transitions.start(
            site.queues[name], attempt, int(site.timeline.now_ms)
        )
        site.queues[name] = queue
        item = queue.running[attempt]
        contended = queue.has_waiting_competitor(item.work.member)
        if contended:
            vm.usage = usage.charge(vm.usage, item.work.member, item.work.cost)
        outcome = site.outcomes[int(attempt)]
        outcome.started_ms = site.timeline.now_ms
        site.served.append(
            sites.Start(
                site.timeline.now_ms,
                item.work.member,
                item.work.cost,
                contended,
            )
        )

        def record_first_chunk() -> None:
            outcome.first_ms = site.timeline.now_ms

        def end() -> None:
            outcome.ended_ms = site.timeline.now_ms
            site.vms[item.sender].in_flight[name] -= 1
            site.queues[name] = transitions.finish(
                site.queues[name], attempt, int(site.timeline.now_ms)
            )
            self.advance(name)

        site.engines[name].start(
            attempt,
            outcome.arrival.kind.prompt,
            outcome.arrival.output,
            record_first_chunk,
            end,
        )

    def _load(self, name: str, vm: sites.Vm, adapter: str) -> None:
        site = self._site
        site.queues[name] = transitions.set_resident(
            site.queues[name],
            adapter,
            states.ResidentPhase.LOADING,
            int(site.timeline.now_ms),
        )
        vm.permits = vm.permits.replace_bucket(vm.permits.bucket.take(1))
        site.store.load(lambda: self._end_load(name, adapter))

    def _end_load(self, name: str, adapter: str) -> None:
        site = self._site
        now_ms = site.timeline.now_ms
        queue = site.queues[name]
        for item in queue.waiting:
            if item.work.adapter == adapter:
                outcome = site.outcomes[int(item.work.attempt)]
                outcome.stalled_ms = now_ms - item.queued_ms
        site.queues[name] = transitions.end_load(
            queue, events.LoadEnded(name, adapter), int(now_ms)
        )
        self.advance(name)
