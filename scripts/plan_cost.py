"""Measures the processor time of one planning pass of the lease holder.

All adapter slots but one of each engine are in use, and VMs send the given
number of demands for other adapters, as at a load peak.
"""

from __future__ import annotations

import pathlib
import sys
import time

ROOT = pathlib.Path(__file__).parents[1]
sys.path[:0] = [str(ROOT / "tests"), str(ROOT / "src")]

from entry import sites  # noqa: E402

from bronzetrack.entry import board as boards  # noqa: E402
from bronzetrack.entry import endpoints  # noqa: E402
from bronzetrack.entry import messages  # noqa: E402
from bronzetrack.entry import process  # noqa: E402
from bronzetrack.entry import roles  # noqa: E402
from bronzetrack.entry import routes  # noqa: E402
from bronzetrack.entry import settings  # noqa: E402

ADAPTER_SLOTS = 17
PASSES = 100
PASS_S = 0.004
ENGINES = (6, 45, 400)
DEMANDS = (0, 60)


class NoEffects:
    """Stand-in for the task group that discards all effects."""

    def start_soon(self, *arguments: object) -> None:
        """Discard an effect."""


def make_board(engines: int) -> boards.Blackboard:
    """Return the state of a VM with one service of the given engines."""
    text = sites.make_settings()
    board = boards.Blackboard(settings.parse_settings(text), "run-1")
    model = routes.Model("m", 16_100.0, 1.3, 3_000, 50.0)
    engine_capacity = routes.EngineCapacity(
        (model,), 128, 17_000.0, ADAPTER_SLOTS, 4.3
    )
    service = routes.Service("s", "/h", 600, engine_capacity)
    board.rules.value.configuration = routes.Configuration(
        1, {}, {"s": service}
    )
    for number in range(engines):
        board.endpoints.value.add(
            endpoints.Endpoint(
                f"e{number}", "s", "127.0.0.1:1", "z", 128, models={"m": 1}
            )
        )
    return board


def fill_engines(board: boards.Blackboard) -> None:
    """Fill every engine with adapters, all but one of them in use."""
    for number, endpoint in enumerate(board.endpoints.value.list_service("s")):
        state = board.loading.value.get_or_create_engine(endpoint)
        state.report_due_at = None
        model_keys = [
            ("m", f"a{number * ADAPTER_SLOTS + i}")
            for i in range(ADAPTER_SLOTS)
        ]
        state.held = dict.fromkeys(model_keys, 1)
        uses = board.traffic.value.get_or_create(endpoint.identity).uses
        uses.update(dict.fromkeys(model_keys[1:], 1))


def measure(engines: int, demands: int) -> float:
    """Return the mean processor time of a planning pass, in seconds."""
    board = make_board(engines)
    ports = roles.Ports(None, None, None)
    now = 1_000.0
    controller = roles.CONTROLLERS.lookup("loading")(board, ports, lambda: now)
    board.lease.value.apply_renewal(0, now, "vm-1")
    controller._run_planning_pass(NoEffects(), now)
    fill_engines(board)
    started = time.process_time()
    for _ in range(PASSES):
        now += PASS_S
        board.lease.value.apply_renewal(0, now, "vm-1")
        for number in range(demands):
            board.load_requests.post(
                messages.LoadRequest(
                    "vm-2", "s", "m", f"b{number}", 1, 1, "", "", 300
                )
            )
        controller._run_planning_pass(NoEffects(), now)
        for state in board.loading.value.engines.values():
            state.call_pending = False
    return (time.process_time() - started) / PASSES


def main() -> None:
    """Print the cost for several numbers of engines and demands."""
    process.import_controllers()
    for engines in ENGINES:
        for demands in DEMANDS:
            cost_ms = 1_000 * measure(engines, demands)
            print(
                f"planning pass, {engines} engines, {demands} demands: "
                f"{cost_ms:.2f} ms"
            )


if __name__ == "__main__":
    main()
