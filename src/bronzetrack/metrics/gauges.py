"""Gauges, which are read from the blackboard at each scrape.

They add no cost to the data path. The docstring of the function that reads a
gauge becomes the help text of the gauge.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
from typing import Any
from typing import TYPE_CHECKING

import attrs
import prometheus_client
from prometheus_client import core
from prometheus_client import registry as collectors

from bronzetrack.core import registry
from bronzetrack.membership import messages
from bronzetrack.membership import view as views
from bronzetrack.ownership import leases

if TYPE_CHECKING:
    from bronzetrack import board as boards
    from bronzetrack.core import clock


@attrs.frozen
class Scrape:
    """The input from which gauges are read."""

    board: boards.Blackboard
    now: clock.Instant


# Returns values by label value, with an empty one for a gauge without a label.
Gauge = Callable[[Scrape], dict[str, float]]


@attrs.frozen
class GaugeEntry:
    """A gauge that is read from the blackboard.

    :param label: name of the label of the gauge, empty if it has none
    :param read: function that reads the values, with the help text as its
        docstring
    """

    label: str
    read: Gauge

    @property
    def description(self) -> str:
        return (self.read.__doc__ or "").removeprefix("Return ").capitalize()


GAUGES: registry.Registry[GaugeEntry] = registry.Registry("gauges")


def register_gauge(name: str, label: str = "") -> Callable[[Gauge], Gauge]:
    """Return a decorator that registers the function that reads a gauge.

    :param name: name of the metric
    :param label: name of the label, empty if the gauge has none
    """

    def decorate(read: Gauge) -> Gauge:
        GAUGES.register(name)(GaugeEntry(label, read))
        return read

    return decorate


@register_gauge("bronzetrack_queue_requests", "endpoint")
def read_queued(scrape: Scrape) -> dict[str, float]:
    """Return the requests that wait, by owned endpoint."""
    queues = scrape.board.dispatch.value.endpoints
    return {name: len(queue.waiting) for name, queue in queues.items()}


@register_gauge("bronzetrack_running_requests", "endpoint")
def read_running(scrape: Scrape) -> dict[str, float]:
    """Return the requests that run, by owned endpoint."""
    queues = scrape.board.dispatch.value.endpoints
    return {name: len(queue.running) for name, queue in queues.items()}


@register_gauge("bronzetrack_resident_adapters", "endpoint")
def read_residents(scrape: Scrape) -> dict[str, float]:
    """Return the adapter versions that take a slot, by owned endpoint."""
    queues = scrape.board.dispatch.value.endpoints
    return {name: len(queue.residents) for name, queue in queues.items()}


@register_gauge("bronzetrack_open_requests")
def read_open(scrape: Scrape) -> dict[str, float]:
    """Return the requests of callers that are in progress at this VM."""
    return {"": len(scrape.board.requests.value.open)}


@register_gauge("bronzetrack_owned_endpoints")
def read_owned(scrape: Scrape) -> dict[str, float]:
    """Return the endpoints that this VM owns."""
    state = scrape.board.ownership.value
    return {"": len(leases.list_owned(state, scrape.board.incarnation))}


@register_gauge("bronzetrack_unowned_endpoints")
def read_unowned(scrape: Scrape) -> dict[str, float]:
    """Return the endpoints of the inventory without an owner in the log."""
    inventory = scrape.board.configuration.value.configuration.inventory
    owners = scrape.board.ownership.value.owners
    return {"": len(inventory.endpoints.keys() - owners.keys())}


@register_gauge("bronzetrack_lease_left_seconds")
def read_lease(scrape: Scrape) -> dict[str, float]:
    """Return the time that this VM still holds its lease."""
    until_ms = scrape.board.ownership.value.held_until_ms
    return {"": max(0, until_ms - scrape.now.monotonic_ms) / 1000}


@register_gauge("bronzetrack_configuration_offset")
def read_offset(scrape: Scrape) -> dict[str, float]:
    """Return the log offset of the configuration in force, -1 for none."""
    return {"": scrape.board.configuration.value.configuration.offset}


@register_gauge("bronzetrack_log_reachable")
def read_log(scrape: Scrape) -> dict[str, float]:
    """Return 1 if the last read of the log succeeded, otherwise 0."""
    return {"": int(scrape.board.configuration.value.log_reachable)}


@register_gauge("bronzetrack_keys_caught_up")
def read_caught_up(scrape: Scrape) -> dict[str, float]:
    """Return 1 if non-idempotent work can be served, otherwise 0."""
    return {"": int(scrape.board.keys.value.caught_up)}


@register_gauge("bronzetrack_keys")
def read_keys(scrape: Scrape) -> dict[str, float]:
    """Return the idempotency keys in the table."""
    return {"": len(scrape.board.keys.value.entries)}


@register_gauge("bronzetrack_suspect_requests")
def read_suspects(scrape: Scrape) -> dict[str, float]:
    """Return the fingerprints that may crash endpoints."""
    return {"": len(scrape.board.suspects.value.suspects)}


@register_gauge("bronzetrack_peers", "state")
def read_peers(scrape: Scrape) -> dict[str, float]:
    """Return the other VMs, by whether work may be relayed to them."""
    vms = scrape.board.membership.value.vms.values()
    now_ms = scrape.now.monotonic_ms
    reachable = sum(views.is_reachable(vm, now_ms) for vm in vms)
    return {"reachable": reachable, "unreachable": len(vms) - reachable}


@register_gauge("bronzetrack_status", "status")
def read_status(scrape: Scrape) -> dict[str, float]:
    """Return 1 for the status of this VM and 0 for the others."""
    status = scrape.board.lifecycle.value.status
    return {item.value: int(item is status) for item in messages.VmStatus}


@register_gauge("bronzetrack_mailbox_items", "mailbox")
def read_mailboxes(scrape: Scrape) -> dict[str, float]:
    """Return the items that wait, by mailbox."""
    return {
        name: len(mailbox) for name, mailbox in scrape.board.mailboxes.items()
    }


class BoardCollector(collectors.Collector):
    """Reads all gauges at each scrape."""

    def __init__(
        self,
        board: boards.Blackboard,
        read_clock: Callable[[], clock.Instant],
    ) -> None:
        self._board = board
        self._read_clock = read_clock

    def collect(self) -> Iterator[core.Metric]:
        scrape = Scrape(self._board, self._read_clock())
        for name, entry in GAUGES.items():
            yield _make_metric(name, entry, entry.read(scrape))


def _make_metric(
    name: str, entry: GaugeEntry, values: dict[str, Any]
) -> core.Metric:
    labels = [entry.label] if entry.label else []
    family = core.GaugeMetricFamily(name, entry.description, labels=labels)
    for label, value in values.items():
        family.add_metric([label] if labels else [], value)
    return family


def write_metrics(
    board: boards.Blackboard, read_clock: Callable[[], clock.Instant]
) -> bytes:
    """Return all metrics in the Prometheus text format."""
    gauges = collectors.CollectorRegistry()
    gauges.register(BoardCollector(board, read_clock))
    return prometheus_client.generate_latest() + (
        prometheus_client.generate_latest(gauges)
    )
