"""Tests of orders to engines and of what their answers change."""

from __future__ import annotations

import attrs
import pytest

from bronzetrack.entry import loading
from bronzetrack.entry import ordering
from bronzetrack.platform import documents
from bronzetrack.platform import orders

pytestmark = pytest.mark.anyio


@attrs.define
class FencingClient:
    """Client of an engine that has seen a higher fencing token."""

    async def send_order(self, *args: object) -> orders.OrderResult:
        """Return the result of an order with an old fencing token."""
        return orders.OrderResult.FENCED


@pytest.fixture
def anyio_backend() -> str:
    """Use the same event loop as the entry VM."""
    return "asyncio"


async def test_refused_token_is_reported_to_the_leadership(
    board, make_endpoint, now
):
    """Guards against a former holder that ends when an engine refuses it.

    The lease moved while this VM was paused. Its next order meets an engine
    that has seen the token of its successor.
    """
    lease = board.lease.value
    lease.apply_renewal(6, now, "vm-1")
    executor = ordering.OrderExecutor(
        board, FencingClient(), lambda: now, lambda: None
    )
    plan = loading.Plan(make_endpoint("e1"), ("m", "a1"), 1, None)
    await executor.execute(plan)
    assert board.refused_tokens.take() == [7]


@attrs.define
class EmptyEngine:
    """Client of an engine that holds no adapter."""

    async def fetch_report(self, *args: object) -> documents.Report:
        """Return a report without adapters."""
        return documents.Report(3, 0, {"m": 1}, {}, False, frozenset())


async def test_report_without_an_adapter_ends_its_load(
    board, make_endpoint, now
):
    """Guards against an adapter that is announced although nobody holds it.

    A request rejected soon after a load counts as a sign that the load takes
    longer, also if a report has shown that the engine dropped the adapter.
    """
    executor = ordering.OrderExecutor(
        board, EmptyEngine(), lambda: now, lambda: None
    )
    endpoint = make_endpoint("e1", "a1")
    known = board.loading.value.get_or_create_engine(endpoint)
    known.held = {("m", "a1"): 1}
    known.loaded_at = {("m", "a1"): now}
    await executor.refresh_state(endpoint, known)
    assert not known.loaded_at
