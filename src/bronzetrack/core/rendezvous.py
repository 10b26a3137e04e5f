"""Rendezvous hashing, which moves few keys when a node joins or leaves."""

from __future__ import annotations

from collections.abc import Iterable
import hashlib


def score(key: str, node: str) -> int:
    """Return the weight of a node for a key, the same in every process."""
    digest = hashlib.blake2b(
        f"{key}\x00{node}".encode(), digest_size=8
    ).digest()
    return int.from_bytes(digest, "big")


def rank_nodes(key: str, nodes: Iterable[str]) -> list[str]:
    """Return nodes from the highest to the lowest weight for a key."""
    return sorted(nodes, key=lambda node: (-score(key, node), node))
