"""Workspaces of a configuration and the keys that belong to them."""

from __future__ import annotations

from collections.abc import Mapping
import enum

import attrs


class Unit(enum.Enum):
    """What the quota of a workspace counts."""

    REQUESTS = "requests"
    TOKENS = "tokens"


@attrs.frozen
class Workspace:
    """A workspace whose members send requests.

    :param priority: priority of its requests, 0 is the most urgent; `None` if
        that of the route applies
    :param rate_per_s: quota over all VMs, in units a second, 0 for no limit
    :param burst: units beyond the rate that may be used at once
    :param plain_tokens: cost in tokens of a request that states no usage
    """

    name: str
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0
    unit: Unit = Unit.REQUESTS
    plain_tokens: int = 1

    @property
    def has_quota(self) -> bool:
        """Whether the use of the workspace is limited."""
        return self.rate_per_s > 0


@attrs.frozen(eq=False)
class Directory:
    """All workspaces of a configuration.

    :param by_name: workspaces by name
    :param by_digest: workspaces by the digest of each of their keys
    """

    by_name: Mapping[str, Workspace]
    by_digest: Mapping[bytes, Workspace] = attrs.field(repr=False)

    def find(self, digest: bytes | None) -> Workspace | None:
        """Return the workspace of a key, `None` if the key is unknown.

        :param digest: digest of the key, `None` without a key
        """
        return None if digest is None else self.by_digest.get(digest)
