"""Client of the platform's list of live and leaving VMs."""

from __future__ import annotations

import json

import attrs
import httpcore

from bronzetrack.core import failures
from bronzetrack.wire import httpclient

LIST_TIMEOUT_MS = 2_000
BAD_LISTS = (
    ValueError,
    KeyError,
    TypeError,
    AttributeError,
    RecursionError,
)


@attrs.frozen
class ListedVm:
    """One row of the list, which lags behind the truth.

    :param address: peer address, empty for the VM of an endpoint
    """

    name: str
    address: str
    leaving: bool


class VmListClient:
    """Reads the list of VMs.

    :param url: base URL of the service
    """

    def __init__(self, url: str, pool: httpcore.AsyncConnectionPool) -> None:
        self._url = url.rstrip("/")
        self._pool = pool

    async def list_vms(self) -> tuple[ListedVm, ...] | failures.Failure:
        """Return the list or a failure."""
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
        except BAD_LISTS as error:
            return failures.Failure(
                failures.Reason.VM_LIST_UNAVAILABLE, f"bad list: {error}"
            )
