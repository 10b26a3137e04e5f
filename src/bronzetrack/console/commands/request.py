"""The `request` command."""

from __future__ import annotations

from collections.abc import Callable
import json
import secrets
import time
from typing import Any

import attrs
import click
import httpcore

from bronzetrack.client import events
from bronzetrack.client import identifiers
from bronzetrack.client import sender
from bronzetrack.console import options
from bronzetrack.console import runner
from bronzetrack.core import errors
from bronzetrack.core import failures

NEW_KEY = "new"
COMPLETED = "completed"
HEADER_FIELDS = ("request-id", "adapter", "version", "endpoint", "vm")


@attrs.frozen
class Order:
    """What to send.

    :param timeout_ms: for each read of the answer
    """

    model: str
    path: str
    body: bytes
    headers: dict[str, str]
    timeout_ms: int


@attrs.frozen
class Report:
    """How a request went.

    :param fields: adapter, version, endpoint and VM, empty if not known
    """

    status: int
    outcome: str
    fields: dict[str, str]
    text: str
    error: dict[str, Any] | None = None


@click.command(
    "request",
    epilog="Example: bronzetrack request launch-log@2 --address"
    " 10.0.0.1:8000 --prompt 'Tow 14, released at 600 m' --stream",
)
@click.argument("model")
@options.addresses
@click.option("--prompt", required=True, help="Text to complete.")
@click.option("--chat", is_flag=True, help="Send it as a chat message.")
@click.option("--class", "work_class", help="Work class; default: by rules.")
@click.option(
    "--key",
    help=f"Idempotency key; '{NEW_KEY}' makes a UUIDv7 and prints it.",
)
@click.option(
    "--issued-ms",
    type=click.IntRange(min=0),
    help="Unix time at which --key was first sent; default: now. Repeat it"
    " when you send the request again.",
)
@click.option("--stream", is_flag=True, help="Print tokens as they arrive.")
@click.option(
    "--max-tokens",
    type=click.IntRange(min=1),
    default=64,
    show_default=True,
    help="Longest answer.",
)
@click.option(
    "--timeout-s",
    type=click.FloatRange(0.1, 3_600),
    default=60.0,
    show_default=True,
    help="Longest wait for the next part of the answer.",
)
@click.option(
    "--format",
    "output_format",
    type=click.Choice(["text", "json"]),
    default="text",
    show_default=True,
    help="Text as it arrives, or one JSON object at the end.",
)
def command(
    model: str,
    addresses: tuple[str, ...],
    prompt: str,
    chat: bool,
    work_class: str | None,
    key: str | None,
    issued_ms: int | None,
    stream: bool,
    max_tokens: int,
    timeout_s: float,
    output_format: str,
) -> None:
    """Send a request for MODEL, which is ADAPTER or ADAPTER@VERSION.

    The answer goes to standard output; adapter, version, endpoint, VM and
    outcome go to standard error. Ends with 1 unless the outcome is
    "completed".
    """
    headers = make_headers(work_class, key, issued_ms)
    order = Order(
        model=model,
        path="/v1/chat/completions" if chat else "/v1/completions",
        body=make_body(model, prompt, chat, stream, max_tokens),
        headers=headers,
        timeout_ms=int(timeout_s * 1000),
    )
    for name in ("Idempotency-Key", "Idempotency-Issued-At"):
        if name in headers:
            click.echo(f"{name}: {headers[name]}", err=True)
    as_text = output_format == "text"

    async def work(pool: httpcore.AsyncConnectionPool) -> Any:
        return await send(pool, addresses, order, write if as_text else _drop)

    report = runner.run_with_pool(work)
    if isinstance(report, failures.Failure):
        options.fail(report)
    print_report(report, as_text)
    if report.outcome != COMPLETED:
        raise SystemExit(options.EXIT_FAILURE)


