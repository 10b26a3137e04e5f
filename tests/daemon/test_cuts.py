"""Tests of running daemons while the network between them is cut."""

from __future__ import annotations

from collections.abc import Iterator
from concurrent import futures
import contextlib
import pathlib

from daemon import pairs
import httpcore
import pytest

from standins import site as sites

# Takes longer than an owner waits for the entry VM before it drops the answer.
STREAM_TOKENS = 450
# Takes longer than the timeout after which a silent VM is considered lost.
LONG_STREAM_TOKENS = 700
END = b"data: [DONE]\n\n"


@contextlib.contextmanager
def run_pair(folder: pathlib.Path, **options: int) -> Iterator[pairs.Pair]:
    """Run two VMs connected by links, one of which owns an engine."""
    with sites.run_site(
        folder,
        vms=2,
        engines=1,
        services=0,
        token_ms=20.0,
        forwarded=True,
        **options,
    ) as running:
        sites.publish_samples(running)
        running.wait(running.is_settled)
        yield pairs.find_pair(running)


@pytest.fixture
def cut_pair(tmp_path) -> Iterator[pairs.Pair]:
    """Yield a pair whose engine runs two requests at once."""
    with run_pair(tmp_path, slots=2) as pair:
        yield pair


@pytest.fixture
def evicting_pair(tmp_path) -> Iterator[pairs.Pair]:
    """Yield a pair whose engine holds two adapters at once."""
    with run_pair(tmp_path, adapter_slots=2) as pair:
        yield pair


def set_links(pair: pairs.Pair, mode: str) -> None:
    """Set the mode of the links between the two VMs."""
    for name in pair.site.vms:
        pair.site.set_link(f"peers-{name}", mode)


def send(
    pair: pairs.Pair, prompt: str, tokens: int, **headers: str
) -> futures.Future[httpcore.Response]:
    """Send a request without streaming, in the background."""
    return pair.threads.submit(
        pair.site.send,
        "trust-1",
        pair.entry,
        headers,
        60.0,
        prompt=prompt,
        max_tokens=tokens,
    )


@contextlib.contextmanager
def open_streams(
    pair: pairs.Pair, tokens: int, count: int
) -> Iterator[list[futures.Future[bytes]]]:
    """Open streams and read them to their ends in the background."""
    with contextlib.ExitStack() as stack:
        answers = [
            stack.enter_context(pair.open_stream(max_tokens=tokens))
            for _ in range(count)
        ]
        yield [pair.threads.submit(answer.read) for answer in answers]


def count_waiting(pair: pairs.Pair) -> int:
    """Return how many requests wait in the queues of the owner."""
    queues = pair.site.get_state(pair.owner, "dispatch")["endpoints"]
    return sum(len(queue["waiting"]) for queue in queues.values())


def check_stream(body: bytes, tokens: int) -> None:
    """Check that a stream has each token once, in order, and its end."""
    expected = [b"token%d " % index for index in range(tokens)]
    found = [
        part.partition(b'"text": "')[2].partition(b'"')[0]
        for part in body.split(b"\n\n")
    ]
    assert found == [*expected, b"", b""]
    assert body.endswith(END)


def is_healed(pair: pairs.Pair) -> bool:
    """Return whether each VM sees the other serving, and both are idle."""
    return all(
        pair.site.is_serving(vm.name)
        and not pair.site.get_state(vm, "requests")["open"]
        and not any(
            queue["waiting"] or queue["running"]
            for queue in pair.site.get_state(vm, "dispatch")[
                "endpoints"
            ].values()
        )
        for vm in pair.site.vms.values()
    )


