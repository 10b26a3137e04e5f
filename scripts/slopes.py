"""Measures what one more adapter, endpoint, peer, stream or record costs.

Prints one line a slope. docs/CAPACITY.md works the design size out from them.
"""

from __future__ import annotations

import argparse
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import functools
import pathlib
import subprocess
import sys
import tempfile
import time
import tracemalloc
from typing import Any
import uuid

import attrs
import processes

ROOT = pathlib.Path(__file__).parent.parent
# The code of this work tree is measured, wherever the package is installed.
sys.path[:0] = [str(ROOT / "src"), str(ROOT / "tests")]

from bronzetrack import board as boards  # noqa: E402
from bronzetrack.configuration import records as publications  # noqa: E402
from bronzetrack.configuration import replay as configuration  # noqa: E402
from bronzetrack.configuration import resolver  # noqa: E402
from bronzetrack.configuration import state as configurations  # noqa: E402
from bronzetrack.core import clock  # noqa: E402
from bronzetrack.core import failures  # noqa: E402
from bronzetrack.dispatch import context as contexts  # noqa: E402
from bronzetrack.dispatch import planner  # noqa: E402
from bronzetrack.dispatch import state as dispatch  # noqa: E402
from bronzetrack.http import intake  # noqa: E402
from bronzetrack.idempotency import keys  # noqa: E402
from bronzetrack.idempotency import records as key_records  # noqa: E402
from bronzetrack.idempotency import table as key_table  # noqa: E402
from bronzetrack.logservice import logservice  # noqa: E402
from bronzetrack.membership import changes  # noqa: E402
from bronzetrack.membership import messages as membership  # noqa: E402
from bronzetrack.membership import summaries  # noqa: E402
from bronzetrack.membership import view as views  # noqa: E402
from bronzetrack.ownership import leases  # noqa: E402
from bronzetrack.ownership import records as lease_records  # noqa: E402
from bronzetrack.ownership import replay as ownership  # noqa: E402
from bronzetrack.peer import hub  # noqa: E402
from bronzetrack.retries import records as crash_records  # noqa: E402
from bronzetrack.retries import suspects  # noqa: E402
from bronzetrack.routing import choice  # noqa: E402
from bronzetrack.settings import loader  # noqa: E402
from bronzetrack.streaming import messages  # noqa: E402
from bronzetrack.streaming import outcomes  # noqa: E402
from bronzetrack.wire import documents  # noqa: E402
from bronzetrack.wire import frames  # noqa: E402
from standins import site as sites  # noqa: E402

ADAPTERS = 18_000
ENDPOINTS = 7_000
VMS = 400
ZONES = 9
BASE_MODELS = 6
ADAPTER_SLOTS = 8
SLOTS = 8
WAITING = 32
KEYS = 20_000
STREAMS = 2_000
MEMBERS = 2
CHUNK = b'data: {"choices":[{"index":0,"text":"token "}]}\n\n'
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


def report(name: str, value: float, unit: str) -> None:
    """Print one slope."""
    print(f"{name:<52} {value:>12,.1f} {unit}", flush=True)


@contextlib.contextmanager
def measure_memory(name: str, count: int) -> Iterator[None]:
    """Report the memory that a block allocates for each of its items."""
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    try:
        yield
        after, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    report(f"memory: {name}", (after - before) / count, "bytes")


def measure_time(
    name: str, call: Callable[[], Any], least_s: float = 0.3
) -> float:
    """Report the processor time of a call in microseconds."""
    call()
    count = 0
    started_s = time.process_time()
    while time.process_time() - started_s < least_s:
        call()
        count += 1
    cost_us = (time.process_time() - started_s) / count * 1e6
    report(f"time: {name}", cost_us, "us")
    return cost_us


def make_inventory(adapters: int, endpoints: int) -> dict[str, Any]:
    """Return the document of an inventory."""
    return {
        "members": ["trust", "papyros"],
        "base_models": [f"base-{index}" for index in range(BASE_MODELS)],
        "adapters": {
            f"adapter-{index:05}": {
                "owner": "trust",
                "base_model": f"base-{index % BASE_MODELS}",
                "versions": ["1", "2"],
                "current": "2",
            }
            for index in range(adapters)
        },
        "endpoints": {
            f"engine-{index:04}": {
                "host": f"10.1.{index // 256}.{index % 256}",
                "port": 8000,
                "availability_zone": f"zone-{index % ZONES}",
                "base_model": f"base-{index % BASE_MODELS}",
            }
            for index in range(endpoints)
        },
    }


