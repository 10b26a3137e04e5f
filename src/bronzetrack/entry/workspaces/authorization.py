"""Decision whether the key of a request is accepted."""

from __future__ import annotations

import enum

from bronzetrack.entry import routes
from bronzetrack.entry.forwarding import failures
from bronzetrack.entry.workspaces import keys
from bronzetrack.entry.workspaces import workspaces


class Cause(enum.Enum):
    """Why the key of a request is not accepted."""

    MISSING = "missing"
    UNKNOWN = "unknown"
    AMBIGUOUS = "ambiguous"
    REVOKED = "revoked"


def authorize(
    configuration: routes.Configuration,
    route: routes.Route,
    key_digest: bytes | None,
) -> workspaces.Workspace | None | failures.Failure:
    """Return the workspace on whose behalf a request is sent.

    :param key_digest: digest of the key, `None` without a key
    :returns: the workspace, `None` if the request needs and has none, or the
        failure of a request whose key is not accepted
    """
    if configuration.workspaces is None:
        return None
    workspace = configuration.workspaces.find(key_digest)
    if workspace is None and not route.is_public:
        cause = find_cause(key_digest)
        return failures.Failure(
            failures.Reason.UNAUTHORIZED, f"the key is {cause.value}"
        )
    return workspace


def find_cause(key_digest: bytes | None, was_known: bool = False) -> Cause:
    """Return why a key is not accepted.

    :param was_known: whether the key was accepted when the request arrived
    """
    if key_digest is None:
        return Cause.MISSING
    if key_digest == keys.NONE:
        return Cause.AMBIGUOUS
    return Cause.REVOKED if was_known else Cause.UNKNOWN
