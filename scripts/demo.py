"""Runs a small site of separate processes and sends requests through it.

Exits with 0 only if every answer was correct, every idempotent request was
answered although one daemon was killed, and every other daemon shut down
gracefully.
"""

from __future__ import annotations

from collections.abc import Iterator
from collections.abc import Sequence
import json
import pathlib
import signal
import sys
import tempfile
import time
from typing import Any
import uuid

import anyio
import attrs
import httpcore

import traffic

TESTS = pathlib.Path(__file__).parent.parent / "tests"
sys.path.insert(0, str(TESTS))

from bronzetrack.client import sender  # noqa: E402
from bronzetrack.core import failures  # noqa: E402
from bronzetrack.wire import httpclient  # noqa: E402
from standins import site as sites  # noqa: E402

VMS = 7
ENGINES = 4
ENDPOINTS = ENGINES + 1
CALLERS = 24
CALLS_PER_CALLER = 6
KILL_AFTER_S = 0.7
ANSWER_HEADERS = ("adapter", "version", "endpoint", "vm", "outcome")


@attrs.define
class Demo:
    """State of one run of the demo.

    :param site: processes that the demo runs against
    :param replies: complete answers, in order of arrival
    :param mistakes: descriptions of the checks that failed
    """

    site: sites.Site
    pool: httpcore.AsyncConnectionPool
    replies: list[traffic.Reply] = attrs.field(factory=list)
    mistakes: list[str] = attrs.field(factory=list)

    def check(self, condition: bool, mistake: str) -> None:
        """Record and print a mistake if a condition does not hold."""
        if not condition:
            self.mistakes.append(mistake)
            print(f"  WRONG: {mistake}")

    async def find_addresses(self, model: str) -> list[str]:
        """Return the caller addresses for a model, the preferred one first."""
        known = [vm.callers for vm in self.site.vms.values()]
        found = await sender.look_up_entries(self.pool, known, model)
        if isinstance(found, failures.Failure):
            raise sites.SiteError(f"look-up of {model} failed: {found}")
        best = found[0]
        print(f"{model}: use {best.vm} at {best.address} ({best.reason})")
        return [entry.address for entry in found]

    async def run_call(
        self, addresses: Sequence[str], call: traffic.Call
    ) -> traffic.Reply | None:
        """Send a call, print its answer and record the reply."""
        reply = await traffic.send_until_complete(self.pool, addresses, call)
        if reply is None:
            self.check(False, f"{call.kind}: no complete answer")
            return None
        self.replies.append(reply)
        served = " ".join(
            f"{name}={reply.headers.get(f'bronzetrack-{name}', '-')}"
            for name in ANSWER_HEADERS
        )
        print(f"  {call.kind}: {reply.status} {served}")
        print(f"    {shorten(reply.body)}")
        return reply


def shorten(body: bytes) -> str:
    """Return a body on one line, with its middle left out if it is long."""
    text = body.decode(errors="replace").strip().replace("\n", " ")
    return text if len(text) < 120 else f"{text[:70]} ... {text[-40:]}"


def find_mistakes(
    reply: traffic.Reply, model: str, tokens: int
) -> Iterator[str]:
    """Iterate over the mistakes in the answer to a completions call.

    :param model: adapter version that is expected to answer
    :param tokens: number of tokens that are expected in the answer
    """
    kind = reply.call.kind
    if reply.status != 200:
        yield f"{kind}: status {reply.status} {shorten(reply.body)}"
        return
    adapter, _, version = model.partition("@")
    if reply.headers.get("bronzetrack-adapter") != adapter:
        yield f"{kind}: header names an adapter other than {adapter}"
    if reply.headers.get("bronzetrack-version") != version:
        yield f"{kind}: header names a version other than {version}"
    streamed = reply.headers["content-type"].startswith("text/event-stream")
    events = (
        traffic.read_events(reply.body)
        if streamed
        else [json.loads(reply.body)]
    )
    if {event["model"] for event in events} != {model}:
        yield f"{kind}: the answer does not come from {model}"
    text = "".join(event["choices"][0]["text"] for event in events)
    if text.split() != [f"token{index}" for index in range(tokens)]:
        yield f"{kind}: expected {tokens} tokens in order, got {text[:80]!r}"


async def send_and_check(
    demo: Demo, model: str, adapter: str, call: traffic.Call, tokens: int
) -> None:
    """Look up the addresses for a model, send a call and check the answer.

    :param adapter: adapter version that is expected to answer
    """
    addresses = await demo.find_addresses(model)
    reply = await demo.run_call(addresses, call)
    if reply is not None:
        for mistake in find_mistakes(reply, adapter, tokens):
            demo.check(False, mistake)


async def stage_with_one_key(demo: Demo) -> None:
    """Send a non-idempotent request twice under one idempotency key.

    The second answer has to equal the first, and the endpoint has to run the
    request once only.
    """
    marker = uuid.uuid4().hex
    call = traffic.Call(
        "update staging",
        "/services/updates/stage",
        json.dumps({"device": "d-17", "marker": marker}).encode(),
        {
            "Content-Type": "application/json",
            "Idempotency-Key": f"stage-{marker}",
            "Idempotency-Issued-At": str(int(time.time() * 1000)),
        },
    )
    addresses = await demo.find_addresses("updates")
    first = await demo.run_call(addresses, call)
    second = await demo.run_call(addresses[1:], call)
    if first is None or second is None:
        return
    demo.check(first.status == 200, f"staging: status {first.status}")
    demo.check(first.body == second.body, "staging: two different answers")
    runs = await anyio.to_thread.run_sync(demo.site.count_runs, marker)
    demo.check(runs == 1, f"staging ran {runs} times")
    print(f"  sent twice under one key, ran {runs} time")


