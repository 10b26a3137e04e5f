"""Tests of streams whose endpoint stops sending but stays connected."""

from __future__ import annotations

from collections.abc import Iterator
import contextlib
import json
import signal
import time

import httpcore
import pytest

from standins import site as sites

# The daemon of this module considers a stream lost after 1 s of silence.
END_TIMEOUT_S = 6.0


@pytest.fixture(scope="module")
def short_timeout_site(tmp_path_factory) -> Iterator[sites.Site]:
    """Yield one VM with two engines and a short silence timeout."""
    with sites.run_site(
        tmp_path_factory.mktemp("site"),
        vms=1,
        engines=2,
        services=0,
        endpoint_zones=("zone-a",),
        token_ms=20.0,
        extra_settings="[limits]\nstream_silence_ms = 1000\n",
    ) as running:
        sites.publish_samples(running)
        running.wait(lambda: running.count_owned() == 2)
        yield running


@contextlib.contextmanager
def open_stream(site: sites.Site, model: str) -> Iterator[httpcore.Response]:
    """Send a streamed request to the only VM and yield its response."""
    body = {"model": model, "prompt": "x", "stream": True, "max_tokens": 60}
    with httpcore.stream(
        "POST",
        f"http://{site.vms['vm-0'].callers}/v1/completions",
        content=json.dumps(body).encode(),
        extensions={"timeout": dict.fromkeys(sites.TIMEOUTS, 40.0)},
    ) as answer:
        yield answer


def get_engine(
    site: sites.Site, answer: httpcore.Response
) -> sites.EndpointProcess:
    """Return the engine in the headers of a response."""
    headers = dict(answer.headers)
    return site.endpoints[headers[b"bronzetrack-endpoint"].decode()]


def count_events(site: sites.Site, event: str) -> int:
    """Return how often the log of the VM has an event."""
    log = (site.folder / "vm-0.log").read_text()
    return log.count(f'"event": "{event}"')


def test_stream_continues_after_a_silence(short_timeout_site):
    """Guards against an answer that is truncated when its endpoint pauses."""
    site = short_timeout_site
    with open_stream(site, "trust-1") as answer:
        parts = answer.iter_stream()
        body = next(parts)
        engine = get_engine(site, answer)
        engine.process.send_signal(signal.SIGSTOP)
        try:
            site.wait(lambda: count_events(site, "endpoint_silent"))
        finally:
            engine.process.send_signal(signal.SIGCONT)
        body += b"".join(parts)
    assert [body.count(b'"token%d "' % index) for index in range(60)] == (
        [1] * 60
    )
    assert body.endswith(b"data: [DONE]\n\n")


def test_silence_before_the_first_chunk_is_retried(short_timeout_site):
    """Guards against a request that hangs on a host that died silently."""
    site = short_timeout_site
    with open_stream(site, "trust-2") as answer:
        engine = get_engine(site, answer)
        assert b"[DONE]" in b"".join(answer.iter_stream())
    engine.process.send_signal(signal.SIGSTOP)
    began = time.monotonic()
    try:
        with open_stream(site, "trust-2") as answer:
            assert get_engine(site, answer) is not engine
            assert b"[DONE]" in b"".join(answer.iter_stream())
    finally:
        engine.process.send_signal(signal.SIGCONT)
    assert time.monotonic() - began < END_TIMEOUT_S


def test_endless_silence_ends_the_stream(short_timeout_site):
    """Guards against a stream left open by a host that died silently."""
    site = short_timeout_site
    with open_stream(site, "trust-3") as answer:
        parts = answer.iter_stream()
        next(parts)
        engine = get_engine(site, answer)
        engine.process.send_signal(signal.SIGSTOP)
        try:
            began = time.monotonic()
            rest = b"".join(parts)
            assert time.monotonic() - began < END_TIMEOUT_S
            # The slot and the pinned adapter are kept until the engine
            # confirms the end.
            queues = site.get_state(site.vms["vm-0"], "dispatch")["endpoints"]
            assert len(queues[engine.name]["running"]) == 1
        finally:
            engine.process.send_signal(signal.SIGCONT)
    assert b"[DONE]" not in rest
    assert b"endpoint_silent" in rest

    def is_idle() -> bool:
        queues = site.get_state(site.vms["vm-0"], "dispatch")["endpoints"]
        return not any(queue["running"] for queue in queues.values())

    site.wait(is_idle)
