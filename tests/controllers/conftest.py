"""Fixtures that run controllers of one VM with fake ports."""

from __future__ import annotations

from collections.abc import Callable
import itertools
from typing import Any

import anyio
import attrs
from controllers import fakes
import pytest

from bronzetrack import board as boards
from bronzetrack.configuration import inventory as inventories
from bronzetrack.controllers import requests as request_controllers
from bronzetrack.controllers import runs
from bronzetrack.controllers import submission
from bronzetrack.core import clock
from bronzetrack.core import controllers
from bronzetrack.core import messages as core_messages
from bronzetrack.membership import messages as membership_messages
from bronzetrack.membership import view as views
from bronzetrack.routing import candidates
from bronzetrack.streaming import calls
from bronzetrack.streaming import messages
from bronzetrack.streaming import output as outputs
from bronzetrack.streaming import requests

ENGINE = inventories.Endpoint("127.0.0.1", 1, "zone-a")


@attrs.define
class EntryVm:
    """An entry VM with a requests controller under test.

    :param now_ms: time that the controller reads from its clock
    """

    board: boards.Blackboard
    peers: fakes.Peers
    now_ms: int = 1_000_000

    def submit(self, request: calls.CallerRequest) -> outputs.Output:
        output = outputs.Output(request.request)
        self.board.mailboxes["intake"].post(
            requests.SubmittedRequest(request, output)
        )
        return output

    def receive(self, *received: Any, sender: str = "vm-2") -> None:
        for message in received:
            self.board.mailboxes["answers"].post(
                core_messages.Delivery(sender, message)
            )

    async def wait_sent(self, cls: type) -> Any:
        """Wait until a message of a class was sent, and return it."""
        while True:
            found = self.peers.take(cls)
            if found:
                return found[0]
            await anyio.sleep(0.005)


@pytest.fixture
def make_request() -> Callable[..., calls.CallerRequest]:
    def make(**fields: Any) -> calls.CallerRequest:
        request = calls.CallerRequest(
            request="r1",
            member="trust",
            adapter="a@1",
            work_class="normal",
            method="POST",
            path="/v1/completions",
            body=b"{}",
            content_type="application/json",
            stream=True,
            cost=1,
            fingerprint="f",
            digest="d",
            endpoints=("engine-0",),
            repeatable=True,
            key=None,
            deadline_ms=2_000_000,
        )
        return attrs.evolve(request, **fields)

    return make


@pytest.fixture
def run_entry(board, monkeypatch):
    """Return a function that runs a check beside a requests controller.

    The controller sends all of its work to vm-2.
    """
    chosen = candidates.Candidate(
        "engine-0", "vm-2", 8, True, 8, 0, 0, report_age_ms=0
    )
    monkeypatch.setattr(submission, "choose_endpoint", lambda *_: chosen)
    hello = membership_messages.Hello(
        membership_messages.PROTOCOL_VERSION, "vm-2", "i2", "zone-a", "", ""
    )
    view = views.record_hello(views.MembershipView(), hello, 0)
    board.membership.write("membership", view)
    state = board.configuration.value
    inventory = attrs.evolve(
        state.configuration.inventory, endpoints={"engine-0": ENGINE}
    )
    configuration = attrs.evolve(state.configuration, inventory=inventory)
    board.configuration.write(
        "configuration", attrs.evolve(state, configuration=configuration)
    )

    def run(check: Callable[[EntryVm], Any]) -> None:
        entry = EntryVm(board, fakes.Peers())
        controller = request_controllers.RequestsController(
            board,
            controllers.Ports(None, None, entry.peers, None),
            lambda: clock.Instant(entry.now_ms, entry.now_ms),
        )

        async def run_both() -> None:
            with anyio.fail_after(5):
                async with anyio.create_task_group() as group:
                    group.start_soon(controller.run)
                    await check(entry)
                    group.cancel_scope.cancel()

        anyio.run(run_both)

    return run


@pytest.fixture
def run_work(board):
    """Return a function that runs work of vm-2 at a fake engine.

    The function returns the fake peers and the fake endpoints. Each reading of
    the clock is `step_ms` later than the previous one.
    """

    def run(
        *answers: fakes.Answer, refusals: int = 0, step_ms: int = 1
    ) -> tuple[fakes.Peers, fakes.Endpoints]:
        peers = fakes.Peers(refusals=refusals)
        endpoints = fakes.Endpoints(list(answers))
        work = messages.SubmitWork(
            attempt="a1",
            request="r1",
            endpoint="engine-0",
            member="trust",
            adapter="a@1",
            work_class="normal",
            method="POST",
            path="/v1/completions",
            body=b"{}",
            timeout_ms=10_000,
            stream=True,
        )
        times = itertools.count(1_000_000, step_ms)
        attempt_run = runs.Run(
            board,
            controllers.Ports(None, None, peers, endpoints),
            lambda: clock.Instant(next(times), 0),
            work,
            "vm-2",
            ENGINE,
        )

        async def execute() -> None:
            with anyio.fail_after(3):
                await attempt_run.execute(anyio.CancelScope())

        anyio.run(execute)
        return peers, endpoints

    return run
