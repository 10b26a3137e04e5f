"""Validated requests of callers."""

from __future__ import annotations

import attrs

from bronzetrack.idempotency import keys


@attrs.frozen
class CallerRequest:
    """A validated request of a caller.

    :param request: id of the request
    :param member: the member that is charged for the request
    :param adapter: `name@version`, empty for a plain service
    :param cost: estimated cost in tokens
    :param fingerprint: digest of adapter, version and content, which does
        not depend on the ids of the request
    :param digest: digest of the request as its caller sent it
    :param endpoints: endpoints that could run the request
    :param repeatable: whether the request may run more than once
    :param key: the idempotency key, None if the caller sent none
    :param deadline_ms: monotonic time in milliseconds of the deadline
    """

    request: str
    member: str
    adapter: str
    work_class: str
    method: str
    path: str
    body: bytes
    content_type: str
    stream: bool
    cost: int
    fingerprint: str
    digest: str
    endpoints: tuple[str, ...]
    repeatable: bool
    key: keys.IdempotencyKey | None
    deadline_ms: int
