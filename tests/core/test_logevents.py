"""Typed log lines."""

from __future__ import annotations

import logging

import attrs
import pytest

from bronzetrack.core import logevents

LOG = logging.getLogger(__name__)


@pytest.mark.parametrize("name, event", sorted(logevents.EVENTS.items()))
def test_event_states_its_name_and_text(name, event):
    """Guards against lines that cannot be searched for."""
    assert event.event == name
    assert event.message
    assert event.__doc__


@pytest.mark.parametrize("name, event", sorted(logevents.EVENTS.items()))
def test_fields_do_not_hide_those_of_every_line(name, event):
    """Guards against a field that logging refuses with an exception."""
    record = logging.LogRecord("", 0, "", 0, "", None, None)
    reserved = {*vars(record), "message", "asctime", "event"}
    assert not reserved & {item.name for item in attrs.fields(event)}


def test_line_has_the_fields_of_its_event(caplog):
    """Guards against fields that are lost on the way to the line."""
    caplog.set_level(logging.INFO)
    logevents.log(LOG, logevents.StoreRegained("topic-1", 0.5))
    [line] = caplog.records
    assert (line.event, line.topic, line.away_s) == (
        "store_regained",
        "topic-1",
        0.5,
    )


def test_line_of_a_fault_has_its_stack(caplog):
    """Guards against a fault whose place is not known."""
    error = ValueError("broken")
    logevents.log(LOG, logevents.RequestFailed(), error)
    [line] = caplog.records
    assert line.levelno == logging.ERROR
    assert line.exc_info[1] is error


def test_disabled_level_writes_nothing(caplog):
    """Guards against work for lines that nobody reads."""
    caplog.set_level(logging.ERROR)
    logevents.log(LOG, logevents.Stopping())
    assert not caplog.records
