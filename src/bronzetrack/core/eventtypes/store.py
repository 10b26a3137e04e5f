"""Log events of the store and of what operators write there."""

from __future__ import annotations

import logging

import attrs

from bronzetrack.core import logevents


@logevents.register("configuration", "a configuration is in force")
@attrs.frozen
class ConfigurationApplied(logevents.LogEvent):
    """A configuration document of the operators has taken effect."""

    version: int


@logevents.register(
    "adapter_version", "a new version of an adapter is required"
)
@attrs.frozen
class AdapterVersionRequired(logevents.LogEvent):
    """Requests for an adapter require this version or a later one."""

    model: str
    adapter: str
    version: int


@logevents.register(
    "document_rejected",
    "a document of the operators cannot be read",
    logging.ERROR,
)
@attrs.frozen
class DocumentRejected(logevents.LogEvent):
    """An invalid document, which has no effect.

    :param offset: offset of the document in the topic
    """

    key: str
    offset: int
    detail: str


@logevents.register("store_lost", "a topic cannot be read", logging.WARNING)
@attrs.frozen
class StoreUnavailable(logevents.LogEvent):
    """The store rejects reads of a topic or does not answer them."""

    topic: str
    detail: str


@logevents.register("store_regained", "a topic can be read again")
@attrs.frozen
class StoreRecovered(logevents.LogEvent):
    """The first successful read of a topic after an outage.

    :param away_s: seconds since the outage was detected
    """

    topic: str
    away_s: float


@logevents.register("topic_listed", "the newest record of each key was read")
@attrs.frozen
class TopicListed(logevents.LogEvent):
    """A read of a whole topic, at the start or as records had expired.

    :param records: number of keys
    :param previous_offset: offset of the record that was expected next
    :param next_offset: offset of the record that is read next
    :param era: era of the store
    """

    topic: str
    records: int
    previous_offset: int | None
    next_offset: int
    era: int


@logevents.register(
    "store_restored",
    "the store was restored from an older copy",
    logging.WARNING,
)
@attrs.frozen
class StoreRestored(logevents.LogEvent):
    """The store has lost records that it had acknowledged.

    :param era: number of the copy, which rises by one each time
    :param previous_era: the one known before
    """

    era: int
    previous_era: int


@logevents.register(
    "lost_records_rewritten", "records that the store may lack are written"
)
@attrs.frozen
class LostRecordsRewritten(logevents.LogEvent):
    """This VM writes what a restore of the store may have lost.

    :param records: number of records
    """

    topic: str
    era: int
    records: int
