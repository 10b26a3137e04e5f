"""Reads the state of daemons and requests their planned stop."""

from __future__ import annotations

from collections.abc import Sequence
import json
from typing import Any

import anyio
import attrs
import httpcore

from bronzetrack.core import failures
from bronzetrack.wire import httpclient

TIMEOUT_MS = 5_000
MAX_LIMIT = 100_000


@attrs.frozen
class SiteStatus:
    """The status of all VMs of a site.

    :param vms: the status section of each VM that answered
    :param unreachable: why each other VM did not answer, by VM name
    :param owners: owner and fencing token by endpoint, from the log as read
        by the first VM that answered
    """

    vms: tuple[dict[str, Any], ...]
    unreachable: dict[str, failures.Failure]
    owners: dict[str, Any]


async def read_state(
    pool: httpcore.AsyncConnectionPool,
    addresses: Sequence[str],
    section: str = "",
    limit: int = MAX_LIMIT,
) -> Any | failures.Failure:
    """Return the state dump or a section of it from the first VM that answers.

    :param addresses: operators' addresses, which are tried in turn
    :param section: name of the section, empty for the whole dump
    :param limit: most entries of each list
    """
    path = f"/state/{section}" if section else "/state"
    found = await _call(pool, "GET", addresses, f"{path}?limit={limit}")
    if isinstance(found, failures.Failure) or "value" in found or not section:
        return found
    return failures.Failure(
        failures.Reason.PEER_PROTOCOL, "the answer is not a state dump"
    )


async def begin_drain(
    pool: httpcore.AsyncConnectionPool, addresses: Sequence[str], vm: str
) -> Any | failures.Failure:
    """Request the planned stop of a VM.

    :param addresses: operators' addresses of VMs, one of which has to know
        the VM
    :param vm: name of the VM
    """
    known = await find_operators(pool, addresses)
    if isinstance(known, failures.Failure):
        return known
    if not known.get(vm):
        names = ", ".join(sorted(known))
        return failures.Failure(
            failures.Reason.BAD_REQUEST, f"unknown VM {vm!r}; known: {names}"
        )
    return await _call(pool, "POST", [known[vm]], "/drain")


async def find_operators(
    pool: httpcore.AsyncConnectionPool, addresses: Sequence[str]
) -> dict[str, str] | failures.Failure:
    """Return the operators' addresses of all VMs, by VM name.

    The first VM that answers provides the list.
    """
    failure = failures.Failure(
        failures.Reason.PEER_UNREACHABLE, "no address was given"
    )
    for address in addresses:
        own = await read_state(pool, [address], "vm")
        view = await read_state(pool, [address], "membership")
        if isinstance(own, failures.Failure):
            failure = own
            continue
        if isinstance(view, failures.Failure):
            failure = view
            continue
        known = {
            name: state["operator_address"]
            for name, state in view["value"]["vms"].items()
        }
        return {**known, own["value"]["name"]: address}
    return failure


async def read_status(
    pool: httpcore.AsyncConnectionPool, addresses: Sequence[str]
) -> SiteStatus | failures.Failure:
    """Return the status of all VMs that the first VM to answer knows."""
    operators = await find_operators(pool, addresses)
    if isinstance(operators, failures.Failure):
        return operators
    ownership = await read_state(pool, addresses, "ownership")
    if isinstance(ownership, failures.Failure):
        return ownership
    answers: dict[str, Any] = {}

    async def ask(name: str, address: str) -> None:
        answers[name] = await read_state(pool, [address], "status")

    async with anyio.create_task_group() as group:
        for name, address in operators.items():
            group.start_soon(ask, name, address)
    unreachable = {
        name: answer
        for name, answer in sorted(answers.items())
        if isinstance(answer, failures.Failure)
    }
    return SiteStatus(
        vms=tuple(
            answer["value"]
            for name, answer in sorted(answers.items())
            if name not in unreachable
        ),
        unreachable=unreachable,
        owners=ownership["value"]["owners"],
    )


async def _call(
    pool: httpcore.AsyncConnectionPool,
    method: str,
    addresses: Sequence[str],
    path: str,
) -> Any | failures.Failure:
    """Return the JSON object from the first address that answers."""
    failure = failures.Failure(
        failures.Reason.PEER_UNREACHABLE, "no address was given"
    )
    for address in addresses:
        answer = await httpclient.fetch(
            pool,
            method,
            f"http://{address}{path}",
            TIMEOUT_MS,
            failure_reason=failures.Reason.PEER_UNREACHABLE,
        )
        if isinstance(answer, failures.Failure):
            failure = answer
            continue
        return read_json(answer, address)
    return failure


def read_json(
    answer: httpclient.HttpResponse, address: str
) -> Any | failures.Failure:
    """Return the JSON object in an answer.

    :param address: address that the answer came from
    """
    try:
        fields = json.loads(answer.body)
    except (ValueError, RecursionError):
        fields = None
    if not isinstance(fields, dict):
        return failures.Failure(
            failures.Reason.PEER_PROTOCOL,
            f"{address} returned {answer.status} without a JSON object",
        )
    if answer.status >= 400:
        return failures.Failure(
            failures.Reason.BAD_REQUEST,
            f"{address} returned {answer.status}: {fields.get('error')}",
        )
    return fields


def list_orphans(status: SiteStatus) -> dict[str, Any]:
    """Return the claims in the log that no answering VM confirms.

    A VM confirms a claim if its status lists the endpoint with the fencing
    token of the claim.
    """
    held = {
        (name, counts["fencing"])
        for vm in status.vms
        for name, counts in vm["endpoints"].items()
    }
    return {
        name: owner
        for name, owner in sorted(status.owners.items())
        if (name, owner["fencing"]) not in held
    }
