"""The `status` command."""

from __future__ import annotations

from collections.abc import Iterator
import functools
import json
from typing import Any

import attrs
import click

from bronzetrack.client import inspector
from bronzetrack.console import options
from bronzetrack.console import runner
from bronzetrack.core import failures


@click.command(
    "status",
    epilog="Example: bronzetrack status --operators 10.0.0.1:8001",
)
@options.operators
@options.output_format
def command(operators: tuple[str, ...], output_format: str) -> None:
    """List all VMs with their lease, configuration and endpoints.

    The exit code is 1 if a VM did not answer or if no VM that answered
    confirms that it owns an endpoint.
    """
    work = functools.partial(inspector.read_status, addresses=operators)
    found = runner.run_with_pool(work)
    if isinstance(found, failures.Failure):
        options.fail(found)
    if output_format == "json":
        click.echo(json.dumps(make_document(found), indent=2))
    else:
        options.print_rows(list(make_rows(found)), output_format)
    if found.unreachable or inspector.list_orphans(found):
        raise SystemExit(options.EXIT_FAILURE)


def make_document(status: inspector.SiteStatus) -> dict[str, Any]:
    """Return the status as a JSON document."""
    return {
        "vms": list(status.vms),
        "unreachable": {
            name: failure.detail
            for name, failure in status.unreachable.items()
        },
        "orphans": inspector.list_orphans(status),
    }


@attrs.frozen
class Row:
    """One row of the table: an endpoint, or a VM that owns none."""

    vm: str
    zone: str = ""
    status: str = ""
    configuration: int | None = None
    log: str = ""
    lease_ms: int | None = None
    endpoint: str = ""
    fencing: int | None = None
    running: int | None = None
    waiting: int | None = None


def make_rows(status: inspector.SiteStatus) -> Iterator[dict[str, Any]]:
    """Iterate over the rows of the table."""
    for vm in status.vms:
        row = Row(
            vm=vm["vm"],
            zone=vm["availability_zone"],
            status=vm["status"],
            configuration=vm["configuration_offset"],
            log="reachable" if vm["log_reachable"] else "unreachable",
            lease_ms=vm["lease_left_ms"],
        )
        owned = [
            attrs.evolve(row, endpoint=name, **counts)
            for name, counts in vm["endpoints"].items()
        ]
        yield from map(attrs.asdict, owned or [row])
    for name in status.unreachable:
        yield attrs.asdict(Row(name, status="unreachable"))
    for name, owner in inspector.list_orphans(status).items():
        yield attrs.asdict(
            Row(
                owner["vm"],
                status="not the owner",
                endpoint=name,
                fencing=owner["fencing"],
            )
        )
