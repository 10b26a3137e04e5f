"""Builds sample state of a site of the design size for measurements."""

from __future__ import annotations

from typing import Any
import uuid

import worktree  # noqa: F401

from bronzetrack.dispatch import state as dispatch
from bronzetrack.membership import messages as membership
from bronzetrack.peer import hub
from bronzetrack.streaming import messages
from bronzetrack.wire import frames

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


def make_inventory(adapters: int, endpoints: int) -> dict[str, Any]:
    """Return an inventory document with the given numbers of items."""
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
    """Return the names of the endpoints that a VM owns.

    :param vm: index of the VM among all VMs
    """
    return [f"engine-{index:04}" for index in range(vm, endpoints, vms)]


def make_heartbeat(vm: int, vms: int, endpoints: int) -> Any:
    """Return the heartbeat of a peer that owns its share of the endpoints."""
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


def make_hello(vm: int) -> membership.Hello:
    """Return the hello message of a peer."""
    return membership.Hello(
        version=membership.PROTOCOL_VERSION,
        vm=f"vm-{vm}",
        incarnation=f"{vm:032x}",
        availability_zone=f"zone-{vm % ZONES}",
        peer_address=f"10.0.0.{vm % 256}:7000",
        caller_address=f"10.0.0.{vm % 256}:8000",
    )


def make_work(index: int) -> messages.SubmitWork:
    """Return the work message of a streamed request."""
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
    """Return a peer message as an encoded frame."""
    return frames.encode_frame(hub.CODEC.encode(item))


def make_queue(waiting: int) -> dispatch.EndpointQueue:
    """Return the queue of a fully loaded endpoint.

    :param waiting: number of requests that wait; all slots are in use
    """
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
