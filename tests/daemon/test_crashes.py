"""Tests of requests that crash the endpoints that run them."""

from __future__ import annotations

import json

from daemon import pairs

from standins import site as sites

CRASHING_TEXT = "crash-the-endpoint"
HELD_TEXT = "hold-until-released"


def test_crashing_request_is_refused_and_others_are_answered(engine_pair):
    """Guards against a request that crashes the engine repeatedly."""
    site = engine_pair.site
    engine = site.endpoints["engine-0"]
    vms = [engine_pair.entry, engine_pair.owner]
    calls = [
        engine_pair.threads.submit(
            site.send, "trust-1", vm, max_tokens=100, prompt=f"innocent {name}"
        )
        for name, vm in enumerate(vms)
    ]
    site.wait(lambda: site.count_runs("innocent") == len(calls))
    crashing = engine_pair.threads.submit(
        site.send, "trust-1", engine_pair.entry, prompt=CRASHING_TEXT
    )
    for _ in range(2):
        engine.process.wait(pairs.TIMEOUTS["read"])
        site.start_endpoint(engine)
    refused = crashing.result()
    assert pairs.read_outcome(refused) == "failed"
    assert read_reason(refused) == "crashes_endpoints"
    for call in calls:
        assert call.result().status == 200
        assert call.result().content.count(b"token") > 100
    for number, vm in enumerate(vms):
        answer = site.send(
            "trust-1",
            vm,
            prompt=CRASHING_TEXT,
            user=f"user-{number}",
            stream=True,
        )
        assert pairs.read_outcome(answer) == "refused"
        assert read_reason(answer) == "crashes_endpoints"
    assert engine.process.poll() is None


def test_crashing_call_takes_two_runs_of_a_service(service_pair):
    """Guards against a call that crashes a service repeatedly.

    The service is restarted within seconds. Calls that ran during the crash
    are completed if they are repeatable; otherwise their outcome is unknown.
    """
    pair = service_pair
    site = pair.site
    calls = {
        name: pair.threads.submit(
            pairs.call_service,
            vm,
            key,
            "",
            method=method,
            path=HELD_TEXT + name,
        )
        for name, vm, key, method in (
            ("get", pair.entry, None, "GET"),
            ("post", pair.owner, "held", "POST"),
        )
    }
    site.wait(lambda: site.count_runs(HELD_TEXT) == len(calls))
    crashing = pair.threads.submit(
        pairs.call_service,
        pair.entry,
        None,
        "",
        method="GET",
        path=CRASHING_TEXT,
    )
    for _ in range(2):
        restart_service(pair)
    refused = crashing.result()
    assert pairs.read_outcome(refused) == "failed"
    assert read_reason(refused) == "crashes_endpoints"
    assert pairs.read_outcome(calls["get"].result()) == "completed"
    assert pairs.read_outcome(calls["post"].result()) == "unknown"
    for vm in (pair.entry, pair.owner):
        again = pairs.call_service(
            vm, None, "", method="GET", path=CRASHING_TEXT
        )
        assert pairs.read_outcome(again) == "refused"
        assert read_reason(again) == "crashes_endpoints"
    # The completed call is no longer a suspect. The other one is, until it
    # has run alone under a new key.
    for vm in (pair.entry, pair.owner):
        site.wait(lambda vm=vm: count_suspects(pair, vm) == 2)
    answer = pairs.call_service(pair.entry, "new", "", path=HELD_TEXT + "post")
    assert pairs.read_outcome(answer) == "completed"
    for vm in (pair.entry, pair.owner):
        site.wait(lambda vm=vm: count_suspects(pair, vm) == 1)
    assert get_service(pair).process.poll() is None


def test_crashing_call_under_keys_takes_two_runs_of_a_service(service_pair):
    """Guards against a rerun of a used key, or a third run under new keys."""
    pair = service_pair
    for key in ("first", "second"):
        call = pair.threads.submit(pair.call_service, key, body=CRASHING_TEXT)
        restart_service(pair)
        assert pairs.read_outcome(call.result()) == "unknown"
        again = pair.call_service(key, pair.owner, CRASHING_TEXT)
        assert pairs.read_outcome(again) in ("unknown", "refused")
    for vm in (pair.entry, pair.owner):
        refused = pair.call_service("third", vm, CRASHING_TEXT)
        assert pairs.read_outcome(refused) == "refused"
        assert read_reason(refused) == "crashes_endpoints"
    without_key = pairs.call_service(pair.entry, None, CRASHING_TEXT)
    assert read_reason(without_key) == "key_required"
    assert get_service(pair).process.poll() is None


def get_service(pair):
    """Return the process of the only service."""
    [service] = pair.site.endpoints.values()
    return service


def restart_service(pair):
    """Wait until the service has crashed and restart it."""
    service = get_service(pair)
    service.process.wait(pairs.TIMEOUTS["read"])
    pair.site.start_endpoint(service)
    pair.site.wait(
        lambda: sites.fetch("POST", f"{service.url}/release") is not None
    )


def count_suspects(pair, vm):
    """Return how many requests a VM suspects of crashing endpoints."""
    suspects = pair.site.get_state(vm, "suspects")["suspects"].values()
    return sum(
        bool(set(item["crashes"]) - set(item["cleared"])) for item in suspects
    )


def read_reason(answer: pairs.httpcore.Response) -> str:
    return json.loads(answer.content)["error"]["type"]