def make_headers(
    work_class: str | None, key: str | None, issued_ms: int | None
) -> dict[str, str]:
    """Return the headers that state class and key.

    :param issued_ms: Unix time at which the key was first sent
    """
    headers = {}
    if work_class is not None:
        headers["Bronzetrack-Class"] = work_class
    if key is None:
        return headers
    now_ms = time.time_ns() // 1_000_000
    wall_ms = now_ms if issued_ms is None else issued_ms
    if key == NEW_KEY:
        random = secrets.randbits(identifiers.RANDOM_BITS)
        headers["Idempotency-Key"] = str(
            identifiers.make_uuid7(wall_ms, random)
        )
        return headers
    headers["Idempotency-Key"] = key
    if not identifiers.states_time(key):
        headers["Idempotency-Issued-At"] = str(wall_ms)
    return headers


def make_body(
    model: str, prompt: str, chat: bool, stream: bool, max_tokens: int
) -> bytes:
    """Return the body of a completions or chat call."""
    fields: dict[str, Any] = {
        "model": model,
        "max_tokens": max_tokens,
        "stream": stream,
    }
    if chat:
        fields["messages"] = [{"role": "user", "content": prompt}]
    else:
        fields["prompt"] = prompt
    return json.dumps(fields).encode()


def write(text: str) -> None:
    """Print a part of the answer at once."""
    click.echo(text, nl=False)


def _drop(text: str) -> None:
    """Print nothing; the text stands in the report."""


async def send(
    pool: httpcore.AsyncConnectionPool,
    addresses: tuple[str, ...],
    order: Order,
    show: Callable[[str], None],
) -> Report | failures.Failure:
    """Send an order to the best VM that is reached."""
    entries = await sender.look_up(pool, addresses, order.model)
    if isinstance(entries, failures.Failure):
        return entries
    failure = failures.Failure(failures.Reason.PEER_UNREACHABLE)
    for entry in entries:
        shown: list[str] = []

        def show_and_keep(text: str) -> None:
            shown.append(text)
            show(text)

        try:
            return await receive(pool, entry.address, order, show_and_keep)
        except errors.FailureError as error:
            failure = error.failure
        if shown:
            # Another answer would be printed after the part of this one.
            return attrs.evolve(
                failure, reason=failures.Reason.ANSWER_INCOMPLETE
            )
    return failure


async def receive(
    pool: httpcore.AsyncConnectionPool,
    address: str,
    order: Order,
    show: Callable[[str], None],
) -> Report:
    """Return how the answer of one VM ended.

    :raises errors.FailureError: the VM was not reached or broke off
    """
    async with sender.open_answer(
        pool,
        address,
        order.path,
        order.body,
        order.headers,
        order.timeout_ms,
    ) as answer:
        fields = {
            name: answer.headers.get(f"bronzetrack-{name}", "")
            for name in HEADER_FIELDS
        }
        outcome = answer.headers.get("bronzetrack-outcome", "unknown")
        if not answer.is_streamed:
            body = b"".join([part async for part in answer.parts])
            found = events.read_object(body)
            text = events.extract_text(found)
            show(text)
            error = found.get("error")
            return Report(answer.status, outcome, fields, text, error)
        reader = events.EventReader()
        parts = []
        async for part in answer.parts:
            parts.append(reader.read(part))
            show(parts[-1])
        return Report(
            answer.status,
            judge_stream(reader),
            fields,
            "".join(parts),
            reader.error,
        )


def judge_stream(reader: events.EventReader) -> str:
    """Return the outcome of a stream, whose headers cannot tell it."""
    if reader.error is not None:
        return str(reader.error.get("outcome", "failed"))
    return COMPLETED if reader.ended else "unknown"


def print_report(report: Report, as_text: bool) -> None:
    """Print the outcome and where the request ran."""
    if not as_text:
        click.echo(json.dumps(attrs.asdict(report), indent=2))
        return
    if report.text:
        click.echo()
    places = [
        f"{name} {value or '-'}" for name, value in report.fields.items()
    ]
    click.echo(f"outcome {report.outcome}, {', '.join(places)}", err=True)
    if report.error is not None:
        reason = report.error.get("type", "unknown")
        click.echo(
            f"error: {reason}: {report.error.get('message', '')};"
            " see docs/operations.md",
            err=True,
        )