def list_endpoints_of(vm: int, vms: int, endpoints: int) -> list[str]:
    """Return the share of the endpoints that a VM owns."""
    return [f"engine-{index:04}" for index in range(vm, endpoints, vms)]


def make_heartbeat(vm: int, vms: int, endpoints: int) -> Any:
    """Return the heartbeat of a peer that owns its share."""
    return membership.Heartbeat(
        vm=f"vm-{vm}",
        incarnation=f"{vm:032x}",
        status=membership.VmStatus.SERVING,
        configuration_offset=123_456,
        endpoints={
            name: membership.EndpointSummary(
                free_slots=2,
                queued=3,
                warm=tuple(
                    f"adapter-{(vm * 97 + slot) % ADAPTERS:05}@2"
                    for slot in range(ADAPTER_SLOTS)
                ),
                chunk_ms=20.0,
            )
            for name in list_endpoints_of(vm, vms, endpoints)
        },
        usage={"trust": 812.5, "papyros": 90.25},
    )


def measure_changes(vms: int, endpoints: int) -> None:
    """Measure heartbeats as changes, without any and with all figures new."""
    before = attrs.evolve(make_heartbeat(1, vms, endpoints), number=10_000)
    same = attrs.evolve(before, number=10_001)
    busy = attrs.evolve(
        same,
        endpoints={
            name: attrs.evolve(summary, free_slots=1, queued=4, chunk_ms=21.5)
            for name, summary in before.endpoints.items()
        },
        usage={"trust": 810.5, "papyros": 90.5},
    )
    hello = views.record_hello(views.MembershipView(), make_hello(1), 0)
    view = views.record_heartbeat(hello, before, 0)
    for label, after in (("nothing", same), ("all figures", busy)):
        data = hub.CODEC.encode(changes.find_changes(before, after))
        size = len(data) + frames.PREFIX_BYTES
        report(f"size: heartbeat, {label} changed", size, "bytes")
        measure_time(
            f"heartbeat, {label} changed, encoded",
            lambda: encode(changes.find_changes(before, after)),
        )
        measure_time(
            f"heartbeat, {label} changed, received",
            lambda: views.record_changes(view, hub.CODEC.decode(data), 1),
        )


def make_hello(vm: int) -> membership.Hello:
    """Return the greeting of a peer."""
    return membership.Hello(
        version=membership.PROTOCOL_VERSION,
        vm=f"vm-{vm}",
        incarnation=f"{vm:032x}",
        availability_zone=f"zone-{vm % ZONES}",
        peer_address=f"10.0.0.{vm % 256}:7000",
        caller_address=f"10.0.0.{vm % 256}:8000",
    )


def make_work(index: int) -> messages.SubmitWork:
    """Return the work of a streamed request."""
    return messages.SubmitWork(
        attempt=uuid.uuid4().hex,
        request=uuid.uuid4().hex,
        endpoint="engine-0000",
        member="trust",
        adapter=f"adapter-{index:05}@2",
        work_class="normal",
        method="POST",
        path="/v1/completions",
        body=b"x" * 2_000,
        timeout_ms=60_000,
        stream=True,
        fingerprint=uuid.uuid4().hex,
    )


def encode(item: Any) -> bytes:
    """Return the frame of a peer message."""
    return frames.encode_frame(hub.CODEC.encode(item))


