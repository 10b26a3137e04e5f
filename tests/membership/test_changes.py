"""Tests of heartbeats that are sent as changes."""

from __future__ import annotations

import attrs
import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from bronzetrack.membership import changes
from bronzetrack.membership import messages
from bronzetrack.membership import view as views

HELLO = messages.Hello(
    1, "b", "b1", "zone-a", "127.0.0.1:1", "", reads_changes=True
)
SUMMARIES = strategies.builds(
    messages.EndpointSummary,
    free_slots=strategies.integers(0, 2),
    queued=strategies.integers(0, 2),
    warm=strategies.sampled_from(((), ("a@1",), ("a@1", "b@1"))),
    slow=strategies.booleans(),
    chunk_ms=strategies.sampled_from((0.0, 20.0)),
    leaving=strategies.booleans(),
    reachable=strategies.booleans(),
)
HEARTBEATS = strategies.builds(
    messages.Heartbeat,
    vm=strategies.just("b"),
    incarnation=strategies.just("b1"),
    status=strategies.sampled_from(list(messages.VmStatus)),
    configuration_offset=strategies.integers(0, 2),
    endpoints=strategies.dictionaries(
        strategies.sampled_from(("e1", "e2", "e3")), SUMMARIES
    ),
    usage=strategies.dictionaries(
        strategies.sampled_from(("north", "south")),
        strategies.sampled_from((0.0, 1.0)),
    ),
    may_claim=strategies.booleans(),
    listed_leaving=strategies.sampled_from(((), ("e1",), ("e1", "vm-9"))),
)
MOSTLY_TRUE = strategies.sampled_from((True, True, True, False))
COUNTS = strategies.integers(1, 4)


class ChangesMachine(stateful.RuleBasedStateMachine):
    """Models a sender and a receiver with lost and delayed sessions.

    The history holds the whole heartbeat of each number, so that the view can
    be compared with the view that whole heartbeats would give.
    """

    def __init__(self) -> None:
        super().__init__()
        self.history: list[messages.Heartbeat] = []
        self.last_queued: dict[str, int] = {}
        self.sessions: list[list] = []
        self.view = views.MembershipView()
        self.wants_whole = False

    @stateful.initialize()
    def open_first(self) -> None:
        self.open_session(noticed=True)

    @stateful.rule(noticed=strategies.booleans())
    def open_session(self, noticed: bool) -> None:
        """Open a session, possibly without the sender noticing yet."""
        self.sessions.append([HELLO])
        if noticed:
            self.last_queued.clear()

    @stateful.rule(heartbeat=HEARTBEATS, has_room=MOSTLY_TRUE)
    def send(self, heartbeat: messages.Heartbeat, has_room: bool) -> None:
        """Send a heartbeat on the newest session, whose queue may be full."""
        number = len(self.history) + 1
        heartbeat = attrs.evolve(heartbeat, number=number)
        before = self.history[-1] if self.history else None
        plan = changes.plan_heartbeat(
            before, heartbeat, self.last_queued, {"a"}, {"a"}
        )
        self.history.append(heartbeat)
        self.last_queued.clear()
        if has_room:
            sent = heartbeat if plan.whole else plan.changes
            self.sessions[-1].append(sent)
            self.last_queued["a"] = number

    @stateful.rule(heartbeat=HEARTBEATS)
    def beat(self, heartbeat: messages.Heartbeat) -> None:
        """Send a heartbeat that is received at once, the common case."""
        self.send(heartbeat, has_room=True)
        self.receive(len(self.sessions) - 1, len(self.sessions[-1]))

    @stateful.precondition(lambda self: self.wants_whole and self.history)
    @stateful.rule()
    def answer_fetch(self) -> None:
        self.sessions[-1].append(self.history[-1])
        self.last_queued["a"] = len(self.history)
        self.wants_whole = False

    @stateful.rule(place=strategies.integers(0, 9), count=COUNTS)
    def receive(self, place: int, count: int) -> None:
        """Receive messages of one session; lost sessions hold none."""
        items = self.sessions[place % len(self.sessions)]
        for message in items[:count]:
            self.accept(message)
        del items[:count]

    @stateful.rule(noticed=strategies.booleans())
    def lose_session(self, noticed: bool) -> None:
        """Drop the messages in flight and open another session."""
        self.sessions[-1].clear()
        self.open_session(noticed)

    @stateful.rule(restarts=strategies.booleans())
    def forget(self, restarts: bool) -> None:
        """Clear the view; a restart also closes all sessions."""
        self.view = views.MembershipView()
        if restarts:
            self.sessions.clear()
            self.open_session(noticed=True)
        else:
            self.accept(HELLO)

    def accept(self, message: object) -> None:
        match message:
            case messages.Hello():
                self.view = views.record_hello(self.view, message, 0)
            case messages.Heartbeat():
                self.view = views.record_heartbeat(self.view, message, 0)
            case messages.HeartbeatChanges():
                if views.needs_whole_heartbeat(self.view, message):
                    self.wants_whole = True
                self.view = views.record_changes(self.view, message, 0)

    @stateful.invariant()
    def shows_a_whole_heartbeat(self) -> None:
        """Compare the view with the whole heartbeat of its number."""
        for state in self.view.vms.values():
            if state.number:
                whole = self.history[state.number - 1]
                assert state.status is whole.status
                assert state.endpoints == whole.endpoints
                assert state.usage == whole.usage
                assert state.may_claim == whole.may_claim
                assert state.listed_leaving == whole.listed_leaving
                assert state.configuration_offset == (
                    whole.configuration_offset
                )
            else:
                assert not state.endpoints

    def teardown(self) -> None:
        """Check that a lossless session leaves the view up to date."""
        for items in self.sessions:
            for message in items:
                self.accept(message)
        newest = messages.Heartbeat("b", "b1", messages.VmStatus.SERVING, 9)
        self.sessions = [[]]
        self.send(newest, True)
        self.accept(self.sessions[0].pop())
        if self.wants_whole:
            self.answer_fetch()
            self.accept(self.sessions[0].pop())
        if self.view.vms:
            assert self.view.vms["b"].number == len(self.history)


