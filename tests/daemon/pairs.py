"""A site of an entry VM and the owner of all endpoints."""

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
    """The site, with the roles of its two VMs for the only endpoint."""

    site: sites.Site
    entry: sites.Vm
    owner: sites.Vm
    threads: futures.ThreadPoolExecutor = attrs.field(
        factory=lambda: futures.ThreadPoolExecutor(8)
    )

    def call_service(
        self, key: str, vm: sites.Vm | None = None, body: str = "install"
    ) -> httpcore.Response:
        """Send a call that must not be repeated to the plain service."""
        return call_service(vm or self.entry, key, body)

    def start_call(self, key: str) -> futures.Future[httpcore.Response]:
        """Send the call in the background."""
        return self.threads.submit(self.call_service, key)

    @contextlib.contextmanager
    def open_stream(self, **fields: Any) -> Iterator[httpcore.Response]:
        """Open a streamed answer at the entry VM."""
        body = {"model": "trust-1", "prompt": "long", "stream": True, **fields}
        with httpcore.stream(
            "POST",
            f"http://{self.entry.callers}/v1/completions",
            content=json.dumps(body).encode(),
            extensions={"timeout": TIMEOUTS},
        ) as answer:
            yield answer

    def set_faults(self, **faults: Any) -> None:
        self.site.set_faults(**faults)

    def count_records(self, stream: str) -> int:
        return self.site.read_statistics()["streams"].get(stream, 0)

    def wait_claim(self) -> None:
        """Wait until the log holds a claim of a key."""
        self.site.wait(lambda: self.count_records("keys") > 0)

    def signal_owner(self, number: signal.Signals) -> None:
        self.owner.process.send_signal(number)

    def count_running(self) -> int:
        """Return how many slots the owner holds."""
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
    """Send a call to the plain service, by default one not to be repeated.

    :param headers: of a key that is not issued now
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
    """Return the headers of a key that is issued now."""
    return {
        "Idempotency-Key": key,
        "Idempotency-Issued-At": str(int(time.time() * 1000)),
    }


def read_outcome(answer: httpcore.Response) -> str:
    """Return the outcome that an answer states."""
    headers = {name.lower(): value for name, value in answer.headers}
    return headers[b"bronzetrack-outcome"].decode()


def find_pair(site: sites.Site) -> Pair:
    """Wait until the only endpoint has a lasting owner that both VMs know."""
    any_vm = next(iter(site.vms.values()))
    # An endpoint that is owned in another zone still moves.
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
