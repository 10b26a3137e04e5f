"""The `request` command."""

from __future__ import annotations

import json
import time
from typing import Any

import attrs
import click
import httpcore

from bronzetrack.client import requester
from bronzetrack.console import options
from bronzetrack.console import runner
from bronzetrack.core import failures

OUTCOME_HINTS = {
    "refused": "it did not run; correct it, or send it again later",
    "not_run": "it did not run; send it again with a new key",
    "in_progress": "it is still running; send it again with the same key",
    "unknown": "it may have run; send it again with the same key, if any",
    "failed": "it ran and failed; see the log of the VM",
}


@click.command(
    "request",
    epilog="Example: bronzetrack request launch-log@2 --address"
    " 10.0.0.1:8000 --prompt 'Tow 14, released at 600 m' --stream",
)
@click.argument("model")
@options.addresses
@click.option("--prompt", required=True, help="Text to complete.")
@click.option(
    "--chat", is_flag=True, help="Send the prompt as a chat message."
)
@click.option(
    "--class", "work_class", help="Work class; default: set by the rules."
)
@click.option(
    "--key",
    help=f"Idempotency key; '{requester.NEW_KEY}' generates and prints a"
    " UUIDv7.",
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
    help="Most tokens of the answer.",
)
@click.option(
    "--timeout-s",
    type=click.FloatRange(0.1, 3_600),
    default=60.0,
    show_default=True,
    help="Timeout for each part of the answer.",
)
@click.option(
    "--format",
    "output_format",
    type=click.Choice(["text", "json"]),
    default="text",
    show_default=True,
    help="Print text as it arrives, or one JSON object at the end.",
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
    outcome go to standard error. The exit code is 1 unless the outcome is
    "completed".
    """
    now_ms = time.time_ns() // 1_000_000
    headers = requester.make_headers(
        work_class, key, now_ms if issued_ms is None else issued_ms
    )
    request = requester.OutgoingRequest(
        model=model,
        path="/v1/chat/completions" if chat else "/v1/completions",
        body=requester.make_body(model, prompt, chat, stream, max_tokens),
        headers=headers,
        timeout_ms=int(timeout_s * 1000),
    )
    for name in ("Idempotency-Key", "Idempotency-Issued-At"):
        if name in headers:
            click.echo(f"{name}: {headers[name]}", err=True)
    as_text = output_format == "text"

    async def work(pool: httpcore.AsyncConnectionPool) -> Any:
        return await requester.send(
            pool, addresses, request, print_part if as_text else _discard
        )

    result = runner.run_with_pool(work)
    if isinstance(result, failures.Failure):
        options.fail(result)
    print_result(result, as_text)
    if result.outcome != requester.COMPLETED:
        raise SystemExit(options.EXIT_FAILURE)


def print_part(text: str) -> None:
    """Print a part of the answer without a line break."""
    click.echo(text, nl=False)


def _discard(text: str) -> None:
    """Discard a part of the answer; the result contains the whole text."""


def print_result(result: requester.RequestResult, as_text: bool) -> None:
    """Print the outcome and where the request ran."""
    if not as_text:
        click.echo(json.dumps(attrs.asdict(result), indent=2))
        return
    if result.text:
        click.echo()
    origin = [
        f"{name} {value or '-'}" for name, value in result.fields.items()
    ]
    click.echo(f"outcome {result.outcome}, {', '.join(origin)}", err=True)
    if result.error is not None:
        reason = result.error.get("type", "unknown")
        hint = OUTCOME_HINTS.get(result.outcome, "see docs/protocols.md")
        click.echo(
            f"error: {reason}: {result.error.get('message', '')}; {hint}",
            err=True,
        )
