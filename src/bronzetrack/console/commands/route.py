"""The `route` command."""

from __future__ import annotations

from collections.abc import Iterator
import functools
import json
import os
import pathlib
from typing import Any

import click

from bronzetrack.client import router
from bronzetrack.console import options
from bronzetrack.console import runner
from bronzetrack.core import failures

# The key is read from the environment or a file, as the arguments of a
# process are visible to others.
KEY_VARIABLE = "BRONZETRACK_KEY"
REFUSED = "refused"


class PartType(click.ParamType):
    """A part of a prompt as ID:TOKENS."""

    name = "id:tokens"

    def convert(self, value: Any, param: Any, ctx: Any) -> Any:
        """Return the id and the number of tokens."""
        part, _, tokens = str(value).rpartition(":")
        if not part or not (tokens.isascii() and tokens.isdigit()):
            self.fail(f"{value!r} is not ID:TOKENS", param, ctx)
        return part, int(tokens)


@click.command(
    "route",
    epilog="Example: bronzetrack route h.example /stream/x --operators"
    " 10.0.0.1:8001 --model base --adapter a17 --prompt-tokens 650",
)
@click.argument("host")
@click.argument("path")
@options.operators
@click.option("--method", default="GET", show_default=True, help="Method.")
@click.option("--model", help="Base model.")
@click.option("--adapter", help="Adapter of the base model.")
@click.option(
    "--prompt-tokens", type=click.IntRange(min=0), help="Tokens of the prompt."
)
@click.option(
    "--output-tokens",
    type=click.IntRange(min=0),
    help="Most tokens of the answer.",
)
@click.option(
    "--length-hint",
    type=click.IntRange(min=0),
    help="Likely number of tokens of the answer.",
)
@click.option(
    "--part",
    "parts",
    type=PartType(),
    multiple=True,
    help="Part of the prompt, ID:TOKENS; may be given several times, in"
    " order.",
)
@click.option(
    "--key-file",
    type=click.Path(exists=True, dir_okay=False, path_type=pathlib.Path),
    help="File that holds the key of a workspace; default: the key in"
    f" {KEY_VARIABLE}, if that is set.",
)
@click.option(
    "--deadline-ms",
    type=click.IntRange(min=0),
    help="Time for which the caller waits.",
)
@options.output_format
@click.option("--json", "as_json", is_flag=True, help="Same as --format json.")
def command(
    host: str,
    path: str,
    operators: tuple[str, ...],
    method: str,
    model: str | None,
    adapter: str | None,
    prompt_tokens: int | None,
    output_tokens: int | None,
    length_hint: int | None,
    parts: tuple[tuple[str, int], ...],
    key_file: pathlib.Path | None,
    deadline_ms: int | None,
    output_format: str,
    as_json: bool,
) -> None:
    """Explain where an entry VM would send a request for HOST and PATH now.

    Nothing is sent, and the VM changes nothing. The exit code is 1 if the
    request would be refused.
    """
    question = router.Question(
        host=host,
        path=path,
        method=method,
        model=model,
        adapter=adapter,
        prompt_tokens=prompt_tokens,
        output_tokens=output_tokens,
        length_hint=length_hint,
        prompt_parts=parts,
        deadline_ms=deadline_ms,
        key=read_key(key_file),
    )
    work = functools.partial(
        router.explain, addresses=operators, question=question
    )
    found = runner.run_with_pool(work)
    if isinstance(found, failures.Failure):
        options.fail(found)
    if as_json or output_format == "json":
        click.echo(json.dumps(found, indent=2))
    else:
        print_answer(found)
    if is_refused(found):
        raise SystemExit(options.EXIT_FAILURE)


def read_key(file: pathlib.Path | None) -> str | None:
    """Return the key in a file or in the environment, if there is one."""
    if file is None:
        return os.environ.get(KEY_VARIABLE) or None
    try:
        return file.read_text(encoding="utf-8").strip()
    except (OSError, ValueError):
        options.fail(
            failures.Failure(
                failures.Reason.BAD_REQUEST, f"{file} cannot be read as text"
            )
        )


def is_refused(answer: dict[str, Any]) -> bool:
    """Return whether the request would be refused at each service."""
    return answer["failure"] is not None or all(
        service["outcome"] == REFUSED for service in answer["services"]
    )


