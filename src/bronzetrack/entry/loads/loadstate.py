"""State that the lease holder keeps of engines, demands and adapter use."""

from __future__ import annotations

import collections
from collections.abc import Mapping
import math

import attrs

from bronzetrack.entry import endpoints
from bronzetrack.entry.loads import loadtimes

# Half-life of the decayed use of an adapter.
USE_HALF_LIFE_S = 15.0
# Decayed use below this, in requests times seconds, is discarded.
MIN_DECAYED_USE = 0.001
# Maximum number of adapters per engine whose weights are assumed to be in its
# memory. Engines keep only the weights of the most recent ones there.
MAX_CACHED = 128
# Time from the arrival of a request at an engine to the first server-sent
# event of the answer.
FIRST_EVENT_S = 0.15
# Loads in progress are grouped in steps of this many, because concurrent loads
# slow each other down.
IN_FLIGHT_STEP = 8
# When an adapter is expected to be ready whose load was ordered, but whose
# order has not been answered.
UNANSWERED = math.inf


# Load pattern: a hundred requests a second ask for further copies of one
# adapter. Its holders are announced again at most once in this time.
REPUBLISH_INTERVAL_S = 0.5
# Granted copies are remembered for this time, which is longer than they limit
# the next decision.
GRANT_TTL_S = 3.0
# Load requests that are counted for one demand. More than these change
# neither its rank nor the number of copies.
MAX_RECENT = 256


@attrs.define(eq=False)
class EngineState:
    """State of one engine as the holder of the lease knows it.

    :param started_ms: Unix time of the engine's start, in milliseconds
    :param sequence: number of orders that the engine has accepted
    :param held: version of each adapter that occupies a slot, including
        adapters that are being loaded or unloaded
    :param cached: adapters that the engine holds or held before, the most
        recent last; their weights are probably still in its memory
    :param pending: when each adapter that is being loaded is expected to be
        ready; only the answer to an order replaces UNANSWERED
    :param unloading: adapters that the engine unloads once their requests end
    :param planned: adapter and version whose load is planned, until its slot
        is occupied or the order is given up
    :param loaded_at: when each adapter was announced as loaded, until the
        next order for it
    :param kinds: kind of the last load of each adapter
    :param call_pending: whether an order or a request for a report has
        not been answered yet
    :param unreachable_until: until when the engine counts as unreachable
    :param report_due_at: when to request a report, which has to precede the
        next order; None if no report is needed
    :param loading_until: until when a base model may still be loading
    """

    started_ms: int
    sequence: int = 0
    held: dict[endpoints.ModelKey, int] = attrs.field(factory=dict)
    cached: dict[endpoints.ModelKey, None] = attrs.field(factory=dict)
    pending: dict[endpoints.ModelKey, float] = attrs.field(factory=dict)
    unloading: set[endpoints.ModelKey] = attrs.field(factory=set)
    planned: tuple[endpoints.ModelKey, int] | None = None
    loaded_at: dict[endpoints.ModelKey, float] = attrs.field(factory=dict)
    kinds: dict[endpoints.ModelKey, loadtimes.LoadKind] = attrs.field(
        factory=dict
    )
    call_pending: bool = False
    unreachable_until: float = 0.0
    report_due_at: float | None = 0.0
    loading_until: float = 0.0

    def record_cached(self, model_key: endpoints.ModelKey) -> None:
        """Record that the engine holds an adapter."""
        self.cached.pop(model_key, None)
        self.cached[model_key] = None
        while len(self.cached) > MAX_CACHED:
            del self.cached[next(iter(self.cached))]

    def is_cached(self, model_key: endpoints.ModelKey) -> bool:
        """Return whether the engine probably has an adapter's weights."""
        return model_key in self.cached

    def begin_load(self, model_key: endpoints.ModelKey, version: int) -> None:
        """Record that the engine is ordered to load an adapter.

        Its slot counts as occupied before the answer, which may be lost.
        """
        self.held[model_key] = version
        self.loaded_at.pop(model_key, None)
        self.pending[model_key] = UNANSWERED

    def begin_unload(self, model_key: endpoints.ModelKey) -> None:
        """Record that the engine is ordered to unload an adapter.

        Late reports that the engine lacks it say nothing about its load.
        """
        self.loaded_at.pop(model_key, None)

    def is_loaded(self, model_key: endpoints.ModelKey) -> bool:
        """Return whether an adapter was announced as held by the engine."""
        return model_key in self.held and model_key not in self.pending

    def is_order_unanswered(self, model_key: endpoints.ModelKey) -> bool:
        """Return whether an order to load an adapter awaits its answer."""
        return self.pending.get(model_key) == UNANSWERED

    def is_planned(self, model_key: endpoints.ModelKey, version: int) -> bool:
        """Return whether a load of an adapter is planned.

        :param version: oldest version of the adapter that may be used
        """
        return (
            self.planned is not None
            and self.planned[0] == model_key
            and self.planned[1] >= version
        )

    def prune(self) -> None:
        """Discard when and how adapters that occupy no slot were loaded."""
        for times in (self.loaded_at, self.kinds):
            for model_key in set(times) - set(self.held):
                del times[model_key]


