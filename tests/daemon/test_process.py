"""Tests of requests to daemons that run as separate processes."""

from __future__ import annotations

import json
import time

from standins import site as sites


def test_request_runs_on_named_version(site):
    """Guards against an answer from a version other than the one requested."""
    answer = site.send("trust-1@1", max_tokens=4)
    assert answer.status == 200
    assert json.loads(answer.content)["model"] == "trust-1@1"


def test_stream_ends_with_marker(site):
    """Guards against a stream that arrives without its end marker."""
    answer = site.send("trust-2", max_tokens=5, stream=True)
    assert answer.content.endswith(b"data: [DONE]\n\n")
    assert answer.content.count(b"token") == 5


def test_resent_key_runs_once(site):
    """Guards against a duplicate run when a caller sends a request again."""
    headers = {
        "Idempotency-Key": "stage-1",
        "Idempotency-Issued-At": str(int(time.time() * 1000)),
    }
    answers = [
        site.send("trust-3", vm=vm, headers=headers, prompt="stage once")
        for vm in site.vms.values()
    ]
    assert site.count_runs("stage once") == 1
    names = (b"bronzetrack-vm", b"bronzetrack-endpoint")
    served = {
        tuple(dict(answer.headers)[name] for name in names)
        for answer in answers
    }
    assert len(served) == 1
    assert len({answer.content for answer in answers}) == 1


def test_lookup_names_the_owner_of_the_warm_endpoint(site):
    """Guards against an extra hop for a model name without a version."""
    answer = site.send("trust-1", max_tokens=4)
    warm = dict(answer.headers)[b"bronzetrack-vm"].decode()

    def lists_warm_owner_first() -> bool:
        found = sites.fetch(
            "GET", f"http://{site.vms[warm].callers}/v1/entry?model=trust-1"
        )
        first = found["entries"][0]
        return (first["vm"], first["reason"]) == (warm, "owns_warm_endpoint")

    site.wait(lists_warm_owner_first)
