"""Tests of the pooled HTTP client of `wire`."""

from __future__ import annotations

import sys

import anyio

from bronzetrack.core import failures
from bronzetrack.wire import httpclient


class SearchRecorder:
    """Import finder that records the modules that are searched for."""

    def __init__(self):
        self.names = []

    def find_spec(self, name, path=None, target=None):
        self.names.append(name)


async def fetch_twice(recorder, monkeypatch):
    pool = httpclient.make_pool(2)
    await httpclient.fetch(pool, "GET", "http://127.0.0.1:9/", 500)
    monkeypatch.setattr(sys, "meta_path", [recorder, *sys.meta_path])
    return await httpclient.fetch(pool, "GET", "http://127.0.0.1:9/", 500)


def test_second_request_searches_for_no_module(monkeypatch):
    """Guards against imports in the request path that search for a module."""
    recorder = SearchRecorder()
    answer = anyio.run(fetch_twice, recorder, monkeypatch)
    assert isinstance(answer, failures.Failure)
    assert recorder.names == []