@attrs.define(eq=False)
class Demand:
    """An adapter that VMs requested and too few engines hold yet.

    :param version: oldest version of the adapter that may be used
    :param copies: number of engines that should hold the adapter
    :param deadline: deadline of the most urgent request that can still be met
        on time, or the latest deadline if none can
    :param last_at: when the adapter was last requested
    :param since: when the adapter was first requested
    :param recent: time and number of copies of the latest load requests
    """

    service: str
    model_key: endpoints.ModelKey
    version: int
    copies: int
    deadline: float
    last_at: float
    since: float
    recent: collections.deque[tuple[float, int]] = attrs.field(
        factory=lambda: collections.deque(maxlen=MAX_RECENT)
    )

    def count_recent(self, since: float) -> int:
        """Return the number of load requests since a time."""
        return sum(at >= since for at, _ in self.recent)

    def find_most_copies(self, since: float) -> int:
        """Return the most copies that were asked for since a time."""
        return max(
            (copies for at, copies in self.recent if at >= since), default=1
        )

    def update_deadline(self, deadline: float, soonest: float) -> None:
        """Update the deadline for one more request.

        Keeps the earlier deadline if both can be met, and the later one
        otherwise. Taking the newest deadline each time would keep a demand
        that is requested repeatedly from becoming urgent.

        :param deadline: deadline of the request
        :param soonest: earliest possible time of a first event
        """
        if self.deadline >= soonest and deadline >= soonest:
            self.deadline = min(self.deadline, deadline)
        else:
            self.deadline = max(self.deadline, deadline)


@attrs.frozen
class GrantedCopies:
    """Copies of an adapter that the holder of the lease decided on.

    :param at: when it did so
    """

    copies: int
    at: float


