"""Measures the cost of one more adapter, endpoint, peer, stream or record.

Prints one line per slope. docs/CAPACITY.md derives the costs at the design
size from them.
"""

from __future__ import annotations

import argparse
import functools
import sys
import time
from typing import Any

import attrs
import processes
import slope_processes
import slope_reports
import slope_requests
import slope_samples
import worktree  # noqa: F401

from bronzetrack import board as boards
from bronzetrack.configuration import records as publications
from bronzetrack.configuration import replay as configuration
from bronzetrack.configuration import resolver
from bronzetrack.configuration import state as configurations
from bronzetrack.core import failures
from bronzetrack.dispatch import context as contexts
from bronzetrack.dispatch import planner
from bronzetrack.dispatch import state as dispatch
from bronzetrack.logservice import logservice
from bronzetrack.membership import changes
from bronzetrack.membership import summaries
from bronzetrack.membership import view as views
from bronzetrack.ownership import leases
from bronzetrack.ownership import records as lease_records
from bronzetrack.ownership import replay as ownership
from bronzetrack.peer import hub
from bronzetrack.routing import choice
from bronzetrack.settings import loader
from bronzetrack.wire import documents
from bronzetrack.wire import frames
from standins import site as sites

SETTINGS = """
[vm]
name = vm-0
availability_zone = zone-0
[listen]
callers = 127.0.0.1:1
operators = 127.0.0.1:2
peers = 127.0.0.1:3
[platform]
log_url = http://127.0.0.1:4
vm_list_url = http://127.0.0.1:4
"""


def measure_changes(vms: int, endpoints: int) -> None:
    """Measure delta heartbeats with no value and with all values changed."""
    before = attrs.evolve(
        slope_samples.make_heartbeat(1, vms, endpoints), number=10_000
    )
    same = attrs.evolve(before, number=10_001)
    busy = attrs.evolve(
        same,
        endpoints={
            name: attrs.evolve(summary, free_slots=1, queued=4, chunk_ms=21.5)
            for name, summary in before.endpoints.items()
        },
        usage={"trust": 810.5, "papyros": 90.5},
    )
    hello = views.record_hello(
        views.MembershipView(), slope_samples.make_hello(1), 0
    )
    view = views.record_heartbeat(hello, before, 0)
    for label, after in (("nothing", same), ("all figures", busy)):
        data = hub.CODEC.encode(changes.find_changes(before, after))
        size = len(data) + frames.PREFIX_BYTES
        slope_reports.report(
            f"size: heartbeat, {label} changed", size, "bytes"
        )
        slope_reports.measure_time(
            f"heartbeat, {label} changed, encoded",
            lambda: slope_samples.encode(changes.find_changes(before, after)),
        )
        slope_reports.measure_time(
            f"heartbeat, {label} changed, received",
            lambda: views.record_changes(view, hub.CODEC.decode(data), 1),
        )


def measure_configuration() -> configurations.ConfigurationState:
    """Measure the inventory and its changes.

    :returns: the configuration state with the whole inventory
    """
    whole = {}
    for name, adapters, endpoints in (
        ("adapter in the inventory", slope_samples.ADAPTERS, 0),
        ("endpoint in the inventory", 0, slope_samples.ENDPOINTS),
    ):
        document = slope_samples.make_inventory(adapters, endpoints)
        with slope_reports.measure_memory(name, adapters + endpoints):
            whole[name] = documents.read_document("inventory", document)
    record = publications.PublicationRecord(
        kind="inventory",
        base=configurations.NO_OFFSET,
        document=slope_samples.make_inventory(
            slope_samples.ADAPTERS, slope_samples.ENDPOINTS
        ),
    )
    data = logservice.CODEC.encode(record)
    slope_reports.report(
        "size: publication of the whole inventory", len(data), "bytes"
    )
    started_s = time.process_time()
    state = configuration.apply_record(
        configurations.ConfigurationState(),
        0,
        logservice.CODEC.decode(data),
        documents,
    )
    spent_s = time.process_time() - started_s
    slope_reports.report(
        "time: replay of the whole inventory", spent_s * 1e6, "us"
    )
    assert state.configuration.offset == 0, state.verdicts
    change = {"owner": "trust", "base_model": "base-0"}
    change |= {"versions": ["1", "2", "3"], "current": "3"}
    delta = publications.PublicationRecord(
        kind="inventory",
        base=0,
        document={"adapters": {"adapter-00000": change}},
        delta=True,
    )
    data = logservice.CODEC.encode(delta)
    slope_reports.report(
        "size: publication of one adapter", len(data), "bytes"
    )
    slope_reports.measure_time(
        "replay of the change of one adapter",
        lambda: configuration.apply_record(
            state, 1, logservice.CODEC.decode(data), documents
        ),
        1.0,
    )
    return state


