"""Endpoints and the models and adapters that they hold, as known here."""

from __future__ import annotations

import enum

import attrs

from bronzetrack.core import positions

# Model and adapter that a request is for. The adapter is empty where the
# request is for the base model.
ModelKey = tuple[str, str]

# Announcements reach this VM with at most about this delay.
MAX_ANNOUNCEMENT_DELAY_S = 3.0
# Removed endpoints stay listed for this time, as their entries may return
# after an outage of the store.
LISTED_S = 2.0
# What is known of a removed endpoint is kept for this time. Calls of the store
# may be executed seconds later, and an endpoint may go on after its removal.
REMEMBERED_S = 300.0
# An endpoint that has returned announces itself again within this time.
CONFIRMATION_S = 4.0


class Source(enum.Enum):
    """How this VM learnt something about an endpoint.

    LISTING is a read of the newest entries of all endpoints, ENTRY one of the
    entries that followed, ANSWER an answer of the endpoint to this VM.
    """

    ENTRY = "entry"
    LISTING = "listing"
    ANSWER = "answer"
    PEER = "peer"


@attrs.frozen
class Evidence:
    """Where a statement about an endpoint comes from.

    :param offset: position of the record in the store, `None` without one
    """

    source: Source
    offset: positions.Position | None = None

    @property
    def log_offset(self) -> int | None:
        """Offset of the record in its topic, `None` without one."""
        offset = self.offset
        return None if offset is None else positions.get_offset(offset)


@attrs.frozen
class Departure:
    """Knowledge that a start of an endpoint leaves.

    :param known_at: when this VM first knew it
    """

    known_at: float
    evidence: Evidence


@attrs.frozen
class Return:
    """First announcement of an endpoint after its removal.

    It may have been sent before the removal and written late.
    """

    announcement_count: int
    seen_at: float


@attrs.frozen
class LeavingNotice:
    """Statement that a start of an endpoint leaves, not from its entry.

    :param start: id of the endpoint's start
    """

    identity: str
    start: str
    source: Source


@attrs.frozen
class RemovalNotice:
    """Statement of another VM that the entry of an endpoint was removed.

    :param start: id of the endpoint's start
    :param announcement: number of its last announcement
    """

    identity: str
    start: str
    announcement: int


@attrs.define(eq=False)
class Endpoint:
    """An endpoint with its last announcement and later placements.

    :param identity: id of the endpoint, which changes with most starts
    :param started_ms: Unix time of the endpoint's start, in milliseconds
    :param announcement_count: number of the latest announcement
    :param models: version of each base model held, by name
    :param adapters: version of each adapter held, by model and name
    :param draining: whether its latest announcement said that it leaves
    :param departure: since when this start of the endpoint is known to leave,
        from whatever source. No later announcement takes that back.
    :param removed_at: time from which the endpoint counts as removed, `None`
        while it has an entry
    :param is_lost: whether it has no entry because the store was restored
        from an older copy
    :param returned: first announcement after its removal, which a later one
        has to confirm
    :param stops_at: when the endpoint will be stopped, if that was announced
    :param placement_reported_at: when the holder of the lease last reported
        whether the endpoint holds a model or an adapter
    """

    identity: str
    service: str
    address: str
    zone: str
    capacity: int
    started_ms: int = 0
    announcement_count: int = 0
    models: dict[str, int] = attrs.field(factory=dict)
    adapters: dict[ModelKey, int] = attrs.field(factory=dict)
    draining: bool = False
    departure: Departure | None = None
    removed_at: float | None = None
    is_lost: bool = False
    returned: Return | None = None
    stops_at: float | None = None
    placement_reported_at: dict[ModelKey, float] = attrs.field(factory=dict)

    @property
    def start(self) -> str:
        """Id of this start of the endpoint, which may keep its own id."""
        return f"{self.identity}/{self.started_ms}"

    def is_usable(self, now: float) -> bool:
        """Return whether new requests may be sent to the endpoint."""
        if self.departure is not None:
            return False
        return self.removed_at is None or now < self.removed_at

    def is_removed_for(self, time_s: float, now: float) -> bool:
        """Return whether the endpoint was removed longer ago than a time."""
        return self.removed_at is not None and now > self.removed_at + time_s

    def confirm_return(self, announcement_count: int, now: float) -> bool:
        """Return whether the endpoint has come back after its removal."""
        if self.removed_at is None or now < self.removed_at:
            return True
        if self.returned is None:
            self.returned = Return(announcement_count, now)
        return announcement_count > self.returned.announcement_count

    def is_returning(self, now: float) -> bool:
        """Return whether a second announcement is to be expected soon."""
        if self.returned is None:
            return False
        return now - self.returned.seen_at < CONFIRMATION_S

    def is_outdated(self, announcement_count: int) -> bool:
        """Return whether an announcement of this start is not the latest.

        One that is repeated after its removal was written late, unless the
        store had lost it.
        """
        if self.removed_at is not None and not self.is_lost:
            return announcement_count <= self.announcement_count
        return announcement_count < self.announcement_count

    def holds(self, model_key: ModelKey, version: int) -> bool:
        """Return whether the endpoint holds a model or an adapter.

        :param version: oldest version of the adapter that may be used
        """
        model, adapter = model_key
        if not adapter:
            return model in self.models
        return self.adapters.get(model_key, 0) >= version

    def apply_placement(
        self, model_key: ModelKey, version: int, now: float
    ) -> None:
        """Apply a report of the lease holder about a model or an adapter.

        :param version: version held, 0 for none
        """
        self.placement_reported_at[model_key] = now
        self._set_version(model_key, version)

    def apply_announcement(
        self,
        models: dict[str, int],
        adapters: dict[ModelKey, int],
        now: float,
    ) -> None:
        """Apply the models and adapters that the endpoint announced.

        An announcement arrives with a delay. Reports that the holder of the
        lease sent within that delay are newer and take precedence.
        """
        self.placement_reported_at = {
            model_key: at
            for model_key, at in self.placement_reported_at.items()
            if now - at < MAX_ANNOUNCEMENT_DELAY_S
        }
        kept = {
            model_key: self._get_version(model_key)
            for model_key in self.placement_reported_at
        }
        self.models = dict(models)
        self.adapters = dict(adapters)
        for model_key, version in kept.items():
            self._set_version(model_key, version)

    def _get_version(self, model_key: ModelKey) -> int:
        model, adapter = model_key
        if adapter:
            return self.adapters.get(model_key, 0)
        return self.models.get(model, 0)

    def _set_version(self, model_key: ModelKey, version: int) -> None:
        model, adapter = model_key
        if adapter and version:
            self.adapters[model_key] = version
        elif adapter:
            self.adapters.pop(model_key, None)
        elif version:
            self.models[model] = version
        else:
            self.models.pop(model, None)


