"""Client of the platform's list of live and leaving VMs."""

from __future__ import annotations

import json

import attrs
import httpcore

from bronzetrack.core import failures
from bronzetrack.wire import httpclient

LIST_TIMEOUT_MS = 2_000
DECODING_ERRORS = (
    ValueError,
    KeyError,
    TypeError,
    AttributeError,
    RecursionError,
)


@attrs.frozen
class ListedVm:
    """A VM in the list, which may be out of date.

    :param address: peer address, empty for a VM that hosts an endpoint
    :param leaving: whether the list states that the VM is leaving
    """

    name: str
    address: str
    leaving: bool


class VmListClient:
    """Reads the list of VMs.

    :param url: base URL of the service
    :param pool: pool of HTTP connections
    """

    def __init__(self, url: str, pool: httpcore.AsyncConnectionPool) -> None:
        self._url = url.rstrip("/")
        self._pool = pool

    async def list_vms(self) -> tuple[ListedVm, ...] | failures.Failure:
        """Return the VMs in the list, or a failure."""
        answer = await httpclient.fetch(
            self._pool,
            "GET",
            f"{self._url}/vms",
            LIST_TIMEOUT_MS,
            failure_reason=failures.Reason.VM_LIST_UNAVAILABLE,
        )
        if isinstance(answer, failures.Failure):
            return answer
        try:
            return tuple(
                ListedVm(
                    name=str(row["name"]),
                    address=str(row.get("address", "")),
                    leaving=row["state"] == "leaving",
                )
                for row in json.loads(answer.body)
            )
        except DECODING_ERRORS as error:
            return failures.Failure(
                failures.Reason.VM_LIST_UNAVAILABLE, f"bad list: {error}"
            )