@attrs.define(eq=False)
class LoadingState:
    """Complete loading state of the holder of the lease.

    :param engines: state of each engine by its id
    :param demands: unmet demands by service, model and adapter
    :param requesters: VMs that requested each model or adapter since it was
        last announced
    :param decayed_use: decayed use of each adapter and the time that it is for
    :param used_at: when each adapter was last in use at each engine
    :param uses: number of VMs that use each adapter now, by engine and adapter
    :param uses_updated_at: when the use of adapters was last recorded
    :param started_at: when this VM started to give orders; None if it gives
        none
    :param ended: whether this VM gives no more orders and only announces its
        last loads
    :param times: expected durations of loads
    :param model_loads: times of recent orders to load a base model
    :param pruned_at: when obsolete entries were last discarded
    :param planned_loads: number of loads that were planned
    :param granted: latest number of copies of each adapter with several
    :param republished_at: when the holders of each adapter were last announced
        again because a VM asked for further copies
    """

    engines: dict[str, EngineState] = attrs.field(factory=dict)
    demands: dict[tuple[str, endpoints.ModelKey], Demand] = attrs.field(
        factory=dict
    )
    requesters: dict[endpoints.ModelKey, set[str]] = attrs.field(factory=dict)
    decayed_use: dict[endpoints.ModelKey, tuple[float, float]] = attrs.field(
        factory=dict
    )
    used_at: dict[tuple[str, endpoints.ModelKey], float] = attrs.field(
        factory=dict
    )
    uses: Mapping[tuple[str, endpoints.ModelKey], int] = attrs.field(
        factory=dict
    )
    uses_updated_at: float = 0.0
    started_at: float | None = None
    ended: bool = False
    times: loadtimes.LoadTimes = attrs.field(factory=loadtimes.LoadTimes)
    model_loads: list[float] = attrs.field(factory=list)
    pruned_at: float = 0.0
    planned_loads: int = 0
    granted: dict[endpoints.ModelKey, GrantedCopies] = attrs.field(
        factory=dict
    )
    republished_at: dict[endpoints.ModelKey, float] = attrs.field(factory=dict)

    def get_or_create_engine(
        self, endpoint: endpoints.Endpoint
    ) -> EngineState:
        """Return the state of an engine, which is reset when it restarts."""
        state = self.engines.get(endpoint.identity)
        if state is None or state.started_ms != endpoint.started_ms:
            state = EngineState(endpoint.started_ms)
            self.engines[endpoint.identity] = state
        return state

    def may_republish(self, model_key: endpoints.ModelKey, now: float) -> bool:
        """Return whether to announce the holders of an adapter again now.

        A positive answer counts as an announcement.
        """
        at = self.republished_at.get(model_key, -math.inf)
        if now - at < REPUBLISH_INTERVAL_S:
            return False
        self.republished_at[model_key] = now
        return True

    def record_grant(
        self, model_key: endpoints.ModelKey, copies: int, now: float
    ) -> None:
        """Record on how many copies a load is based.

        Further loads for the same number do not postpone the next decision.
        """
        known = self.granted.get(model_key)
        if known is None or known.copies < copies:
            self.granted[model_key] = GrantedCopies(copies, now)

    def record_uses(
        self, uses: Mapping[tuple[str, endpoints.ModelKey], int], now: float
    ) -> None:
        """Record which adapters are in use now.

        :param uses: number of VMs that use each adapter, by engine and adapter
        """
        elapsed = min(1.0, max(0.0, now - self.uses_updated_at))
        self.uses_updated_at = now
        self.uses = uses
        for (identity, model_key), count in uses.items():
            self.used_at[(identity, model_key)] = now
            decayed_use = (
                self.compute_decayed_use(model_key, now) + count * elapsed
            )
            self.decayed_use[model_key] = (decayed_use, now)

    def compute_decayed_use(
        self, model_key: endpoints.ModelKey, now: float
    ) -> float:
        """Return the decayed use of an adapter in requests times seconds."""
        value, at = self.decayed_use.get(model_key, (0.0, now))
        return value * 0.5 ** ((now - at) / USE_HALF_LIFE_S)

    def prune(self, now: float) -> None:
        """Discard entries that no longer affect any decision."""
        self.pruned_at = now
        self.used_at = {
            (identity, model_key): at
            for (identity, model_key), at in self.used_at.items()
            if identity in self.engines
            and model_key in self.engines[identity].held
        }
        self.decayed_use = {
            model_key: found
            for model_key, found in self.decayed_use.items()
            if self.compute_decayed_use(model_key, now) > MIN_DECAYED_USE
        }
        self.republished_at = {
            model_key: at
            for model_key, at in self.republished_at.items()
            if now - at < REPUBLISH_INTERVAL_S
        }
        self.granted = {
            model_key: granted
            for model_key, granted in self.granted.items()
            if now - granted.at < GRANT_TTL_S
        }
        awaited = {key for _, key in self.demands}
        for engine in self.engines.values():
            engine.prune()
            awaited.update(engine.pending)
        self.requesters = {
            model_key: vms
            for model_key, vms in self.requesters.items()
            if model_key in awaited
        }

    def estimate_first_event_delay(self) -> float:
        """Return the expected seconds from an order to the first event."""
        return self.times.estimate(loadtimes.UNKNOWN_KIND) + FIRST_EVENT_S

    def classify_load(
        self, engine: EngineState, model_key: endpoints.ModelKey
    ) -> loadtimes.LoadKind:
        """Return the kind of a load that an engine starts now."""
        in_flight = sum(len(item.pending) for item in self.engines.values())
        return loadtimes.LoadKind(
            engine.is_cached(model_key), in_flight // IN_FLIGHT_STEP
        )
