"""Codec of the questions of operators where a request would go, and answers.

Keys are secret: no error and no answer contains one.
"""

from __future__ import annotations

import enum
import json
import math
from typing import Any

import attrs

from bronzetrack.entry.explanations import answers
from bronzetrack.entry.forwarding import failures
from bronzetrack.entry.forwarding import requests
from bronzetrack.platform import fields
from bronzetrack.platform import names
from bronzetrack.platform import requests as wire_requests
from bronzetrack.platform import tenants
from bronzetrack.transport import heads

# A question with a model, an adapter and 32 parts of a prompt is smaller.
MAX_QUESTION_BYTES = 16_384
# Decimal places of the numbers in an answer.
DECIMALS = 4
FIELDS = frozenset(
    {
        "method",
        "host",
        "path",
        "model",
        "adapter",
        "prompt_tokens",
        "output_tokens",
        "length_hint",
        "prompt_parts",
        "key",
        "deadline_ms",
    }
)
REQUEST_ID = b"explain"


def decode_question(body: bytes, now: float) -> requests.Request:
    """Decode the request that a question is about, as if it arrived now.

    :raises fields.DocumentError: the question is malformed
    """
    if len(body) > MAX_QUESTION_BYTES:
        raise fields.DocumentError(
            f"the question exceeds {MAX_QUESTION_BYTES} bytes"
        )
    try:
        document = json.loads(body)
    except (ValueError, RecursionError):
        raise fields.DocumentError("the question is not JSON") from None
    if not isinstance(document, dict):
        raise fields.DocumentError("the question is not an object")
    if not FIELDS.issuperset(document):
        raise fields.DocumentError(
            f"a field is none of {', '.join(sorted(FIELDS))}"
        )
    path = _read_text(document, "path", "/")
    if not path.startswith("/") or " " in path:
        raise fields.DocumentError("path does not begin with a slash")
    head = heads.Head(
        method=_encode("method", _read_text(document, "method", "GET")),
        target=_encode("path", path),
        headers=_list_headers(document),
    )
    return wire_requests.decode_request(head, b"", now)


def _list_headers(document: dict[str, Any]) -> heads.Headers:
    """Return the headers with which a caller states the same facts."""
    headers = [
        (b"host", _encode("host", _read_text(document, "host"))),
        (names.REQUEST_ID, REQUEST_ID),
    ]
    model = _read_text(document, "model")
    adapter = _read_text(document, "adapter")
    if adapter and not model:
        raise fields.DocumentError("an adapter needs a model")
    if "/" in model:
        raise fields.DocumentError("model has a slash")
    if model:
        text = f"{model}/{adapter}" if adapter else model
        headers.append((names.MODEL, _encode("model", text)))
    prompt, output = (
        _read_tokens(document, name)
        for name in ("prompt_tokens", "output_tokens")
    )
    if prompt is not None or output is not None:
        usage = b"%d,%d" % (prompt or 0, output or 0)
        headers.append((names.TOKEN_USAGE, usage))
    hint = _read_tokens(document, "length_hint")
    if hint is not None:
        headers.append((names.LENGTH_HINT, b"%d" % hint))
    if document.get("prompt_parts") is not None:
        parts = _read_parts(document["prompt_parts"])
        headers.append((names.PROMPT_PREFIX, _encode("prompt_parts", parts)))
    if document.get("key") is not None:
        headers.append((names.KEY, _read_text(document, "key").encode()))
    if document.get("deadline_ms") is not None:
        deadline_ms = fields.read_count(document, "deadline_ms", 0)
        headers.append((names.DEADLINE.lower(), b"%d" % deadline_ms))
    return headers


def _read_text(document: dict[str, Any], name: str, default: str = "") -> str:
    """Return a text that can stand in a header, or a default if missing."""
    if document.get(name) is None:
        return default
    text: str = fields.require_field(document, name, str)
    if not tenants.HEADER_VALUE.fullmatch(text):
        raise fields.DocumentError(f"{name} cannot stand in a header")
    return text


def _encode(name: str, text: str) -> bytes:
    try:
        return text.encode("latin-1")
    except UnicodeEncodeError:
        raise fields.DocumentError(
            f"{name} cannot stand in a header"
        ) from None


def _read_tokens(document: dict[str, Any], name: str) -> int | None:
    """Return a number of tokens, `None` if it is missing."""
    if document.get(name) is None:
        return None
    tokens = fields.read_count(document, name, 0)
    if tokens > wire_requests.MAX_TOKENS:
        raise fields.DocumentError(
            f"{name} exceeds {wire_requests.MAX_TOKENS}"
        )
    return tokens


def _read_parts(items: Any) -> str:
    """Return the parts of a prompt as in the header."""
    if (
        not isinstance(items, list)
        or len(items) > wire_requests.MAX_PROMPT_PARTS
    ):
        raise fields.DocumentError(
            "prompt_parts is not a list of at most"
            f" {wire_requests.MAX_PROMPT_PARTS} parts"
        )
    return ",".join(map(_read_part, items))


def _read_part(item: Any) -> str:
    if not isinstance(item, dict) or set(item) != {"id", "tokens"}:
        raise fields.DocumentError(
            "a part of prompt_parts is no object with id and tokens"
        )
    part, tokens = _read_text(item, "id"), _read_tokens(item, "tokens")
    if not part or not tokens or not {",", ":"}.isdisjoint(part):
        raise fields.DocumentError(
            "a part of prompt_parts has no id, an id with a comma or colon,"
            " or no tokens"
        )
    return f"{part}:{tokens}"


def encode_answer(answer: answers.Answer) -> bytes:
    """Encode an answer as JSON."""
    document = attrs.asdict(answer, value_serializer=_serialize)
    return json.dumps(document).encode()


def encode_error(error: fields.DocumentError) -> bytes:
    """Encode the error of a malformed question as JSON."""
    return json.dumps(
        {"error": {"type": "bad_request", "message": str(error)}}
    ).encode()


def _serialize(_: Any, __: Any, value: Any) -> Any:
    """Return a value that JSON can hold."""
    if isinstance(value, failures.Failure):
        return {
            "reason": value.reason.value,
            "status": value.status,
            "detail": value.detail,
            "retry_after_s": value.retry_after_s,
        }
    if isinstance(value, enum.Enum):
        return value.value
    if isinstance(value, float):
        return round(value, DECIMALS) if math.isfinite(value) else None
    return value
