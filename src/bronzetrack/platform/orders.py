"""Client for the order and report calls of engines."""

from __future__ import annotations

import enum
import json
from typing import Any
from typing import TYPE_CHECKING

import attrs

from bronzetrack.platform import documents
from bronzetrack.platform import names
from bronzetrack.transport import connections
from bronzetrack.transport import limits

if TYPE_CHECKING:
    from bronzetrack.transport import calls

# Engines answer within 4 to 10 ms. Where a share of the orders is never
# answered, an engine gets no other order until the answer to the second try.
FIRST_TIMEOUT_S = 0.15
# An engine whose second answer is lost too gets no other order until this time
# and a report are over. With 1 s, half of all adapters could not be loaded in
# time.
SECOND_TIMEOUT_S = 0.4
REPORT_TIMEOUT_S = 0.4
DONE_EXCHANGE = connections.PastExchange(names.ORDER_PATH, 200)
JSON_HEADERS = ((b"Content-Type", b"application/json"),)


class OrderResult(enum.Enum):
    """Result of an order, as derived from the engine's response.

    IN_PROGRESS means that an earlier try of a load may have been carried out,
    since the engine has the adapter or is loading it.
    """

    STARTED = "started"
    IN_PROGRESS = "in_progress"
    DONE = "done"
    CONFLICT = "conflict"
    FENCED = "fenced"
    WRONG_ENDPOINT = "wrong_endpoint"
    REFUSED = "refused"
    UNKNOWN = "unknown"


RESULTS_BY_STATUS = {
    202: OrderResult.STARTED,
    200: OrderResult.DONE,
    409: OrderResult.CONFLICT,
    412: OrderResult.FENCED,
    421: OrderResult.WRONG_ENDPOINT,
}


@attrs.frozen
class Order:
    """An order to load or unload a model or an adapter.

    :param load: whether to load; otherwise the order unloads
    :param adapter: adapter name, or empty for an order on the base model
    :param sequence: number of orders that the engine must have accepted
        before this one
    :param version: version to load, or None for the newest
    :param is_repeated: whether the order was sent before and got no answer
    """

    load: bool
    model: str
    adapter: str
    sequence: int
    version: int | None = None
    is_repeated: bool = False


def decode_result(status: int, order: Order) -> OrderResult:
    """Return what the status of an answer to an order means."""
    result = RESULTS_BY_STATUS.get(status, OrderResult.REFUSED)
    if result is OrderResult.DONE and order.load and order.is_repeated:
        return OrderResult.IN_PROGRESS
    return result


def is_report(body: bytes) -> bool:
    """Return whether the answer to an order is a late one to a report.

    Neither states which call it belongs to.
    """
    try:
        return documents.names_models(body)
    except documents.DocumentError:
        return False


class EngineClient:
    """Sends orders to engines and fetches their reports.

    :param holder: name of this VM, which orders state as the lease holder
    """

    def __init__(self, http_client: calls.HttpClient, holder: str) -> None:
        self._http_client = http_client
        self._holder = holder

    async def send_order(
        self, address: str, identity: str, order: Order, token: int
    ) -> OrderResult:
        """Send an order to an engine.

        :param address: address of the engine
        :param identity: instance that must execute the order
        :param token: fencing token of the lease
        :returns: the result, UNKNOWN if no complete response arrived
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
        response = await self._http_client.request(
            address,
            "POST",
            names.ORDER_PATH,
            json.dumps(document).encode(),
            SECOND_TIMEOUT_S if order.is_repeated else FIRST_TIMEOUT_S,
            ((names.EXPECT_INSTANCE, identity.encode()), *JSON_HEADERS),
            limits.ENGINE_BODY,
            # A second copy of it would make the slot of an unload that waits
            # for its runs count as free.
            None if order.load else DONE_EXCHANGE,
        )
        if response is None or is_report(response.body):
            return OrderResult.UNKNOWN
        return decode_result(response.status, order)

    async def fetch_report(
        self, address: str, identity: str
    ) -> documents.Report | None:
        """Fetch an engine's report.

        :param identity: instance that must return the report
        :returns: the report, or None without a valid response
        """
        response = await self._http_client.request(
            address,
            "GET",
            names.REPORT_PATH,
            b"",
            REPORT_TIMEOUT_S,
            ((names.EXPECT_INSTANCE, identity.encode()),),
            limits.ENGINE_BODY,
        )
        if response is None or response.status != 200:
            return None
        try:
            return documents.decode_report(response.body)
        except documents.DocumentError:
            return None
