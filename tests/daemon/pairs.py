"""Sites of two VMs: an entry VM and the owner of the only endpoint."""

from __future__ import annotations

from collections.abc import Iterator
from concurrent import futures
import contextlib
import json
import signal
import time
from typing import Any

import attrs
import httpcore

from standins import site as sites

TIMEOUTS = dict.fromkeys(sites.TIMEOUTS, 60.0)


@attrs.define
class Pair:
    """A site and the roles of its two VMs for the only endpoint.

    :param entry: the VM that callers use and that does not own the endpoint
    :param owner: the VM that owns the endpoint
    :param threads: threads for calls in the background
    """

    site: sites.Site
    entry: sites.Vm
    owner: sites.Vm
    threads: futures.ThreadPoolExecutor = attrs.field(
        factory=lambda: futures.ThreadPoolExecutor(8)
    )

    def call_service(
        self, key: str, vm: sites.Vm | None = None, body: str = "install"
    ) -> httpcore.Response:
        """Send a non-repeatable call to the plain service."""
        return call_service(vm or self.entry, key, body)

    def start_call(self, key: str) -> futures.Future[httpcore.Response]:
        """Send a non-repeatable call in the background."""
        return self.threads.submit(self.call_service, key)

    @contextlib.contextmanager
    def open_stream(self, **fields: Any) -> Iterator[httpcore.Response]:
        """Send a streamed request to the entry VM and yield its response."""
        body = {"model": "trust-1", "prompt": "long", "stream": True, **fields}
        with httpcore.stream(
            "POST",
            f"http://{self.entry.callers}/v1/completions",
            content=json.dumps(body).encode(),
            extensions={"timeout": TIMEOUTS},
        ) as answer:
            yield answer

    def set_faults(self, **faults: Any) -> None:
        """Set the faults that the platform injects."""
        self.site.set_faults(**faults)

    def count_records(self, stream: str) -> int:
        """Return how many records were appended to a stream of the log."""
        return self.site.read_statistics()["streams"].get(stream, 0)

    def wait_claim(self) -> None:
        """Wait until the log contains a claim of a key."""
        self.site.wait(lambda: self.count_records("keys") > 0)

    def signal_owner(self, number: signal.Signals) -> None:
        """Send a signal to the daemon of the owner."""
        self.owner.process.send_signal(number)

    def count_running(self) -> int:
        """Return how many requests run on the endpoints of the owner."""
        endpoints = self.site.get_state(self.owner, "dispatch")["endpoints"]
        return sum(len(queue["running"]) for queue in endpoints.values())


def call_service(
    vm: sites.Vm,
    key: str | None,
    body: str,
    headers: dict[str, str] | None = None,
    method: str = "POST",
    path: str = "x",
) -> httpcore.Response:
    """Send a call to the plain service, by default a non-repeatable one.

    :param key: idempotency key that is issued now, None to send none
    :param headers: request headers to send in place of the key
    """
    if headers is None:
        headers = {} if key is None else make_key(key)
    return httpcore.request(
        method,
        f"http://{vm.callers}/services/updates/{path}",
        headers=headers,
        content=body.encode(),
        extensions={"timeout": TIMEOUTS},
    )


def make_key(key: str) -> dict[str, str]:
    """Return the headers for an idempotency key that is issued now."""
    return {
        "Idempotency-Key": key,
        "Idempotency-Issued-At": str(int(time.time() * 1000)),
    }


def read_outcome(answer: httpcore.Response) -> str:
    """Return the outcome in the headers of a response."""
    headers = {name.lower(): value for name, value in answer.headers}
    return headers[b"bronzetrack-outcome"].decode()


def find_pair(site: sites.Site) -> Pair:
    """Wait until both VMs know a stable owner of the only endpoint."""
    any_vm = next(iter(site.vms.values()))
    # An endpoint whose owner is in another zone is still handed over.
    site.wait(site.is_settled)
    [owned] = site.get_state(any_vm, "ownership")["owners"].values()
    owner = site.vms[owned["vm"]]
    entry = next(vm for vm in site.vms.values() if vm is not owner)

    def is_visible() -> bool:
        known = site.get_state(entry, "membership")["vms"].get(owner.name)
        return known is not None and len(known["endpoints"]) == 1

    site.wait(is_visible)
    site.wait_keys()
    return Pair(site, entry, owner)