def print_answer(answer: dict[str, Any]) -> None:
    """Print an answer for people."""
    for line in list_lines(answer):
        click.echo(line)
    for service in answer["services"]:
        click.echo()
        for line in list_service_lines(service):
            click.echo(line)
        rows = [make_row(item) for item in service["candidates"]]
        if not service["is_by_cost"]:
            rows = [drop_costs(row) for row in rows]
        options.print_rows(rows, "table")
        if service["omitted"]:
            click.echo(f"and {service['omitted']} more endpoints")


def list_lines(answer: dict[str, Any]) -> Iterator[str]:
    """Iterate over the lines about the request as a whole."""
    configuration = answer["configuration"]
    yield (
        f"vm: {answer['vm']}, availability zone {answer['zone']},"
        f" configuration {'-' if configuration is None else configuration}"
    )
    if answer["is_isolated"]:
        yield "isolated: the VM reaches neither the store nor another VM"
    route = answer["route"]
    if route is not None:
        yield (
            f"route: {route['name']} ({route['host']}{route['prefix']}),"
            f" on time within {route['target_s']} s"
        )
    if answer["priority"] is not None:
        yield (
            f"workspace: {answer['workspace'] or '-'},"
            f" priority {answer['priority']}"
        )
    quota = answer["quota"]
    if quota is not None:
        yield (
            f"quota: {quota['verdict']}; costs {quota['cost']:g}"
            f" {quota['unit']}, credit here {quota['credit']:g},"
            f" owner {quota['owner']}, {quota['waiting']} waiting,"
            f" rate {quota['rate_per_s']:g}/s, burst {quota['burst']:g}"
        )
    if answer["failure"] is not None:
        yield f"refused: {format_failure(answer['failure'])}"


def list_service_lines(service: dict[str, Any]) -> Iterator[str]:
    """Iterate over the lines about a service."""
    rule = "by cost" if service["is_by_cost"] else "by count"
    yield (
        f"service: {service['service']}"
        f" ({format_share(service['probability'])} of the route),"
        f" routed {rule}"
    )
    if service["failure"] is not None:
        yield f"refused: {format_failure(service['failure'])}"
    else:
        yield f"{service['outcome']}: {service['detail']}"
    share = service["share"]
    if share is not None:
        verdict = "admitted" if share["is_admitted"] else "not admitted"
        limit = (
            f"limit {share['rate_per_s']:.1f}/s at this VM"
            if share["is_limited"]
            else "no limit"
        )
        yield (
            f"share: {verdict}; {limit},"
            f" {format_share(share['share'])} admitted lately"
        )
    wait = service["wait"]
    if wait is not None:
        yield (
            f"wait: {wait['others']} other requests want these engines;"
            f" next send in {wait['next_send_s']:.3f} s;"
            f" at most {wait['limit_s']:.2f} s"
        )
    copies = service["copies"]
    if copies is not None:
        yield (
            f"copies: {copies['present']} usable, {copies['needed']} needed,"
            f" version {copies['version']} or later"
        )


def format_failure(failure: dict[str, Any]) -> str:
    """Return a failure in one line."""
    retry_s = failure["retry_after_s"]
    retry = "" if retry_s is None else f"; Retry-After {retry_s:.3f} s"
    return (
        f"{failure['status']} {failure['reason']}: {failure['detail']}{retry}"
    )


def format_share(share: float | None) -> str | None:
    """Return a probability or share in percent."""
    return None if share is None else f"{100 * share:.0f}%"


def make_row(candidate: dict[str, Any]) -> dict[str, Any]:
    """Return the row of an endpoint in the table."""
    return {
        "endpoint": candidate["identity"],
        "zone": candidate["zone"],
        "chosen": format_share(candidate["probability"]),
        "active": f"{candidate['active']}/{candidate['capacity']}",
        "own": candidate["own_active"],
        "load": round(candidate["load"], 2),
        **{
            name: format_ms(candidate[name])
            for name in ("ahead_ms", "first_ms", "work_ms", "score_ms")
        },
        "ruled out by": "; ".join(
            f"{item['reason']}: {item['detail']}"
            for item in candidate["exclusions"]
        ),
    }


def drop_costs(row: dict[str, Any]) -> dict[str, Any]:
    """Return a row without the columns of the routing by cost."""
    return {
        name: value for name, value in row.items() if not name.endswith("_ms")
    }


def format_ms(value: float | None) -> str | None:
    """Return a time in milliseconds with one decimal place."""
    return None if value is None else f"{value:.1f}"
