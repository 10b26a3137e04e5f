"""Tests of idempotency keys while the log fails or is truncated."""

from __future__ import annotations

from collections.abc import Iterator
import time

from daemon import pairs
import pytest

from bronzetrack.idempotency import keys
from standins import site as sites

EXPIRY_MS = 1_500


@pytest.fixture(scope="module")
def shared_pair(tmp_path_factory) -> Iterator[pairs.Pair]:
    """Yield two VMs, one of which owns a plain service, for the module."""
    folder = tmp_path_factory.mktemp("log")
    with sites.run_site(folder, vms=2, engines=0, services=1) as running:
        sites.publish_samples(running)
        running.wait(running.is_settled)
        yield pairs.find_pair(running)


def test_refused_claims_run_once_when_the_log_accepts_them(shared_pair):
    """Guards against a run without a claim, or a claim dropped too early."""
    pair = shared_pair
    pair.set_faults(refused_stream="keys")
    call = pair.threads.submit(pair.call_service, "refused", body="refused")
    refused = "refused_appends"
    pair.site.wait(lambda: pair.site.read_statistics()[refused] >= 2)
    assert pair.site.count_runs("refused") == 0
    pair.set_faults()
    assert pairs.read_outcome(call.result()) == "completed"
    assert pair.site.count_runs("refused") == 1


def test_log_lost_within_an_append_and_back_in_time(shared_pair):
    """Guards against two runs for a claim that was appended twice."""
    pair = shared_pair
    call = break_log_within_claim(pair, "back in time")
    pair.set_faults()
    assert pairs.read_outcome(call.result()) == "completed"
    assert pair.site.count_runs("back in time") == 1


def test_log_lost_within_an_append_for_longer_than_a_claim(shared_pair):
    """Guards against a run after "refused" if the claim is in the log."""
    pair = shared_pair
    call = break_log_within_claim(pair, "lost for long")
    answer = call.result()
    assert pairs.read_outcome(answer) == "refused"
    assert b"log_unavailable" in answer.content
    pair.set_faults()
    # The claimant voids its claim, which no other VM may do.
    pair.site.wait(
        lambda: pairs.read_outcome(
            pair.call_service("lost for long", body="lost for long")
        )
        == "not_run"
    )
    # The owner serves keys again once it has renewed its lease.
    pair.site.wait(
        lambda: pairs.read_outcome(pair.call_service("later", body="later"))
        == "completed"
    )
    assert pair.site.count_runs("lost for long") == 0


def test_truncation_within_the_window_keeps_known_keys(shared_pair):
    """Guards against a rerun of a key whose records were truncated."""
    pair = shared_pair
    first = pair.call_service("kept", body="kept")
    assert pairs.read_outcome(first) == "completed"
    wait_read(pair)
    truncate_keys(pair)
    # Once both VMs have read this key, they know the new start of the stream.
    fresh = pair.call_service("after truncation", body="after truncation")
    assert pairs.read_outcome(fresh) == "completed"
    wait_read(pair)
    for vm in (pair.entry, pair.owner):
        again = pair.call_service("kept", vm, "kept")
        assert pairs.read_outcome(again) == "completed"
        assert again.content == first.content
    assert pair.site.count_runs("kept") == 1


def test_truncation_after_the_window_expires_keys(shared_pair):
    """Guards against a rerun of a key that is no longer stored."""
    pair = shared_pair
    issued_ms = int(time.time() * 1000) - keys.ACCEPTANCE_WINDOW_MS + EXPIRY_MS
    headers = pairs.make_key("expiring") | {
        "Idempotency-Issued-At": str(issued_ms)
    }

    def call(vm):
        return pairs.call_service(vm, "expiring", "expiring", headers)

    assert pairs.read_outcome(call(pair.entry)) == "completed"
    truncate_keys(pair)
    for vm in (pair.entry, pair.owner):
        pair.site.wait(lambda vm=vm: b"key_expired" in call(vm).content)
    assert pair.site.count_runs("expiring") == 1


def break_log_within_claim(pair, name):
    """Start a call and break the log once it has stored the claim."""
    wait_ended(pair)
    before = pair.count_records("keys")
    pair.set_faults(broken_stream="keys")
    call = pair.threads.submit(pair.call_service, name, body=name)
    pair.site.wait(lambda: pair.count_records("keys") > before)
    return call


def wait_ended(pair):
    """Wait until both VMs have read the results of all earlier runs.

    A late record of an earlier run would break the log instead of the claim.
    """

    def has_ended(vm):
        table = pair.site.get_state(vm, "keys")
        phases = [entry["phase"] for entry in table["newest"].values()]
        return table["log_reachable"] and "claimed" not in phases

    for vm in (pair.entry, pair.owner):
        pair.site.wait(lambda vm=vm: has_ended(vm))


def truncate_keys(pair):
    """Truncate the stream of keys, as retention does, dropping all records."""
    start = pair.count_records("keys")
    url = f"{pair.site.platform_url}/streams/keys/truncate"
    assert sites.fetch("POST", url, {"start": start}) is not None


def wait_read(pair):
    """Wait until both VMs have read the whole stream of keys."""
    for vm in (pair.entry, pair.owner):
        pair.site.wait(
            lambda vm=vm: pair.site.get_state(vm, "keys")["next_offset"]
            >= pair.count_records("keys")
        )
