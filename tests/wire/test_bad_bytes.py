"""Tests of invalid messages, records and documents."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies
import msgpack
import pytest

from bronzetrack.configuration import inventory as inventories
from bronzetrack.configuration import records as configuration_records
from bronzetrack.configuration import replay
from bronzetrack.configuration import rules as rule_sets
from bronzetrack.configuration import state as states
from bronzetrack.core import errors
from bronzetrack.core import failures
from bronzetrack.core import messages
from bronzetrack.core import records
from bronzetrack.idempotency import table
from bronzetrack.logservice import logservice
from bronzetrack.ownership import leases
from bronzetrack.ownership import replay as ownership_replay
from bronzetrack.peer import hub
from bronzetrack.streaming import messages as streaming_messages
from bronzetrack.wire import documents

VALUES = strategies.recursive(
    strategies.one_of(
        strategies.none(),
        strategies.booleans(),
        strategies.integers(-(2**63), 2**64 - 1),
        strategies.floats(),
        strategies.text(max_size=10),
        strategies.binary(max_size=10),
    ),
    lambda inner: strategies.one_of(
        strategies.lists(inner, max_size=4),
        strategies.dictionaries(
            strategies.text(max_size=8), inner, max_size=4
        ),
    ),
    max_leaves=8,
)


def make_fields(cls: type) -> strategies.SearchStrategy:
    """Return a strategy for mappings with the field names of a class."""
    names = [field.name for field in cls.__attrs_attrs__]
    return strategies.fixed_dictionaries(
        {}, optional={name: VALUES for name in names}
    )


def make_encoded(registry) -> strategies.SearchStrategy:
    """Return a strategy for bytes that often resemble encoded objects.

    The objects are those of the classes in a registry.
    """
    named = [
        make_fields(cls).map(lambda fields, name=name: (name, fields))
        for name, cls in registry.items()
    ]
    return strategies.one_of(
        strategies.binary(max_size=60),
        VALUES.map(msgpack.packb),
        *(strategy.map(msgpack.packb) for strategy in named),
    )


@pytest.mark.parametrize(
    "codec, registry",
    [
        (hub.CODEC, messages.MESSAGES),
        (logservice.CODEC, records.RECORDS),
    ],
    ids=["messages", "records"],
)
def test_any_bytes_give_an_object_or_a_failure(codec, registry):
    """Guards against bytes of a peer or of the log that crash a daemon."""
    classes = tuple(cls for _, cls in registry.items())

    @hypothesis.given(make_encoded(registry))
    def check(data: bytes) -> None:
        found = codec.decode(data)
        if isinstance(found, failures.Failure):
            assert found.reason is codec.failure_reason
        else:
            assert isinstance(found, classes)

    check()


def test_any_record_can_be_replayed():
    """Guards against a record in the wrong stream that crashes a daemon."""

    @hypothesis.given(make_encoded(records.RECORDS))
    def check(data: bytes) -> None:
        record = logservice.CODEC.decode(data)
        replay.apply_record(states.ConfigurationState(), 0, record, documents)
        ownership_replay.apply_record(leases.OwnershipState(), 0, record, 0)
        if not isinstance(record, failures.Failure):
            table.apply_record({}, 0, record)

    check()


def make_documents(kind: str) -> strategies.SearchStrategy:
    cls = documents.DOCUMENT_CLASSES[kind]
    return strategies.one_of(VALUES, make_fields(cls))


@pytest.mark.parametrize("kind", ["inventory", "rules"])
def test_any_document_is_read_or_rejected(kind):
    """Guards against a publication that crashes each daemon that reads it."""
    cls = documents.DOCUMENT_CLASSES[kind]

    @hypothesis.given(make_documents(kind), strategies.booleans())
    def check(document, delta) -> None:
        found = documents.read_document(kind, document)
        assert isinstance(found, (cls, failures.Failure))
        if not isinstance(document, dict):
            return
        record = configuration_records.PublicationRecord(
            kind, states.NO_OFFSET, document, delta=delta
        )
        decided = replay.decide_publication(
            states.Configuration(), 0, record, documents
        )
        assert isinstance(decided, (states.Configuration, failures.Failure))

    check()


@pytest.mark.parametrize("name", ["é", "a\nb", "a b\x00", ""])
@pytest.mark.parametrize("section", ["adapters", "endpoints", "versions"])
def test_name_that_is_invalid_in_a_header_is_rejected(name, section):
    """Guards against an inventory with a name that makes each answer fail.

    The name is sent in a header of the answer.
    """
    version = name if section == "versions" else "1"
    adapter = inventories.Adapter("trust", "base", (version,), version)
    endpoint = inventories.Endpoint("127.0.0.1", 1, "a", base_model="base")
    inventory = inventories.Inventory(
        members=("trust",),
        base_models=("base",),
        adapters={name if section == "adapters" else "a": adapter},
        endpoints={name if section == "endpoints" else "e": endpoint},
    )
    record = configuration_records.PublicationRecord(
        "inventory", states.NO_OFFSET, documents.write_document(inventory)
    )
    decided = replay.decide_publication(
        states.Configuration(rules=rule_sets.Rules()), 0, record, documents
    )
    assert isinstance(decided, failures.Failure)


def test_integer_beyond_64_bits_is_a_typed_error():
    """Guards against a value that crashes the sender of a message."""
    message = streaming_messages.AnswerStarted("a", 1 << 70, "text/plain")
    with pytest.raises(errors.FailureError):
        hub.CODEC.encode(message)


def test_deep_nesting_is_a_failure():
    """Guards against a small message that exhausts the stack."""
    found = hub.CODEC.decode(b"\x92\xa5hello" + b"\x91" * 500_000)
    assert isinstance(found, failures.Failure)
