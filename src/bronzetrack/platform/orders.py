"""Orders to engines, and their reports."""

from __future__ import annotations

import enum
import json
from typing import Any
from typing import TYPE_CHECKING

import attrs

from bronzetrack.platform import documents
from bronzetrack.platform import names

if TYPE_CHECKING:
    from bronzetrack.transport import calls

ORDER_TIMEOUT_S = 1.0
JSON_HEADERS = ((b"Content-Type", b"application/json"),)


class Verdict(enum.Enum):
    """What an engine said of an order."""

    STARTED = "started"
    DONE = "done"
    CONFLICT = "conflict"
    FENCED = "fenced"
    WRONG_ENDPOINT = "wrong_endpoint"
    REFUSED = "refused"
    UNKNOWN = "unknown"


VERDICTS = {
    202: Verdict.STARTED,
    200: Verdict.DONE,
    409: Verdict.CONFLICT,
    412: Verdict.FENCED,
    421: Verdict.WRONG_ENDPOINT,
}


@attrs.frozen
class Order:
    """An order to load or unload a model or an adapter.

    :param sequence: orders that the engine must have accepted before
    :param version: version to load, the newest if none
    """

    load: bool
    model: str
    adapter: str
    sequence: int
    version: int | None = None


class Engines:
    """Sends orders and asks for reports."""

    def __init__(self, caller: calls.Caller, holder: str) -> None:
        self._caller = caller
        self._holder = holder

    async def order(
        self, address: str, identity: str, order: Order, token: int
    ) -> Verdict:
        """Give an order to the engine with an identity.

        :param token: fencing token of the lease
        """
        document: dict[str, Any] = {
            "operation": "load" if order.load else "unload",
            "model": order.model,
            "holder": self._holder,
            "fence": token,
            "expected": order.sequence,
        }
        if order.adapter:
            document["adapter"] = order.adapter
        if order.version is not None:
            document["version"] = order.version
        answer = await self._caller.call(
            address,
            "POST",
            names.ORDER_PATH,
            json.dumps(document).encode(),
            ORDER_TIMEOUT_S,
            ((names.EXPECT_INSTANCE, identity.encode()), *JSON_HEADERS),
        )
        if answer is None:
            return Verdict.UNKNOWN
        return VERDICTS.get(answer.status, Verdict.REFUSED)

    async def report(
        self, address: str, identity: str
    ) -> documents.Report | None:
        """Return what an engine reports, or nothing without an answer."""
        answer = await self._caller.call(
            address,
            "GET",
            names.REPORT_PATH,
            b"",
            ORDER_TIMEOUT_S,
            ((names.EXPECT_INSTANCE, identity.encode()),),
        )
        if answer is None or answer.status != 200:
            return None
        try:
            return documents.decode_report(answer.body)
        except documents.DocumentError:
            return None
