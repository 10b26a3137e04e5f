"""Checked requests of callers."""

from __future__ import annotations

import attrs

from bronzetrack.idempotency import keys


@attrs.frozen
class CallerRequest:
    """A checked request of a caller.

    :param member: the member that is charged
    :param adapter: `name@version`, empty for a plain service
    :param fingerprint: digest of adapter, version and content, the same
        whatever ids the request has
    :param digest: of the request as its caller sent it
    :param endpoints: endpoints that could run it
    :param repeatable: whether it may run more than once
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