def measure_members(vms: int, endpoints: int) -> views.MembershipView:
    """Measure whole heartbeats and the membership view.

    :returns: the view of a VM that has received a heartbeat of every peer
    """
    data = [
        hub.CODEC.encode(slope_samples.make_heartbeat(vm, vms, endpoints))
        for vm in range(vms)
    ]
    scale = f"{vms} VMs, {endpoints} endpoints"
    slope_reports.report(
        f"size: heartbeat, {scale}",
        len(data[0]) + frames.PREFIX_BYTES,
        "bytes",
    )
    view = views.MembershipView()
    with slope_reports.measure_memory(f"peer, {scale}", vms):
        for vm in range(vms):
            view = views.record_hello(view, slope_samples.make_hello(vm), 0)
            view = views.record_heartbeat(view, hub.CODEC.decode(data[vm]), 0)
    slope_reports.measure_time(
        f"heartbeat received, {scale}",
        lambda: views.record_heartbeat(view, hub.CODEC.decode(data[1]), 1),
    )
    heartbeat = slope_samples.make_heartbeat(0, vms, endpoints)
    slope_reports.measure_time(
        f"heartbeat encoded for one peer, {scale}",
        lambda: slope_samples.encode(heartbeat),
    )
    return view


def measure_ownership(
    vms: int, endpoints: int
) -> tuple[leases.OwnershipState, list[bytes]]:
    """Measure the ownership stream.

    :returns: the ownership state, and an encoded lease and claim record
    """
    state = leases.OwnershipState()
    size = 0
    with slope_reports.measure_memory(f"owned endpoint, {vms} VMs", endpoints):
        for vm in range(vms):
            name, incarnation = f"vm-{vm}", f"{vm:032x}"
            claimed = tuple(
                slope_samples.list_endpoints_of(vm, vms, endpoints)
            )
            items = (
                lease_records.LeaseRecord(name, incarnation, 0),
                lease_records.ClaimRecord(name, incarnation, claimed),
            )
            for item in items:
                data = logservice.CODEC.encode(item)
                size += len(data)
                state = ownership.apply_record(
                    state, state.next_offset, logservice.CODEC.decode(data), 0
                )
    lease = logservice.CODEC.encode(
        lease_records.LeaseRecord("vm-1", f"{1:032x}", 1)
    )
    slope_reports.report("size: lease record", len(lease), "bytes")
    slope_reports.measure_time(
        f"replay of a lease record, {vms} VMs",
        lambda: ownership.apply_record(
            state, state.next_offset, logservice.CODEC.decode(lease), 1
        ),
    )
    claim = logservice.CODEC.encode(
        lease_records.ClaimRecord("vm-1", f"{1:032x}", ("engine-0002",))
    )
    slope_reports.measure_time(
        f"replay of a claim record, {endpoints} endpoints",
        lambda: ownership.apply_record(
            state, state.next_offset, logservice.CODEC.decode(claim), 1
        ),
    )
    return state, [lease, claim]


