"""Documents of operators and endpoints."""

from __future__ import annotations

import json

import hypothesis
from hypothesis import strategies
import pytest

from bronzetrack.entry import routes
from bronzetrack.platform import documents

ENTRY = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "z",
    "capacity": 4,
    "state": "ready",
    "sequence": 3,
    "born": 17,
    "models": [{"name": "m", "version": 1, "adapters": ["a1@2", "a2"]}],
}
ROUTE = {
    "name": "r",
    "hostname": "Host.Example",
    "path_prefix": "/p/",
    "route_kind": "streaming",
    "timeout_ms": 15_000,
    "aim_ms": 1_000,
    "priority": 2,
    "service": "s",
    "max_attempts": 2,
    "resumable": True,
    "gap_target_ms": 250,
}


def encode(document):
    """Return a document as it lies in the store."""
    return json.dumps(document).encode()


def test_entry_is_decoded_once():
    """Guards against fields that are mistaken for others."""
    found = documents.decode_announcement("i-1", encode(ENTRY))
    assert found.announced == 3
    assert found.started_ms == 17
    assert found.adapters == {("m", "a1"): 2, ("m", "a2"): 1}
    assert not found.draining


@pytest.mark.parametrize(
    "change",
    [
        {"state": "odd"},
        {"state": None},
        {"service": 7},
        {"address": "nowhere"},
        {"address": "10.0.0.1:x"},
        {"capacity": True},
        {"capacity": "4"},
        {"zone": None},
        {"models": [{"version": 1}]},
        {"models": [{"name": "m", "adapters": ["a@x"]}]},
    ],
)
def test_foreign_entry_names_no_endpoint(change):
    """Guards against an entry of another writer that is used."""
    with pytest.raises(documents.DocumentError):
        documents.decode_announcement("i-1", encode(ENTRY | change))


@pytest.mark.parametrize("name", ["service", "address", "zone", "state"])
def test_entry_without_a_field_names_no_endpoint(name):
    """Guards against a default where an entry says nothing."""
    entry = {key: value for key, value in ENTRY.items() if key != name}
    with pytest.raises(documents.DocumentError):
        documents.decode_announcement("i-1", encode(entry))


@hypothesis.given(strategies.binary(max_size=60))
def test_any_bytes_give_a_document_or_an_error(data):
    """Guards against bytes that end a controller."""
    for decode in (
        documents.decode_configuration,
        documents.decode_version,
        documents.decode_report,
        lambda item: documents.decode_announcement("i", item),
    ):
        try:
            decode(data)
        except documents.DocumentError:
            pass


def test_configuration_gives_routes_by_host_and_prefix():
    """Guards against hosts that are compared with their case."""
    data = encode({"version": 7, "routes": [ROUTE], "services": []})
    found = documents.decode_configuration(data)
    route = routes.find_route(found, "host.example", "/p/x")
    assert route is not None
    assert route.resumable
    assert route.idempotent
    assert route.timeout_s == 15.0
    assert route.patience_s == 4.0


def test_stream_that_may_not_be_resumed_runs_once():
    """Guards against a second run of a stream."""
    document = ROUTE | {"resumable": False}
    data = encode({"version": 7, "routes": [document]})
    route = routes.find_route(
        documents.decode_configuration(data), "host.example", "/p/"
    )
    assert not route.idempotent


def test_split_route_keeps_its_weights():
    """Guards against a split that sends everything to one service."""
    split = [{"service": "a", "weight": 90}, {"service": "b", "weight": 10}]
    document = {key: ROUTE[key] for key in ROUTE if key != "service"}
    data = encode({"version": 7, "routes": [document | {"split": split}]})
    route = routes.find_route(
        documents.decode_configuration(data), "host.example", "/p/"
    )
    assert [(s.service, s.weight) for s in route.shares] == [
        ("a", 90.0),
        ("b", 10.0),
    ]


def test_malformed_configuration_is_an_error():
    """Guards against half a configuration in force."""
    data = encode({"version": 7, "routes": [{"hostname": "h"}]})
    with pytest.raises(documents.DocumentError):
        documents.decode_configuration(data)


def test_report_lists_what_is_on_its_way():
    """Guards against places that are counted as free."""
    data = encode(ENTRY | {"pending": ["m/a3@1"], "busy": False})
    report = documents.decode_report(data)
    assert report.pending == {("m", "a3")}
    assert report.sequence == 3


JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(max_size=5),
    lambda items: strategies.lists(items, max_size=3)
    | strategies.dictionaries(
        strategies.sampled_from(["name", "adapters", "version", "service"]),
        items,
        max_size=3,
    ),
    max_leaves=6,
)
REPORT = {"sequence": 3, "models": [], "pending": ["m/a3@1"], "busy": False}


def decode_entry(data):
    return documents.decode_announcement("i-1", data)


@pytest.mark.parametrize(
    ("decode", "document"),
    [
        (documents.decode_report, REPORT),
        (decode_entry, ENTRY),
        (
            documents.decode_configuration,
            {"version": 7, "routes": [ROUTE], "services": [], "limits": {}},
        ),
        (
            lambda data: documents.decode_configuration(
                json.dumps(
                    {"version": 7, "routes": [json.loads(data)]}
                ).encode()
            ),
            ROUTE,
        ),
    ],
    ids=["report", "entry", "configuration", "route"],
)
@hypothesis.given(data=strategies.data())
def test_any_value_of_a_field_gives_a_document_or_an_error(
    decode, document, data
):
    """Guards against one bad field that ends a controller.

    A report whose list of loads held no text ended the holder of the lease.
    """
    name = data.draw(strategies.sampled_from(sorted(document)))
    changed = document | {name: data.draw(JSON)}
    try:
        decode(json.dumps(changed).encode())
    except documents.DocumentError:
        pass
