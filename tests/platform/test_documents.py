"""Tests of the decoders of operators' and endpoints' documents."""

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


def encode_document(document):
    """Return a document as it is stored."""
    return json.dumps(document).encode()


def test_entry_fields_are_decoded():
    """Guards against a field that is decoded from the wrong key."""
    decoded = documents.decode_announcement("i-1", encode_document(ENTRY))
    assert decoded.announcement_count == 3
    assert decoded.started_ms == 17
    assert decoded.adapters == {("m", "a1"): 2, ("m", "a2"): 1}
    assert not decoded.draining


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
def test_malformed_entry_is_rejected(change):
    """Guards against a malformed entry of another writer that is used."""
    with pytest.raises(documents.DocumentError):
        documents.decode_announcement("i-1", encode_document(ENTRY | change))


@pytest.mark.parametrize("name", ["service", "address", "zone", "state"])
def test_entry_without_a_required_field_is_rejected(name):
    """Guards against a default for a required field that is missing."""
    entry = {key: value for key, value in ENTRY.items() if key != name}
    with pytest.raises(documents.DocumentError):
        documents.decode_announcement("i-1", encode_document(entry))


@hypothesis.given(strategies.binary(max_size=60))
def test_any_bytes_give_a_document_or_an_error(data):
    """Guards against bytes whose decoding raises another exception.

    Such an exception ends the controller that reads the document.
    """
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
    """Guards against host names that are compared case-sensitively."""
    data = encode_document({"version": 7, "routes": [ROUTE], "services": []})
    decoded = documents.decode_configuration(data)
    route = routes.find_route(decoded, "host.example", "/p/x")
    assert route is not None
    assert route.resumable
    assert route.idempotent
    assert route.timeout_s == 15.0
    assert route.caller_timeout_s == 4.0


def test_stream_that_is_not_resumable_is_not_idempotent():
    """Guards against a stream that runs twice though it isn't resumable."""
    document = ROUTE | {"resumable": False}
    data = encode_document({"version": 7, "routes": [document]})
    route = routes.find_route(
        documents.decode_configuration(data), "host.example", "/p/"
    )
    assert not route.idempotent


def test_split_route_keeps_its_weights():
    """Guards against a split that sends everything to one service."""
    split = [{"service": "a", "weight": 90}, {"service": "b", "weight": 10}]
    document = {key: ROUTE[key] for key in ROUTE if key != "service"}
    data = encode_document(
        {"version": 7, "routes": [document | {"split": split}]}
    )
    route = routes.find_route(
        documents.decode_configuration(data), "host.example", "/p/"
    )
    assert [(s.service, s.weight) for s in route.weighted_services] == [
        ("a", 90.0),
        ("b", 10.0),
    ]


def test_malformed_configuration_is_an_error():
    """Guards against a configuration that is applied in part."""
    data = encode_document({"version": 7, "routes": [{"hostname": "h"}]})
    with pytest.raises(documents.DocumentError):
        documents.decode_configuration(data)


def test_report_lists_pending_adapters():
    """Guards against adapter slots of pending loads counted as free."""
    data = encode_document(ENTRY | {"pending": ["m/a3@1"], "busy": False})
    report = documents.decode_report(data)
    assert report.pending == {("m", "a3")}
    assert report.sequence == 3


JSON_VALUES = strategies.recursive(
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
    """Guards against one malformed field that ends a controller.

    A report whose list of pending loads held values other than strings ended
    the lease holder.
    """
    name = data.draw(strategies.sampled_from(sorted(document)))
    changed = document | {name: data.draw(JSON_VALUES)}
    try:
        decode(json.dumps(changed).encode())
    except documents.DocumentError:
        pass


DEEP = b'{"a":' * 100_000 + b"1" + b"}" * 100_000


@pytest.mark.parametrize(
    "change",
    [
        {"address": "10.0.0.1:65536"},
        {"address": "10.0.0.1:0"},
        {"address": "10.0.0.1:\u00b2"},
        {"address": "bad\u0000host:80"},
        {"address": "somewhere.example:80"},
        {"address": "fe80::1%eth0:80"},
        {"address": "fe80::1%" + "z" * 70 + ":80"},
        {"address": "fe80::1%a b:80"},
        {"remaining_ms": 10**400},
        {"remaining_ms": float("inf")},
        {"remaining_ms": float("nan")},
        {"capacity": 10**400},
        {"capacity": -1},
        {"sequence": 10**400},
        {"born": 10**400},
        {"models": [{"name": 5}]},
        {"models": [{"name": "\ud800"}]},
        {"models": [{"name": "m", "adapters": ["\udfff@1"]}]},
        {"zone": "\ud800"},
        {"unknown": ["\udc00\ud800"]},
        {"models": [{"name": "m", "version": 10**400}]},
        {"models": 7},
    ],
    ids=str,
)
def test_odd_entry_raises_a_typed_error(change):
    """Guards against an entry of another writer that ends every VM."""
    with pytest.raises(documents.DocumentError):
        documents.decode_announcement("e", encode_document(ENTRY | change))


@pytest.mark.parametrize(
    "decode",
    [
        lambda data: documents.decode_announcement("e", data),
        documents.decode_report,
        documents.decode_configuration,
        documents.decode_version,
    ],
)
def test_deeply_nested_document_raises_a_typed_error(decode):
    """Guards against a document that ends every VM that reads it."""
    with pytest.raises(documents.DocumentError):
        decode(DEEP)


@pytest.mark.parametrize("identity", ["", "e\r\nX-Hold: 1", "e 1", "\u00e9"])
def test_id_that_is_no_header_value_raises_a_typed_error(identity):
    """Guards against an id that adds headers to requests."""
    with pytest.raises(documents.DocumentError):
        documents.decode_announcement(identity, encode_document(ENTRY))


def test_pair_of_surrogates_is_one_character():
    """Guards against a refusal of text that JSON escapes by two surrogates."""
    data = encode_document(ENTRY | {"zone": "\U0001f6e9"})
    assert b"\\ud83d" in data
    decoded = documents.decode_announcement("e", data)
    assert decoded.zone == "\U0001f6e9"


@pytest.mark.parametrize("data", [b"\xed\xa0\x80", b"\xff", b"\xc3"])
def test_bytes_that_are_no_utf8_raise_a_typed_error(data):
    """Guards against an entry whose text cannot be encoded again."""
    entry = encode_document(ENTRY | {"zone": "ZONE"})
    with pytest.raises(documents.DocumentError):
        documents.decode_announcement("e", entry.replace(b"ZONE", data))
