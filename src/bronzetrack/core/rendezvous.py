"""Rendezvous hashing, which moves few keys when a node joins or leaves."""

from __future__ import annotations

from collections.abc import Iterable
import functools
import hashlib

# Popular adapters are ranked again and again over the same endpoints. With
# 140 endpoints this many rankings take about 1 MB.
CACHED_RANKINGS = 1_024


def score(key: str, node: str) -> int:
    """Return the weight of a node for a key, the same in every process."""
    digest = hashlib.blake2b(
        f"{key}\x00{node}".encode(), digest_size=8
    ).digest()
    return int.from_bytes(digest, "big")


def rank_nodes(key: str, nodes: Iterable[str]) -> list[str]:
    """Return nodes from the highest to the lowest weight for a key."""
    return list(_rank(key, tuple(nodes)))


@functools.lru_cache(maxsize=CACHED_RANKINGS)
def _rank(key: str, nodes: tuple[str, ...]) -> tuple[str, ...]:
    return tuple(sorted(nodes, key=lambda node: (-score(key, node), node)))
