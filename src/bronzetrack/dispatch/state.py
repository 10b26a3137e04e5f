"""The queue, the runs and the loaded adapters of owned endpoints."""

from __future__ import annotations

from collections.abc import Mapping
import enum

import attrs

from bronzetrack.dispatch import pace as paces
from bronzetrack.streaming import messages


@attrs.frozen
class Waiting:
    """Work in the queue of an endpoint.

    :param sender: the VM that gets the answer
    :param queued_ms: monotonic time of arrival
    """

    work: messages.SubmitWork
    sender: str
    queued_ms: int


@attrs.frozen
class Running:
    """Work that holds a slot of an endpoint."""

    work: messages.SubmitWork
    sender: str
    started_ms: int


class ResidentPhase(enum.Enum):
    """The state of an adapter version at an endpoint."""

    LOADING = "loading"
    READY = "ready"
    UNLOADING = "unloading"


@attrs.frozen
class Resident:
    """An adapter version that takes an adapter slot.

    :param inherited: whether requests of a former owner may still use it
    """

    phase: ResidentPhase
    used_ms: int
    inherited: bool = False


@attrs.frozen
class EndpointQueue:
    """Everything that the owner of one endpoint knows about it.

    :param waiting: in order of arrival
    :param running: by attempt
    :param residents: by `name@version`
    :param load_retry_ms: monotonic time before which a load that failed is
        not tried again, by `name@version`
    :param ordered_ms: monotonic time at which the last order ended, by
        `name@version`; load reports say so late
    :param boot: the run of the engine that the residents belong to
    :param fenced: whether the engine has seen the fencing number of this VM
    :param fence_retry_ms: monotonic time before which no fence is sent again
    :param pace: how fast the endpoint answers
    :param leaving: whether the endpoint says that it is leaving
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

    @property
    def is_busy(self) -> bool:
        """Whether work waits or runs."""
        return bool(self.waiting or self.running)

    @property
    def is_releasable(self) -> bool:
        """Whether no work and no order of this VM is on its way."""
        return not self.is_busy and all(
            resident.phase is ResidentPhase.READY
            for resident in self.residents.values()
        )

    @property
    def streaming_since_ms(self) -> int | None:
        """Start of the oldest stream that runs here, if any."""
        return min(
            (
                item.started_ms
                for item in self.running.values()
                if item.work.stream
            ),
            default=None,
        )

    @property
    def pinned(self) -> frozenset[str]:
        """Adapter versions that queued or running work needs."""
        waiting = {item.work.adapter for item in self.waiting}
        running = {item.work.adapter for item in self.running.values()}
        return frozenset(waiting | running)


@attrs.frozen
class DispatchState:
    """The section of the dispatch controller.

    :param endpoints: queue by owned endpoint
    :param usage: decayed cost of the work started here, by member
    """

    endpoints: Mapping[str, EndpointQueue] = attrs.field(factory=dict)
    usage: Mapping[str, float] = attrs.field(factory=dict)