def measure_configuration() -> configurations.ConfigurationState:
    """Measure the inventory and its changes."""
    whole = {}
    for name, adapters, endpoints in (
        ("adapter in the inventory", ADAPTERS, 0),
        ("endpoint in the inventory", 0, ENDPOINTS),
    ):
        document = make_inventory(adapters, endpoints)
        with measure_memory(name, adapters + endpoints):
            whole[name] = documents.read_document("inventory", document)
    record = publications.PublicationRecord(
        kind="inventory",
        base=configurations.NO_OFFSET,
        document=make_inventory(ADAPTERS, ENDPOINTS),
    )
    data = logservice.CODEC.encode(record)
    report("size: publication of the whole inventory", len(data), "bytes")
    started_s = time.process_time()
    state = configuration.apply_record(
        configurations.ConfigurationState(),
        0,
        logservice.CODEC.decode(data),
        documents,
    )
    spent_s = time.process_time() - started_s
    report("time: replay of the whole inventory", spent_s * 1e6, "us")
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
    report("size: publication of one adapter", len(data), "bytes")
    measure_time(
        "replay of the change of one adapter",
        lambda: configuration.apply_record(
            state, 1, logservice.CODEC.decode(data), documents
        ),
        1.0,
    )
    return state


def measure_members(vms: int, endpoints: int) -> views.MembershipView:
    """Measure heartbeats and the view of the peers."""
    data = [
        hub.CODEC.encode(make_heartbeat(vm, vms, endpoints))
        for vm in range(vms)
    ]
    scale = f"{vms} VMs, {endpoints} endpoints"
    report(
        f"size: heartbeat, {scale}",
        len(data[0]) + frames.PREFIX_BYTES,
        "bytes",
    )
    view = views.MembershipView()
    with measure_memory(f"peer, {scale}", vms):
        for vm in range(vms):
            view = views.record_hello(view, make_hello(vm), 0)
            view = views.record_heartbeat(view, hub.CODEC.decode(data[vm]), 0)
    measure_time(
        f"heartbeat received, {scale}",
        lambda: views.record_heartbeat(view, hub.CODEC.decode(data[1]), 1),
    )
    heartbeat = make_heartbeat(0, vms, endpoints)
    measure_time(
        f"heartbeat encoded for one peer, {scale}", lambda: encode(heartbeat)
    )
    return view


def measure_ownership(
    vms: int, endpoints: int
) -> tuple[leases.OwnershipState, list[bytes]]:
    """Measure the ownership stream."""
    state = leases.OwnershipState()
    size = 0
    with measure_memory(f"owned endpoint, {vms} VMs", endpoints):
        for vm in range(vms):
            name, incarnation = f"vm-{vm}", f"{vm:032x}"
            claimed = tuple(list_endpoints_of(vm, vms, endpoints))
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
    report("size: lease record", len(lease), "bytes")
    measure_time(
        f"replay of a lease record, {vms} VMs",
        lambda: ownership.apply_record(
            state, state.next_offset, logservice.CODEC.decode(lease), 1
        ),
    )
    claim = logservice.CODEC.encode(
        lease_records.ClaimRecord("vm-1", f"{1:032x}", ("engine-0002",))
    )
    measure_time(
        f"replay of a claim record, {endpoints} endpoints",
        lambda: ownership.apply_record(
            state, state.next_offset, logservice.CODEC.decode(claim), 1
        ),
    )
    return state, [lease, claim]


def make_queue(waiting: int) -> dispatch.EndpointQueue:
    """Return the queue of a busy endpoint."""
    works = [make_work(index) for index in range(waiting + SLOTS)]
    return dispatch.EndpointQueue(
        waiting=tuple(
            dispatch.Waiting(work, "vm-1", index)
            for index, work in enumerate(works[SLOTS:])
        ),
        running={
            work.attempt: dispatch.Running(work, "vm-1", 0)
            for work in works[:SLOTS]
        },
        residents={
            work.adapter: dispatch.Resident(dispatch.ResidentPhase.READY, 0)
            for work in works[:ADAPTER_SLOTS]
        },
        boot="1",
    )