def test_view_equals_whole_heartbeats():
    """Guards against changes that are applied to the wrong base."""
    stateful.run_state_machine_as_test(
        ChangesMachine,
        settings=hypothesis.settings(
            max_examples=300, stateful_step_count=30, deadline=None
        ),
    )


def test_version_without_changes_gets_whole_heartbeats():
    """Guards against old daemons that close sessions during an upgrade."""
    first = messages.Heartbeat("b", "b1", messages.VmStatus.SERVING, 1)
    first = attrs.evolve(first, number=1)
    second = attrs.evolve(first, number=2)
    last_queued = {"old": 1, "new": 1}
    plan = changes.plan_heartbeat(
        first, second, last_queued, last_queued, {"new"}
    )
    assert plan.whole == {"old"}
    assert plan.as_changes == {"new"}


@pytest.mark.parametrize("number", [3, 4])
def test_changes_without_base_do_not_update_heard_ms(number):
    """Guards against outdated figures that count as fresh."""
    whole = attrs.evolve(
        messages.Heartbeat("b", "b1", messages.VmStatus.SERVING, 1), number=2
    )
    view = views.record_hello(views.MembershipView(), HELLO, 0)
    view = views.record_heartbeat(view, whole, 1_000)
    later = messages.HeartbeatChanges(
        "b", "b1", messages.VmStatus.SERVING, 1, number
    )
    view = views.record_changes(view, later, 2_000)
    assert view.vms["b"].heard_ms == (2_000 if number == 3 else 1_000)
    assert views.needs_whole_heartbeat(view, later) is (number == 4)


def test_changes_before_first_heartbeat_are_ignored():
    """Guards against routing to a VM before its first heartbeat."""
    view = views.record_hello(views.MembershipView(), HELLO, 0)
    for number in (1, 2):
        first = messages.HeartbeatChanges(
            "b", "b1", messages.VmStatus.SERVING, 1, number
        )
        assert views.record_changes(view, first, 1_000) == view
        assert views.needs_whole_heartbeat(view, first)
