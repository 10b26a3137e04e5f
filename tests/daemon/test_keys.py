"""Tests of idempotency keys with daemons that fail around the dispatch."""

from __future__ import annotations

import signal

from daemon import pairs


def test_key_sent_to_all_vms_at_once_runs_once(site):
    """Guards against two VMs that both dispatch work for one key."""
    calls = [
        (vm, "all-at-once", "install everywhere")
        for vm in site.vms.values()
        for _ in range(3)
    ]
    with pairs.futures.ThreadPoolExecutor(len(calls)) as threads:
        answers = list(
            threads.map(lambda call: pairs.call_service(*call), calls)
        )
    assert {pairs.read_outcome(answer) for answer in answers} == {"completed"}
    assert len({answer.content for answer in answers}) == 1
    assert site.count_runs("install everywhere") == 1


def test_reused_key_is_refused_through_any_vm(site):
    """Guards against replaying the answer of one request to another."""
    first, *others = site.vms.values()
    assert pairs.call_service(first, "reused", "one").status == 200
    for vm in others:
        answer = pairs.call_service(vm, "reused", "two")
        assert b"key_reused" in answer.content
    assert site.count_runs("two") == 0


def test_lost_append_answers_do_not_double_a_run(service_pair):
    """Guards against a second dispatch when an append is retried."""
    service_pair.set_faults(lose_answers=4)
    assert pairs.read_outcome(service_pair.call_service("k")) == "completed"
    assert pairs.read_outcome(
        service_pair.call_service("k", service_pair.owner)
    ) == ("completed")
    assert service_pair.site.count_runs("install") == 1


def test_log_outage_refuses_and_a_resend_runs_once(service_pair):
    """Guards against keyed work that runs without a claim in the log."""
    service_pair.set_faults(log_down=True)
    for vm in (service_pair.entry, service_pair.owner):
        service_pair.site.wait(
            lambda vm=vm: not service_pair.site.get_state(vm, "keys")[
                "log_reachable"
            ]
        )
    answer = service_pair.call_service("k")
    assert pairs.read_outcome(answer) == "refused"
    assert b"log_unavailable" in answer.content
    assert service_pair.site.count_runs("install") == 0
    service_pair.set_faults()
    for vm in (service_pair.entry, service_pair.owner):
        service_pair.site.wait(
            lambda vm=vm: service_pair.site.get_state(vm, "keys")[
                "log_reachable"
            ]
        )
    assert pairs.read_outcome(service_pair.call_service("k")) == "completed"
    assert service_pair.site.count_runs("install") == 1


def test_killed_claimant_leaves_its_key_unknown(service_pair):
    """Guards against a rerun, or "not run", after a claim was appended."""
    service_pair.set_faults(read_delay_s=2.0)
    call = service_pair.start_call("k")
    service_pair.wait_claim()
    service_pair.signal_owner(signal.SIGKILL)
    service_pair.set_faults()
    assert pairs.read_outcome(call.result()) == "unknown"
    assert pairs.read_outcome(service_pair.call_service("k")) == "unknown"
    assert service_pair.site.count_runs("install") == 0


def test_paused_claimant_is_the_only_one_that_may_run(service_pair):
    """Guards against a second run beside that of a resumed claimant."""
    service_pair.set_faults(read_delay_s=2.0)
    call = service_pair.start_call("k")
    service_pair.wait_claim()
    service_pair.signal_owner(signal.SIGSTOP)
    service_pair.set_faults()
    # The entry VM considers the owner lost and has claimed its endpoints.
    assert pairs.read_outcome(call.result()) == "unknown"
    service_pair.signal_owner(signal.SIGCONT)
    # The claimant finds that its lease has lapsed and voids its claim.
    service_pair.site.wait(
        lambda: pairs.read_outcome(service_pair.call_service("k")) == "not_run"
    )
    assert service_pair.site.count_runs("install") == 0


def test_claimant_killed_in_its_run_is_not_replaced(engine_pair):
    """Guards against a rerun of work whose result was lost."""
    headers = pairs.make_key("k")
    fields = {"max_tokens": 200, "prompt": "flash the device"}
    call = engine_pair.threads.submit(
        engine_pair.site.send,
        "trust-1",
        engine_pair.entry,
        headers,
        60.0,
        **fields,
    )
    engine_pair.site.wait(
        lambda: engine_pair.site.count_runs("flash the device") == 1
    )
    engine_pair.signal_owner(signal.SIGKILL)
    assert pairs.read_outcome(call.result()) == "unknown"
    answer = engine_pair.site.send(
        "trust-1", engine_pair.entry, headers, 60.0, **fields
    )
    assert pairs.read_outcome(answer) == "unknown"
    assert engine_pair.site.count_runs("flash the device") == 1