@attrs.define(eq=False)
class EndpointTable:
    """All known endpoints by id and by service.

    :param unlisted: endpoints without an entry, by id. They are kept for a
        while, so that nothing older than what is known of them counts.
    :param read_offset: offset of the next entry that this VM reads
    :param changed_offset: offset after the last record by which an endpoint
        came, left or changed its state
    """

    by_identity: dict[str, Endpoint] = attrs.field(factory=dict)
    by_service: dict[str, list[Endpoint]] = attrs.field(factory=dict)
    unlisted: dict[str, Endpoint] = attrs.field(factory=dict)
    read_offset: int = 0
    changed_offset: int = 0

    def add(self, endpoint: Endpoint) -> None:
        """Add an endpoint, replacing one with the same id."""
        self.remove(endpoint.identity)
        self.unlisted.pop(endpoint.identity, None)
        self.by_identity[endpoint.identity] = endpoint
        self.by_service.setdefault(endpoint.service, []).append(endpoint)

    def remove(self, identity: str) -> Endpoint | None:
        """Remove an endpoint and return it, or None if the id is unknown."""
        endpoint = self.by_identity.pop(identity, None)
        if endpoint is not None:
            self.by_service[endpoint.service].remove(endpoint)
        return endpoint

    def find(self, identity: str) -> Endpoint | None:
        """Return an endpoint, whether it is listed or not."""
        listed = self.by_identity.get(identity)
        return listed or self.unlisted.get(identity)

    def has_returning(self, now: float) -> bool:
        """Return whether an announcement of a removed endpoint came lately."""
        removed = (*self.by_identity.values(), *self.unlisted.values())
        return any(item.is_returning(now) for item in removed)

    def expire(self, now: float) -> None:
        """Take removed endpoints off the lists, and forget them later."""
        for identity, endpoint in list(self.by_identity.items()):
            if endpoint.is_removed_for(LISTED_S, now):
                self.remove(identity)
                self.unlisted[identity] = endpoint
        for identity, endpoint in list(self.unlisted.items()):
            if endpoint.is_removed_for(REMEMBERED_S, now):
                del self.unlisted[identity]

    def list_service(self, service: str) -> list[Endpoint]:
        """Return all endpoints of a service, including unusable ones."""
        return self.by_service.get(service, [])
