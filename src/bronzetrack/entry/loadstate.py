"""What the holder of the lease keeps of engines, demands and uses."""

from __future__ import annotations

from collections.abc import Mapping

import attrs

from bronzetrack.entry import endpoints
from bronzetrack.entry import loadtimes

# Half-life of the use of adapters.
HEAT_HALF_S = 15.0
# Use below this, in requests times seconds, is forgotten.
LEAST_HEAT = 0.001
# Adapters per engine that are remembered as held before. Engines keep the
# weights of the latest ones only.
MOST_SEEN = 128
# Time from a request's arrival at an engine to the first event.
FIRST_EVENT_S = 0.15
# Loads on their way are counted in steps of this many, since many slow each
# other down.
FLIGHT_STEP = 8


@attrs.define(eq=False)
class EngineState:
    """What the holder of the lease knows of one engine.

    :param sequence: orders that the engine has accepted
    :param seen: adapters that the engine held before, the latest last
    :param held: version of each adapter that takes a place, also of those
        that are on their way or being dropped
    :param pending: when each adapter on its way will be there
    :param unloading: adapters that the engine drops once their requests end
    :param loaded_at: when each adapter was announced as loaded
    :param kinds: kind of the last load of each adapter
    :param ordering: an order has not been answered yet
    :param silent_until: until when it counts as out of reach
    :param check_at: when to ask for a report before the next order
    """

    started_ms: int
    sequence: int = 0
    held: dict[endpoints.Need, int] = attrs.field(factory=dict)
    seen: dict[endpoints.Need, None] = attrs.field(factory=dict)
    pending: dict[endpoints.Need, float] = attrs.field(factory=dict)
    unloading: set[endpoints.Need] = attrs.field(factory=set)
    loaded_at: dict[endpoints.Need, float] = attrs.field(factory=dict)
    kinds: dict[endpoints.Need, loadtimes.LoadKind] = attrs.field(factory=dict)
    ordering: bool = False
    silent_until: float = 0.0
    check_at: float | None = 0.0
    loading_until: float = 0.0

    def note_seen(self, need: endpoints.Need) -> None:
        """Take in that the engine holds an adapter."""
        self.seen.pop(need, None)
        self.seen[need] = None
        while len(self.seen) > MOST_SEEN:
            del self.seen[next(iter(self.seen))]

    def has_seen(self, need: endpoints.Need) -> bool:
        """Return whether the engine has an adapter's weights, probably."""
        return need in self.seen

    def forget(self) -> None:
        """Drop what is known of adapters that take no place."""
        for times in (self.loaded_at, self.kinds):
            for need in set(times) - set(self.held):
                del times[need]


@attrs.define(eq=False)
class Demand:
    """An adapter that VMs asked for and no engine holds yet.

    :param since: when it was first asked for
    :param due: until when the most urgent request that can still be on time
        is on time, or the latest of those that cannot
    """

    service: str
    need: endpoints.Need
    version: int
    copies: int
    due: float
    last_at: float
    since: float

    def note_due(self, due: float, soonest: float) -> None:
        """Take in one more request.

        The time of newer requests must not stand for the older ones: a
        demand that is asked for again and again would never be urgent.

        :param soonest: earliest time of a first event
        """
        if self.due >= soonest and due >= soonest:
            self.due = min(self.due, due)
        else:
            self.due = max(self.due, due)


@attrs.define(eq=False)
class LoadingState:
    """All that the holder of the lease keeps.

    :param heat: decayed use of each adapter, and as of when
    :param used_at: when an adapter was last in use at an engine
    :param started_at: since when this VM gives orders, if it does
    :param ended: it gives no more orders, and announces its last loads
    :param times: how long loads take
    """

    engines: dict[str, EngineState] = attrs.field(factory=dict)
    demands: dict[tuple[str, endpoints.Need], Demand] = attrs.field(
        factory=dict
    )
    heat: dict[endpoints.Need, tuple[float, float]] = attrs.field(factory=dict)
    used_at: dict[tuple[str, endpoints.Need], float] = attrs.field(
        factory=dict
    )
    noted_at: float = 0.0
    started_at: float | None = None
    ended: bool = False
    times: loadtimes.LoadTimes = attrs.field(factory=loadtimes.LoadTimes)
    model_loads: list[float] = attrs.field(factory=list)
    forgot_at: float = 0.0

    def find_engine(self, endpoint: endpoints.Endpoint) -> EngineState:
        """Return the state of an engine, new after another start."""
        state = self.engines.get(endpoint.identity)
        if state is None or state.started_ms != endpoint.started_ms:
            state = EngineState(endpoint.started_ms)
            self.engines[endpoint.identity] = state
        return state

    def note_uses(
        self, uses: Mapping[tuple[str, endpoints.Need], int], now: float
    ) -> None:
        """Take in what is in use now."""
        elapsed = min(1.0, max(0.0, now - self.noted_at))
        self.noted_at = now
        for (identity, need), count in uses.items():
            self.used_at[(identity, need)] = now
            heat = self.measure_heat(need, now) + count * elapsed
            self.heat[need] = (heat, now)

    def measure_heat(self, need: endpoints.Need, now: float) -> float:
        """Return the decayed use of an adapter."""
        value, at = self.heat.get(need, (0.0, now))
        return value * 0.5 ** ((now - at) / HEAT_HALF_S)

    def forget(self, now: float) -> None:
        """Drop what decides nothing any more."""
        self.forgot_at = now
        self.used_at = {
            (identity, need): at
            for (identity, need), at in self.used_at.items()
            if identity in self.engines and need in self.engines[identity].held
        }
        self.heat = {
            need: found
            for need, found in self.heat.items()
            if self.measure_heat(need, now) > LEAST_HEAT
        }
        for known in self.engines.values():
            known.forget()

    def measure_margin(self) -> float:
        """Return the time from an order to the first event."""
        return self.times.expect(loadtimes.UNKNOWN_KIND) + FIRST_EVENT_S

    def classify_load(
        self, known: EngineState, need: endpoints.Need
    ) -> loadtimes.LoadKind:
        """Return the kind of a load that starts now."""
        flight = sum(len(item.pending) for item in self.engines.values())
        return loadtimes.LoadKind(known.has_seen(need), flight // FLIGHT_STEP)
