"""Keys that identify what requests that crash endpoints have in common."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
import hashlib
from typing import TYPE_CHECKING
from typing import TypeVar

import attrs

from bronzetrack.core import registry

if TYPE_CHECKING:
    from bronzetrack.entry.forwarding import requests

ListKeys = TypeVar("ListKeys", bound="Callable[[requests.Request], list[str]]")

FINGERPRINT_BYTES = 12
# An answer that has been in progress for this time has begun well.
STARTING_S = 0.5
# Parts of a prompt that are looked at, and characters of their ids.
MAX_PARTS = 64
MAX_PART_ID_LENGTH = 24
PART_PREFIX = "part:"
TARGET_PREFIX = "target:"
# Prefixes of keys that sound requests may share with deadly ones.
SHARED_PREFIXES = (PART_PREFIX, TARGET_PREFIX)


def is_shared(key: str) -> bool:
    """Return whether sound requests may have a key of deadly ones."""
    return key.startswith(SHARED_PREFIXES)


def fingerprint_request(request: requests.Request) -> str:
    """Return a fingerprint of a request that its copies share.

    Without a body, requests of all callers to a target are alike, and one may
    differ in a header. Copies then also share their caller.
    """
    return _compute_digest(
        request.target, request.body or request.caller.encode()
    )


def _compute_digest(*parts: bytes) -> str:
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    digest.update(b"\0".join(parts))
    return digest.hexdigest()


@attrs.frozen
class KeySource:
    """A way to find out what requests that crash endpoints have in common.

    :param list_keys: returns the keys of a request
    :param crashes_at_start: whether requests that share such a key crash an
        endpoint as it begins to answer, so that one whose answer has been in
        progress for a while is sound
    """

    list_keys: Callable[[requests.Request], Iterable[str]]
    crashes_at_start: bool = False


KEY_SOURCES: registry.Registry[KeySource] = registry.Registry("key sources")


def register_keys(
    name: str, crashes_at_start: bool = False
) -> Callable[[ListKeys], ListKeys]:
    """Return a decorator that registers a function as a source of keys."""

    def decorate(list_keys: ListKeys) -> ListKeys:
        source = KeySource(list_keys, crashes_at_start)
        KEY_SOURCES.register(name)(source)
        return list_keys

    return decorate


@register_keys("request")
def list_fingerprint(request: requests.Request) -> list[str]:
    """Return the key that all copies of one request share."""
    return [fingerprint_request(request)]


@register_keys("target")
def list_target(request: requests.Request) -> list[str]:
    """Return the key that requests of all callers without a body share.

    Load pattern: one GET crashes endpoints, and each copy comes from another
    caller.
    """
    if request.body:
        return []
    return [TARGET_PREFIX + _compute_digest(request.method, request.target)]


@register_keys("prompt part", crashes_at_start=True)
def list_part_keys(request: requests.Request) -> list[str]:
    """Return the keys of the parts that prompts share.

    Load pattern: all prompts with one part crash engines. No two are alike,
    and sound prompts share their other parts.
    """
    return [
        PART_PREFIX + part[:MAX_PART_ID_LENGTH]
        for part in request.shared_parts
    ]


def list_keys(request: requests.Request) -> tuple[str, ...]:
    """Return what a request has in common with requests like it."""
    return tuple(
        key
        for _, source in KEY_SOURCES.items()
        for key in source.list_keys(request)
    )


def list_accused_keys(
    request: requests.Request, answering_s: float
) -> tuple[str, ...]:
    """Return the keys that may explain a crash during a request.

    :param answering_s: seconds since the first byte of the body, 0 before
    """
    return tuple(
        key
        for _, source in KEY_SOURCES.items()
        if answering_s < STARTING_S or not source.crashes_at_start
        for key in source.list_keys(request)
    )
