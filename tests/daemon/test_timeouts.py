"""Tests of work under an idempotency key that times out at each step."""

from __future__ import annotations

from collections.abc import Iterator
import json

from daemon import pairs
import pytest

from standins import site as sites

# Long enough for an answer to start, short enough to pass within a test.
DEADLINE_MS = 1_500
QUEUE_TIMEOUT_MS = 300


@pytest.fixture(scope="module")
def short_deadline_pair(tmp_path_factory) -> Iterator[pairs.Pair]:
    """Yield a pair with a short deadline and one slot.

    Its rules have a work class with a short queue timeout.
    """
    with sites.run_site(
        tmp_path_factory.mktemp("hasty"),
        vms=2,
        engines=1,
        services=0,
        token_ms=20.0,
        slots=1,
        extra_settings=f"[limits]\nrequest_timeout_ms = {DEADLINE_MS}\n",
    ) as running:
        rules = running.make_rules()
        rules["classes"]["brief"] = {"queue_timeout_ms": QUEUE_TIMEOUT_MS}
        sites.publish_documents(
            running, {"inventory": running.make_inventory(), "rules": rules}
        )
        running.wait(running.is_settled)
        yield pairs.find_pair(running)


def test_queue_timeout_before_the_claim_leaves_the_key_usable(
    short_deadline_pair,
):
    """Guards against a key consumed, or run later, by timed-out work."""
    pair = short_deadline_pair
    headers = pairs.make_key("in-queue") | {"Bronzetrack-Class": "brief"}
    with pair.open_stream(max_tokens=1_000) as answer:
        parts = answer.iter_stream()
        next(parts)
        refused = send_keyed(pair, pair.entry, headers, "in queue")
        assert pairs.read_outcome(refused) == "refused"
        error = json.loads(refused.content)["error"]
        assert error["type"] == "queue_timeout"
    assert pair.count_records("keys") == 0
    pair.site.wait(lambda: pair.count_running() == 0)
    assert pair.site.count_runs("in queue") == 0
    completed = send_keyed(pair, pair.entry, headers, "in queue")
    assert pairs.read_outcome(completed) == "completed"
    assert pair.site.count_runs("in queue") == 1


@pytest.mark.parametrize("role", ["entry", "owner"])
def test_deadline_while_the_claim_is_in_flight(short_deadline_pair, role):
    """Guards against "not run" for a claim that is appended but not read.

    The claim is read back after the deadline of the request.
    """
    pair = short_deadline_pair
    headers = pairs.make_key(f"in-flight-{role}")
    prompt = f"claimed late through {role}"
    pair.set_faults(read_delay_s=DEADLINE_MS / 1_000 + 0.5)
    answer = send_keyed(pair, getattr(pair, role), headers, prompt)
    pair.set_faults()
    assert pairs.read_outcome(answer) == "completed"
    assert pair.site.count_runs(prompt) == 1


@pytest.mark.parametrize("role", ["entry", "owner"])
def test_deadline_after_the_dispatch(short_deadline_pair, role):
    """Guards against "not run" for work that runs past its deadline.

    The owner may also be the entry VM, which must not void the claim of its
    own run.
    """
    pair = short_deadline_pair
    vm = getattr(pair, role)
    headers = pairs.make_key(f"dispatched-{role}")
    prompt = f"dispatched through {role}"
    fields = {"max_tokens": 100, "stream": True}
    late = send_keyed(pair, vm, headers, prompt, **fields)
    assert b"not_run" not in late.content
    assert b"key_void" not in late.content
    pair.site.wait(lambda: pair.count_running() == 0)
    for name in ("entry", "owner"):
        again = send_keyed(
            pair, getattr(pair, name), headers, prompt, **fields
        )
        assert pairs.read_outcome(again) in ("completed", "unknown")
    assert pair.site.count_runs(prompt) == 1


def send_keyed(pair, vm, headers, prompt, **fields):
    """Send a request with a key and return its response."""
    return pair.site.send(
        "trust-1", vm, headers, pairs.TIMEOUTS["read"], prompt=prompt, **fields
    )
