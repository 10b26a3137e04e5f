"""Sends requests as callers with several addresses and measures latencies."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import itertools
import json
import statistics
import time
from typing import Any

import anyio
import attrs
import httpcore

from bronzetrack.client import sender
from bronzetrack.wire import httpclient

RESENT_STATUSES = frozenset({0, 429, 502, 503, 504})
RESEND_DELAY_S = 0.1
RESEND_DEADLINE_S = 25.0
REQUEST_TIMEOUT_MS = 20_000
COMPLETIONS = "/v1/completions"


@attrs.frozen
class Call:
    """A request as a caller sends it.

    :param kind: row of the latency table that the request is counted in
    """

    kind: str
    path: str
    body: bytes
    headers: Mapping[str, str] = attrs.field(factory=dict)


@attrs.frozen
class Reply:
    """An answer and the times at which its parts arrived.

    :param status: 0 if the connection broke before the headers arrived
    :param first_s: time to the first byte of the body
    :param gaps_s: times between one token and the next, for streams
    :param total_s: time to the last byte, including resends
    :param sends: number of times that the request was sent
    :param broken: whether the connection broke before the end
    """

    call: Call
    status: int
    headers: Mapping[str, str]
    body: bytes
    first_s: float
    gaps_s: tuple[float, ...]
    total_s: float
    sends: int = 1
    broken: bool = False

    @property
    def is_whole(self) -> bool:
        """Whether the answer is complete; a stream needs its end marker."""
        if self.broken:
            return False
        kind = self.headers.get("content-type", "")
        streamed = kind.startswith("text/event-stream")
        return not streamed or sender.END_MARKER in self.body


def make_completion(
    kind: str,
    model: str,
    work_class: str,
    tokens: int,
    stream: bool,
    prompt: str = "hello",
) -> Call:
    """Return a call of the completions API."""
    fields = {
        "model": model,
        "prompt": prompt,
        "max_tokens": tokens,
        "stream": stream,
    }
    headers = {
        "Content-Type": "application/json",
        "Bronzetrack-Class": work_class,
    }
    return Call(kind, COMPLETIONS, json.dumps(fields).encode(), headers)


async def exchange(
    pool: httpcore.AsyncConnectionPool, address: str, call: Call
) -> Reply | None:
    """Send a call once.

    :returns: the reply, None if no connection could be established
    """
    started_s = time.monotonic()
    parts: list[bytes] = []
    times_s: list[float] = []
    response = httpcore.Response(0)
    broken = False
    try:
        async with httpclient.open_stream(
            pool,
            "POST",
            f"http://{address}{call.path}",
            REQUEST_TIMEOUT_MS,
            call.body,
            call.headers,
        ) as response:
            async for part in response.aiter_stream():
                parts.append(part)
                now_s = time.monotonic()
                times_s += [now_s] * max(1, part.count(b"data: "))
    except (httpcore.ConnectError, httpcore.ConnectTimeout):
        return None
    except httpclient.ERRORS:
        broken = True
    ended_s = time.monotonic()
    return Reply(
        call=call,
        status=response.status,
        headers=httpclient.read_headers(response),
        body=b"".join(parts),
        first_s=(times_s[0] if times_s else ended_s) - started_s,
        gaps_s=tuple(b - a for a, b in itertools.pairwise(times_s)),
        total_s=ended_s - started_s,
        broken=broken,
    )


async def send_until_complete(
    pool: httpcore.AsyncConnectionPool, addresses: Sequence[str], call: Call
) -> Reply | None:
    """Send an idempotent call to one address after another.

    :returns: the first complete answer whose status does not call for a
        resend, None if there was none before the deadline
    """
    started_s = time.monotonic()
    for sends, address in enumerate(itertools.cycle(addresses), start=1):
        reply = await exchange(pool, address, call)
        total_s = time.monotonic() - started_s
        if reply is not None and reply.status not in RESENT_STATUSES:
            if reply.is_whole:
                return attrs.evolve(reply, total_s=total_s, sends=sends)
        if total_s > RESEND_DEADLINE_S:
            return None
        await anyio.sleep(RESEND_DELAY_S)
    return None


def read_events(body: bytes) -> list[Any]:
    """Return the JSON values of an event stream, without its end marker."""
    lines = [line for line in body.split(b"\n\n") if line]
    return [
        json.loads(line.removeprefix(b"data: "))
        for line in lines
        if line.startswith(b"data: {")
    ]


def format_table(replies: Iterable[Reply]) -> str:
    """Return a table of the latencies by kind of call, in milliseconds."""
    by_kind: dict[str, list[Reply]] = {}
    for reply in replies:
        by_kind.setdefault(reply.call.kind, []).append(reply)
    lines = [
        f"{'milliseconds':<22} {'calls':>5} {'resent':>6}"
        f" {'first token':>15} {'between tokens':>15} {'total':>15}",
        f"{'':<35} {'p50 / p95':>15} {'p50 / p95':>15} {'p50 / p95':>15}",
    ]
    lines += [_format_row(kind, rows) for kind, rows in by_kind.items()]
    return "\n".join(lines)


def _format_row(kind: str, replies: list[Reply]) -> str:
    gaps = list(itertools.chain.from_iterable(row.gaps_s for row in replies))
    resent = sum(row.sends - 1 for row in replies)
    return (
        f"{kind:<22} {len(replies):>5} {resent:>6}"
        f" {_format_quantiles([row.first_s for row in replies]):>15}"
        f" {_format_quantiles(gaps):>15}"
        f" {_format_quantiles([row.total_s for row in replies]):>15}"
    )


def _format_quantiles(values_s: list[float]) -> str:
    if not values_s:
        return "-"
    if len(values_s) == 1:
        return f"{values_s[0] * 1000:.1f}"
    cuts = statistics.quantiles(values_s, n=20, method="inclusive")
    return f"{cuts[9] * 1000:.1f} / {cuts[18] * 1000:.1f}"