def test_broken_network_between_entry_and_owner(cut_pair):
    """Guards against work lost or run twice while peers cannot connect."""
    with open_streams(cut_pair, STREAM_TOKENS, 1) as streams:
        running = send(cut_pair, "runs", 100, **pairs.make_key("k1"))
        cut_pair.site.wait(lambda: cut_pair.site.count_runs("runs") == 1)
        keyed = send(cut_pair, "queued", 5, **pairs.make_key("k2"))
        plain = send(cut_pair, "repeatable", 5)
        cut_pair.site.wait(lambda: count_waiting(cut_pair) == 2)
        set_links(cut_pair, "refuse")
        # The first request has its claim in the log, and its result follows.
        assert pairs.read_outcome(running.result()) == "completed"
        assert running.result().content.count(b"token") > 100
        # The second one is voided before the owner can claim its key.
        assert pairs.read_outcome(keyed.result()) == "not_run"
        check_stream(streams[0].result(), STREAM_TOKENS)
        assert not plain.done()
    set_links(cut_pair, "forward")
    assert pairs.read_outcome(plain.result()) == "completed"
    cut_pair.site.wait(lambda: is_healed(cut_pair))
    assert cut_pair.site.count_runs("runs") == 1
    assert cut_pair.site.count_runs("queued") == 0
    assert cut_pair.site.count_runs("long") == 1


def test_silent_network_between_entry_and_owner(cut_pair):
    """Guards against duplicate chunks after a cut network heals."""
    with open_streams(cut_pair, LONG_STREAM_TOKENS, 2) as streams:
        keyed = send(cut_pair, "queued", 5, **pairs.make_key("k"))
        plain = send(cut_pair, "repeatable", 5)
        cut_pair.site.wait(lambda: count_waiting(cut_pair) == 2)
        set_links(cut_pair, "hold")
        assert pairs.read_outcome(keyed.result()) == "not_run"
        # The held messages arrive after the streams were resumed.
        assert not any(stream.done() for stream in streams)
        set_links(cut_pair, "forward")
        for stream in streams:
            check_stream(stream.result(), LONG_STREAM_TOKENS)
    assert pairs.read_outcome(plain.result()) == "completed"
    assert plain.result().content.count(b"token") > 5
    cut_pair.site.wait(lambda: is_healed(cut_pair))
    assert cut_pair.site.count_runs("queued") == 0
    assert cut_pair.site.count_runs("long") == 2


def read_statistics(pair: pairs.Pair) -> dict[str, object]:
    url = pair.site.endpoints["engine-0"].url
    return sites.fetch("GET", f"{url}/statistics")


def list_residents(pair: pairs.Pair, vm: sites.Vm) -> dict[str, object]:
    """Return the adapters that a VM knows on the engine, by name."""
    queues = pair.site.get_state(vm, "dispatch")["endpoints"]
    return queues.get("engine-0", {"residents": {}})["residents"]


def test_owner_cut_off_from_the_log_is_succeeded(evicting_pair):
    """Guards against evicting an adapter that the former owner's work uses."""
    pair = evicting_pair
    former, successor = pair.owner, pair.entry
    for model in ("trust-1@1", "trust-2@1"):
        assert pair.site.send(model, former).status == 200
    pair.site.set_link(f"platform-{former.name}", "hold")
    pair.site.wait(lambda: owns(pair, successor))
    # The successor may evict inherited adapters that it finds idle.
    pair.site.wait(
        lambda: list_residents(pair, successor)
        and not any(
            item["inherited"]
            for item in list_residents(pair, successor).values()
        )
    )
    call = pair.threads.submit(
        pair.site.send,
        "trust-1@1",
        former,
        timeout_s=60.0,
        prompt="from the former owner",
        max_tokens=150,
        stream=True,
    )
    pair.site.wait(lambda: pair.site.count_runs("from the former") == 1)
    for model in ("trust-3@1", "trust-4@1", "trust-5@1"):
        assert pair.site.send(model, successor).status == 200
    answer = call.result()
    assert read_statistics(pair)["faults"] == []
    check_stream(answer.content, 150)
    headers = {name.lower(): value for name, value in answer.headers}
    assert headers[b"bronzetrack-vm"] == successor.name.encode()
    pair.site.set_link(f"platform-{former.name}", "forward")
    pair.site.wait(lambda: is_healed(pair))
    assert pair.site.send("trust-1@1", former).status == 200


def owns(pair: pairs.Pair, vm: sites.Vm) -> bool:
    """Return whether a VM owns the engine, by its own ownership state."""
    owners = pair.site.get_state(vm, "ownership")["owners"]
    return owners["engine-0"]["vm"] == vm.name
