"""State of owned endpoints: queue, running work and loaded adapters."""

from __future__ import annotations

from collections.abc import Mapping
import enum

import attrs

from bronzetrack.dispatch import pace as paces
from bronzetrack.streaming import messages


@attrs.frozen
class Waiting:
    """Work in the queue of an endpoint.

    :param sender: the VM that receives the answer
    :param queued_ms: monotonic time of arrival in the queue
    """

    work: messages.SubmitWork
    sender: str
    queued_ms: int


@attrs.frozen
class Running:
    """Work that occupies a slot of an endpoint.

    :param sender: the VM that receives the answer
    :param started_ms: monotonic time at which the work took the slot
    """

    work: messages.SubmitWork
    sender: str
    started_ms: int


class ResidentPhase(enum.Enum):
    """Phases of an adapter version that takes an adapter slot."""

    LOADING = "loading"
    READY = "ready"
    UNLOADING = "unloading"


@attrs.frozen
class Resident:
    """An adapter version that takes an adapter slot.

    :param used_ms: monotonic time of the last use or change of phase
    :param inherited: whether requests that a former owner started may still
        use the adapter
    """

    phase: ResidentPhase
    used_ms: int
    inherited: bool = False


@attrs.frozen
class EndpointQueue:
    """Holds the state of one endpoint as its owner maintains it.

    :param waiting: queued work in order of arrival
    :param running: work that occupies slots, by attempt
    :param residents: adapter versions that take adapter slots, by
        `name@version`
    :param load_retry_ms: monotonic time before which a failed load is not
        retried, by `name@version`
    :param ordered_ms: monotonic time at which the last order ended, by
        `name@version`; load reports reflect an order only after a lag
    :param boot: the run of the engine that the residents belong to
    :param fenced: whether the engine has seen the fencing token of this VM
    :param fence_retry_ms: monotonic time before which no further fence is sent
    :param pace: observed speed of the endpoint
    :param leaving: whether the load report says that the endpoint is leaving
    :param reachable: whether the endpoint answered the last order or report
    """

    waiting: tuple[Waiting, ...] = ()
    running: Mapping[str, Running] = attrs.field(factory=dict)
    residents: Mapping[str, Resident] = attrs.field(factory=dict)
    load_retry_ms: Mapping[str, int] = attrs.field(factory=dict)
    ordered_ms: Mapping[str, int] = attrs.field(factory=dict)
    boot: str = ""
    fenced: bool = False
    fence_retry_ms: int = 0
    pace: paces.Pace = attrs.field(factory=paces.Pace)
    leaving: bool = False
    reachable: bool = True

    @property
    def is_busy(self) -> bool:
        """Whether work is waiting or running."""
        return bool(self.waiting or self.running)

    @property
    def is_releasable(self) -> bool:
        """Whether no work and no order of this VM is in progress."""
        return not self.is_busy and all(
            resident.phase is ResidentPhase.READY
            for resident in self.residents.values()
        )

    @property
    def streaming_since_ms(self) -> int | None:
        """Monotonic start time of the oldest running stream, if any."""
        return min(
            (
                item.started_ms
                for item in self.running.values()
                if item.work.stream
            ),
            default=None,
        )

    def is_ready(self, adapter: str) -> bool:
        """Return whether the adapter that work needs is loaded.

        Work without an adapter, given as an empty string, is always ready.
        """
        if not adapter:
            return True
        resident = self.residents.get(adapter)
        return resident is not None and resident.phase is ResidentPhase.READY

    def has_waiting_competitor(self, member: str) -> bool:
        """Return whether work of another member lacks only a slot."""
        return any(
            item.work.member != member and self.is_ready(item.work.adapter)
            for item in self.waiting
        )

    @property
    def pinned(self) -> frozenset[str]:
        """Adapter versions that waiting or running work needs."""
        waiting = {item.work.adapter for item in self.waiting}
        running = {item.work.adapter for item in self.running.values()}
        return frozenset(waiting | running)


@attrs.frozen
class DispatchState:
    """Blackboard section of the dispatch controller.

    :param endpoints: queue by owned endpoint
    :param usage: decayed cost by member of the work that started here while
        work of another member waited
    """

    endpoints: Mapping[str, EndpointQueue] = attrs.field(factory=dict)
    usage: Mapping[str, float] = attrs.field(factory=dict)
