"""Decoder of the workspaces of a configuration, which it calls tenants.

Keys are secret: no error contains one.
"""

from __future__ import annotations

import re
from typing import Any

from bronzetrack.entry.workspaces import keys
from bronzetrack.entry.workspaces import workspaces
from bronzetrack.platform import fields

# Texts that a header transfers unchanged: without control characters, and
# without blanks at the ends, which receivers remove.
HEADER_VALUE = re.compile(
    r"[^\x00-\x20\x7f](?:[^\x00-\x1f\x7f]*[^\x00-\x20\x7f])?"
)
DEFAULTS = workspaces.Workspace("")


def decode_tenants(document: dict[str, Any]) -> workspaces.Directory | None:
    """Decode the workspaces of a configuration.

    :returns: the workspaces, `None` if the configuration does not list them.
        With an empty list no key is known.
    :raises fields.DocumentError: they are malformed
    """
    items = document.get("tenants")
    if items is None:
        return None
    if not isinstance(items, list):
        raise fields.DocumentError("tenants is not a list")
    by_name: dict[str, workspaces.Workspace] = {}
    by_digest: dict[bytes, workspaces.Workspace] = {}
    for item in items:
        workspace = _decode_workspace(item)
        if workspace.name in by_name:
            raise fields.DocumentError(f"two tenants are {workspace.name!r}")
        by_name[workspace.name] = workspace
        for digest in _decode_keys(item, workspace.name):
            if by_digest.setdefault(digest, workspace) is not workspace:
                raise fields.DocumentError(
                    f"{workspace.name!r} and {by_digest[digest].name!r} have"
                    " the same key"
                )
    return workspaces.Directory(by_name, by_digest)


def _decode_workspace(item: Any) -> workspaces.Workspace:
    if not isinstance(item, dict):
        raise fields.DocumentError("a tenant is not an object")
    name = fields.require_field(item, "name", str)
    if not HEADER_VALUE.fullmatch(name):
        raise fields.DocumentError(
            f"the name {name!r} of a tenant cannot stand in a header"
        )
    has_priority = item.get("priority") is not None
    counts_tokens = item.get("unit") == workspaces.Unit.TOKENS.value
    return workspaces.Workspace(
        name=name,
        priority=(
            fields.read_count(item, "priority", 0) if has_priority else None
        ),
        rate_per_s=fields.read_amount(item, "rate_per_s"),
        burst=fields.read_amount(item, "burst"),
        unit=(
            workspaces.Unit.TOKENS
            if counts_tokens
            else workspaces.Unit.REQUESTS
        ),
        plain_tokens=fields.read_count(
            item, "plain_tokens", DEFAULTS.plain_tokens
        ),
    )


def _decode_keys(item: dict[str, Any], name: str) -> set[bytes]:
    """Return the digests of the keys of a workspace."""
    texts = item.get("api_keys")
    if texts is None:
        return set()
    if not isinstance(texts, list):
        raise fields.DocumentError(f"api_keys of {name!r} is not a list")
    for text in texts:
        if not isinstance(text, str) or not HEADER_VALUE.fullmatch(text):
            raise fields.DocumentError(
                f"a key of {name!r} is not a text that can stand in a header"
            )
    return {keys.compute_digest(text.encode()) for text in texts}