async def run_load(demo: Demo) -> None:
    """Kill a daemon under load and check that every request is answered."""
    model = "launch-log-0"
    addresses = await demo.find_addresses(model)
    # The VM that served the launch log owns the endpoint that has the adapter
    # loaded.
    killed_vm = demo.site.vms[demo.replies[0].headers["bronzetrack-vm"]]
    async with anyio.create_task_group() as group:
        for caller in range(CALLERS):
            group.start_soon(run_caller, demo, addresses, model, caller)
        await anyio.sleep(KILL_AFTER_S)
        killed_vm.process.kill()
        print(f"  killed {killed_vm.name}, entry VM and owner, during load")
    loaded = [
        reply for reply in demo.replies if reply.call.kind.startswith("load")
    ]
    resent = sum(reply.sends - 1 for reply in loaded)
    sent = CALLERS * CALLS_PER_CALLER
    print(f"  {len(loaded)} of {sent} answered, {resent} sent again")


async def run_caller(
    demo: Demo, addresses: Sequence[str], model: str, caller: int
) -> None:
    """Send the calls of one caller in sequence, half of them streamed.

    Callers start at different addresses, so that every VM acts as an entry
    VM.
    """
    start = caller % len(addresses)
    ordered = [*addresses[start:], *addresses[:start]]
    for number in range(CALLS_PER_CALLER):
        streamed = (caller + number) % 2 == 0
        tokens = 40 if streamed else 8
        call = traffic.make_completion(
            "load, streamed" if streamed else "load, short",
            model,
            "long" if streamed else "urgent",
            tokens,
            streamed,
            f"caller {caller} call {number}",
        )
        reply = await traffic.send_until_complete(demo.pool, ordered, call)
        if reply is None:
            demo.check(False, f"{call.kind}: no complete answer")
            continue
        used = (reply.sends - 1) % len(ordered)
        ordered = [*ordered[used:], *ordered[:used]]
        demo.replies.append(reply)
        for mistake in find_mistakes(reply, f"{model}@2", tokens):
            demo.check(False, mistake)


def stop_daemons(demo: Demo) -> None:
    """Stop every running daemon with SIGTERM and check the exit codes."""
    running = [vm for vm in demo.site.vms.values() if sites.is_running(vm)]
    for vm in running:
        vm.process.send_signal(signal.SIGTERM)
    codes = {vm.name: vm.process.wait(sites.STOP_TIMEOUT_S) for vm in running}
    print(f"exit codes after SIGTERM: {codes}")
    wrong = {name: code for name, code in codes.items() if code != 0}
    demo.check(not wrong, f"exit codes {wrong}")


def make_documents(site: sites.Site) -> dict[str, dict[str, Any]]:
    """Return the sample inventory and rules for two members."""
    inventory = site.make_inventory(adapters=0)
    inventory["members"] = ["trust", "papyros"]
    owners = {"launch-log": "trust", "safety-review": "trust"}
    owners["changelog"] = "papyros"
    inventory["adapters"] = {
        f"{kind}-{index}": {
            "owner": owner,
            "base_model": "base",
            "versions": ["1", "2"],
            "current": "2",
        }
        for kind, owner in owners.items()
        for index in range(4)
    }
    inventory["services"]["updates"]["owner"] = "papyros"
    rules = site.make_rules()
    rules["members"]["papyros"] = {"weight": 1.0, "warm_adapters": 64}
    return {"inventory": inventory, "rules": rules}


async def run_requests(site: sites.Site) -> list[str]:
    """Send every request of the demo and return the mistakes found."""
    async with httpclient.make_pool(4 * CALLERS) as pool:
        demo = Demo(site, pool)
        call = traffic.make_completion(
            "launch log", "launch-log-0", "urgent", 12, False
        )
        await send_and_check(demo, "launch-log-0", "launch-log-0@2", call, 12)
        call = traffic.make_completion(
            "safety review", "safety-review-0@1", "long", 200, True
        )
        await send_and_check(
            demo, "safety-review-0@1", "safety-review-0@1", call, 200
        )
        await stage_with_one_key(demo)
        await run_load(demo)
        print(traffic.format_table(demo.replies))
    await anyio.to_thread.run_sync(stop_daemons, demo)
    return demo.mistakes


def main() -> int:
    """Run the demo and return the exit code: 0 if there was no mistake."""
    sites.exit_on_signals()
    started_s = time.monotonic()
    with tempfile.TemporaryDirectory() as folder:
        with sites.run_site(
            pathlib.Path(folder), vms=VMS, engines=ENGINES
        ) as site:
            sites.publish_documents(site, make_documents(site))
            site.wait(site.is_settled)
            print(f"{VMS} daemons own {ENDPOINTS} endpoints")
            mistakes = anyio.run(run_requests, site)
    print(f"{time.monotonic() - started_s:.1f} s, {len(mistakes)} mistakes")
    return 1 if mistakes else 0


if __name__ == "__main__":
    sys.exit(main())