def measure_board(state: configurations.ConfigurationState) -> None:
    """Measure heartbeats, ownership and routing at two sizes of a site."""
    settings = loader.load_settings(SETTINGS)
    for vms, endpoints in (
        (slope_samples.VMS, slope_samples.ENDPOINTS),
        (8, slope_samples.ENDPOINTS * 8 // slope_samples.VMS),
    ):
        scale = f"{vms} VMs, {endpoints} endpoints"
        view = measure_members(vms, endpoints)
        owned, _ = measure_ownership(vms, endpoints)
        board = boards.Blackboard(settings, f"{0:032x}")
        names = slope_samples.list_endpoints_of(0, vms, endpoints)
        queues = {
            name: slope_samples.make_queue(slope_samples.WAITING)
            for name in names
        }
        board.configuration.write("configuration", state)
        board.membership.write("membership", view)
        board.ownership.write("ownership", owned)
        board.dispatch.write(
            "dispatch", dispatch.DispatchState(endpoints=queues)
        )
        slope_reports.measure_time(
            f"own heartbeat made, {scale}",
            lambda: summaries.make_heartbeat(board, 1, 0),
        )
        measure_routing(board, endpoints, scale)


def measure_routing(
    board: boards.Blackboard, endpoints: int, scale: str
) -> None:
    """Measure one routing decision with the steps of the requests controller.

    :param scale: size of the site, for the label
    """
    current = board.configuration.value.configuration
    known = dict(list(current.inventory.endpoints.items())[:endpoints])

    def route() -> Any:
        resolved = resolver.resolve_model(current, "adapter-00000")
        chosen = choice.choose_endpoint(
            {
                name: known[name]
                for name in resolved.endpoints
                if name in known
            },
            choice.collect_summaries(
                board.ownership.value,
                board.membership.value,
                summaries.summarize_owned(board),
                board.vm,
                board.incarnation,
                1,
            ),
            resolved.adapter,
            {},
            frozenset(),
            "zone-0",
            (),
        )
        assert not isinstance(chosen, failures.Failure), chosen
        return chosen

    slope_reports.measure_time(f"routing decision, {scale}", route)


def measure_plan(state: configurations.ConfigurationState) -> None:
    """Measure planning the dispatch of one endpoint."""
    current = state.configuration
    for waiting in (0, slope_samples.WAITING):
        context = contexts.EndpointContext(
            endpoint=current.inventory.endpoints["engine-0000"],
            rules=current.rules,
            may_load=True,
            may_unload=True,
            load_permits=2,
        )
        queue = slope_samples.make_queue(waiting)
        slope_reports.measure_time(
            f"dispatch plan, {waiting} wait, {slope_samples.SLOTS} run",
            functools.partial(planner.plan_endpoint, queue, context, 1_000),
        )


def print_append_rates(vms: int, changes: float, keyed: float) -> None:
    """Report the rates of log appends that follow from the constants.

    :param changes: configuration changes per day
    :param keyed: requests with an idempotency key per second
    """
    renewals = vms * 1000 / leases.RENEWAL_INTERVAL_MS
    slope_reports.report(
        f"appends: lease renewals, {vms} VMs", renewals, "per s"
    )
    slope_reports.report("appends: configuration", changes / 86_400, "per s")
    slope_reports.report(
        f"appends: keys, {keyed:g} requests, unbatched", 2 * keyed, "per s"
    )


def main() -> int:
    """Run all measurements."""
    sites.exit_on_signals()
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--daemons",
        type=int,
        nargs="*",
        default=[4, 12, 24],
        help="numbers of daemon processes to run",
    )
    parser.add_argument("--seconds", type=float, default=6.0)
    arguments = parser.parse_args()
    slope_reports.report(
        "memory: this process at start", processes.read_memory_bytes(), "B"
    )
    state = measure_configuration()
    measure_board(state)
    measure_changes(slope_samples.VMS, slope_samples.ENDPOINTS)
    measure_plan(state)
    slope_requests.measure_streams(state)
    slope_requests.measure_keys()
    print_append_rates(slope_samples.VMS, 41_000, 100)
    for count in arguments.daemons:
        slope_processes.measure_processes(count, arguments.seconds)
    return 0


if __name__ == "__main__":
    sys.exit(main())
