"""Tests that work runs on the version that was fixed on its arrival."""

from __future__ import annotations

import json

import pytest

from standins import site as sites


@pytest.fixture
def busy_pair(narrow_pair):
    """Yield a pair with its only slot in use, and a request that waits for it.

    The request named no version and arrived while version 2 was current.
    Its version is loaded, so that it waits only for the slot.
    """
    with narrow_pair.open_stream(model="trust-0", max_tokens=5_000) as answer:
        parts = answer.iter_stream()
        next(parts)
        call = narrow_pair.threads.submit(
            narrow_pair.site.send, "trust-1", narrow_pair.entry
        )
        narrow_pair.site.wait(lambda: is_loaded(narrow_pair, "trust-1@2"))
        yield narrow_pair, call, answer


def test_publication_does_not_change_waiting_work(busy_pair):
    """Guards against an answer from a version published after arrival."""
    pair, call, blocker = busy_pair
    document = pair.site.make_inventory()
    # Version 2 is not only replaced but withdrawn.
    document["adapters"]["trust-1"] |= {"versions": ["1", "3"], "current": "3"}
    sites.publish_documents(pair.site, {"inventory": document})
    for vm in (pair.entry, pair.owner):
        pair.site.wait(lambda vm=vm: get_current(pair, vm) == "3")
    assert not call.done()
    blocker.close()
    assert read_version(call.result()) == ("2", "trust-1@2")
    later = pair.site.send("trust-1", pair.entry)
    assert read_version(later) == ("3", "trust-1@3")


def test_engine_emptied_between_load_and_dispatch(busy_pair):
    """Guards against failed work on an engine that lost its adapters.

    The restart ends the work in the slot at once, but appears in the load
    report only later, so that the owner dispatches to an empty engine.
    """
    pair, call, _ = busy_pair
    [engine] = pair.site.endpoints.values()
    assert sites.fetch("POST", f"{engine.url}/restart") is not None
    answer = call.result()
    assert answer.status == 200
    assert read_version(answer) == ("2", "trust-1@2")
    assert pair.site.count_runs('"prompt": "hello"') == 1


def is_loaded(pair, adapter):
    """Return whether work waits while its adapter version is loaded."""
    [queue] = pair.site.get_state(pair.owner, "dispatch")["endpoints"].values()
    resident = queue["residents"].get(adapter)
    ready = resident is not None and resident["phase"] == "ready"
    return bool(queue["waiting"]) and ready


def get_current(pair, vm):
    """Return the current version of the adapter, as known to a VM."""
    state = pair.site.get_state(vm, "configuration")
    inventory = state["configuration"]["inventory"]
    return inventory["adapters"]["trust-1"]["current"]


def read_version(answer):
    """Return the version in the headers and the model in the body."""
    headers = {name.lower(): value for name, value in answer.headers}
    model = json.loads(answer.content)["model"]
    return headers[b"bronzetrack-version"].decode(), model