def measure_board(state: configurations.ConfigurationState) -> None:
    """Measure the own heartbeat, a plan and a routing decision."""
    settings = loader.load_settings(SETTINGS)
    for vms, endpoints in ((VMS, ENDPOINTS), (8, ENDPOINTS * 8 // VMS)):
        scale = f"{vms} VMs, {endpoints} endpoints"
        view = measure_members(vms, endpoints)
        owned, _ = measure_ownership(vms, endpoints)
        board = boards.Blackboard(settings, f"{0:032x}")
        names = list_endpoints_of(0, vms, endpoints)
        queues = {name: make_queue(WAITING) for name in names}
        board.configuration.write("configuration", state)
        board.membership.write("membership", view)
        board.ownership.write("ownership", owned)
        board.dispatch.write(
            "dispatch", dispatch.DispatchState(endpoints=queues)
        )
        measure_time(
            f"own heartbeat made, {scale}",
            lambda: summaries.make_heartbeat(board, 1, 0),
        )
        measure_routing(board, endpoints, scale)


def measure_routing(
    board: boards.Blackboard, endpoints: int, scale: str
) -> None:
    """Measure one routing decision as the requests controller makes it."""
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
            choice.collect_reports(
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

    measure_time(f"routing decision, {scale}", route)


def measure_plan(state: configurations.ConfigurationState) -> None:
    """Measure the dispatch plan of one endpoint."""
    current = state.configuration
    for waiting in (0, WAITING):
        context = contexts.EndpointContext(
            endpoint=current.inventory.endpoints["engine-0000"],
            rules=current.rules,
            may_load=True,
            may_unload=True,
            load_permits=2,
        )
        queue = make_queue(waiting)
        measure_time(
            f"dispatch plan, {waiting} wait, {SLOTS} run",
            functools.partial(planner.plan_endpoint, queue, context, 1_000),
        )


def measure_streams(state: configurations.ConfigurationState) -> None:
    """Measure the state of open streams and their messages."""
    works = [make_work(index) for index in range(STREAMS)]
    bodies = [encode(work)[frames.PREFIX_BYTES :] for work in works]
    with measure_memory("open stream, queue of its owner", STREAMS):
        kept = [
            dispatch.Running(hub.CODEC.decode(body), "vm-1", 0)
            for body in bodies
        ]
    assert len(kept) == STREAMS
    body = b'{"model": "adapter-00000", "max_tokens": 100, "prompt": "%s"}'
    now = clock.read_clock()

    def read() -> Any:
        return intake.read_completion(
            uuid.uuid4().hex,
            state.configuration,
            "/v1/completions",
            {},
            body % (b"x" * 2_000),
            60_000,
            now,
        )

    with measure_memory("open stream, request at its entry VM", STREAMS):
        requests = [read() for _ in range(STREAMS)]
    assert len(requests) == STREAMS
    measure_time("request checked on arrival", read)
    report("size: work message, 2,000 bytes of body", len(bodies[0]), "bytes")
    chunk = messages.AnswerChunk(works[0].attempt, 17, CHUNK)
    data = hub.CODEC.encode(chunk)
    report(
        f"size: chunk message, {len(CHUNK)} bytes of content",
        len(data) + frames.PREFIX_BYTES,
        "bytes",
    )
    measure_time("chunk message encoded", lambda: encode(chunk))
    measure_time("chunk message decoded", lambda: hub.CODEC.decode(data))


def measure_keys() -> None:
    """Measure the key table and the streams of keys and crashes."""
    claims = [
        logservice.CODEC.encode(
            key_records.KeyClaim(
                key=uuid.uuid4().hex,
                vm="vm-1",
                incarnation=f"{1:032x}",
                attempt=uuid.uuid4().hex,
                fingerprint=uuid.uuid4().hex,
                issued_ms=1_700_000_000_000,
            )
        )
        for _ in range(KEYS)
    ]
    report("size: key claim record", len(claims[0]), "bytes")
    entries: dict[str, Any] = {}
    with measure_memory("key claim", KEYS):
        for offset, data in enumerate(claims):
            record = logservice.CODEC.decode(data)
            entries[record.key] = key_table.apply_record(
                entries, offset, record
            )
    measure_time(
        "replay of a key claim record",
        lambda: key_table.apply_record(
            {}, 1, logservice.CODEC.decode(claims[0])
        ),
    )
    result = logservice.CODEC.encode(
        key_records.KeyResult(
            key=uuid.uuid4().hex,
            attempt=uuid.uuid4().hex,
            outcome=outcomes.Outcome.COMPLETED.value,
            status=200,
            content_type="application/json",
            answer=b"x" * 500,
        )
    )
    report("size: key result record, 500 bytes", len(result), "bytes")
    crash = logservice.CODEC.encode(
        crash_records.CrashRecord(
            uuid.uuid4().hex,
            "engine-0000",
            tuple(uuid.uuid4().hex for _ in range(SLOTS)),
            1,
        )
    )
    report("size: crash record", len(crash), "bytes")
    measure_time(
        "replay of a crash record",
        lambda: suspects.record_crash(
            suspects.SuspectTable(), logservice.CODEC.decode(crash), 1
        ),
    )
    report("window of keys", keys.KEPT_MS / 1000, "s")


def print_appends(vms: int, changes: float, keyed: float) -> None:
    """Report the appends a second that the constants lead to.

    :param changes: configuration changes a day
    :param keyed: requests under keys a second
    """
    renewals = vms * 1000 / leases.RENEWAL_INTERVAL_MS
    report(f"appends: lease renewals, {vms} VMs", renewals, "a second")
    report("appends: configuration", changes / 86_400, "a second")
    report(f"appends: keys, {keyed:g} requests, unbatched", 2 * keyed, "a s")


@attrs.frozen
class Sample:
    """What the daemons had used at a moment."""

    cpu_s: float
    sent_bytes: int
    at_s: float


def read_sent_bytes(site: sites.Site) -> int:
    """Return what the daemons sent on their streams to peers."""
    pids = {vm.process.pid for vm in site.vms.values()}
    peers = {vm.peers for vm in site.vms.values()}
    text = subprocess.run(
        ["ss", "-tinpHO"], capture_output=True, text=True, check=True
    ).stdout
    total = 0
    for line in text.splitlines():
        fields = line.split()
        if len(fields) < 5 or fields[4] not in peers:
            continue
        if not any(f"pid={pid}," in line for pid in pids):
            continue
        sent = [item for item in fields if item.startswith("bytes_sent:")]
        total += sum(int(item.partition(":")[2]) for item in sent)
    return total


def take_sample(site: sites.Site) -> Sample:
    """Read the counters of the daemons."""
    return Sample(
        cpu_s=sum(
            processes.read_cpu_s(vm.process.pid) for vm in site.vms.values()
        ),
        sent_bytes=read_sent_bytes(site),
        at_s=time.monotonic(),
    )


def measure_processes(count: int, window_s: float) -> None:
    """Measure idle daemons that exchange heartbeats."""
    with tempfile.TemporaryDirectory() as folder:
        with sites.run_site(
            pathlib.Path(folder), vms=count, engines=3, services=0
        ) as site:
            sites.publish_samples(site)
            site.wait(lambda: is_meshed(site), 60.0)
            before = take_sample(site)
            time.sleep(window_s)
            after = take_sample(site)
            memory = [
                processes.read_memory_bytes(vm.process.pid)
                for vm in site.vms.values()
            ]
    passed_s = (after.at_s - before.at_s) * count
    report(
        f"{count} processes: sent to peers, each",
        (after.sent_bytes - before.sent_bytes) / passed_s,
        "bytes/s",
    )
    report(
        f"{count} processes: processor time, each",
        (after.cpu_s - before.cpu_s) / passed_s * 100,
        "% of a core",
    )
    report(
        f"{count} processes: memory, each",
        sum(memory) / count / 2**20,
        "MiB",
    )


def is_meshed(site: sites.Site) -> bool:
    """Return whether every daemon hears every other."""
    for vm in site.vms.values():
        view = site.get_state(vm, "membership")
        if len(view["vms"]) < len(site.vms) - 1:
            return False
    return True


def main() -> int:
    """Measure everything."""
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
    report("memory: this process at start", processes.read_memory_bytes(), "B")
    state = measure_configuration()
    measure_board(state)
    measure_changes(VMS, ENDPOINTS)
    measure_plan(state)
    measure_streams(state)
    measure_keys()
    print_appends(VMS, 41_000, 100)
    for count in arguments.daemons:
        measure_processes(count, arguments.seconds)
    return 0


if __name__ == "__main__":
    sys.exit(main())
