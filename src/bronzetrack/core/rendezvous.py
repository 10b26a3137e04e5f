"""Rendezvous hashing, which moves few keys when a node joins or leaves."""

from __future__ import annotations

from collections.abc import Iterable
import functools
import hashlib

# Size of the cache of rankings, since popular adapters are ranked repeatedly
# over the same endpoints. With 140 endpoints a full cache takes about 1 MB.
CACHED_RANKINGS = 1_024


def compute_weight(key: str, node: str) -> int:
    """Return the weight of a node for a key.

    The weight is the same in every process.
    """
    digest = hashlib.blake2b(
        f"{key}\x00{node}".encode(), digest_size=8
    ).digest()
    return int.from_bytes(digest, "big")


def rank_nodes(key: str, nodes: Iterable[str]) -> list[str]:
    """Return the nodes in descending order of their weight for a key."""
    return list(_rank(key, tuple(nodes)))


@functools.lru_cache(maxsize=CACHED_RANKINGS)
def _rank(key: str, nodes: tuple[str, ...]) -> tuple[str, ...]:
    return tuple(
        sorted(nodes, key=lambda node: (-compute_weight(key, node), node))
    )
