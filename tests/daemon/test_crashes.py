"""Test of a request that crashes the endpoints that run it."""

from __future__ import annotations

import json

from daemon import pairs

BAD = "crash-the-endpoint"


def test_crashing_request_is_refused_and_innocents_are_answered(engine_pair):
    """Guards against a request that takes the engine down again and again."""
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
    bad = engine_pair.threads.submit(
        site.send, "trust-1", engine_pair.entry, prompt=BAD
    )
    for _ in range(2):
        engine.process.wait(pairs.TIMEOUTS["read"])
        site.start_endpoint(engine)
    refused = bad.result()
    assert pairs.read_outcome(refused) == "failed"
    assert read_reason(refused) == "crashes_endpoints"
    for call in calls:
        assert call.result().status == 200
        assert call.result().content.count(b"token") > 100
    for number, vm in enumerate(vms):
        answer = site.send(
            "trust-1", vm, prompt=BAD, user=f"user-{number}", stream=True
        )
        assert pairs.read_outcome(answer) == "refused"
        assert read_reason(answer) == "crashes_endpoints"
    assert engine.process.poll() is None


def read_reason(answer: pairs.httpcore.Response) -> str:
    return json.loads(answer.content)["error"]["type"]
