"""Digests of keys, in place of the secret keys themselves."""

from __future__ import annotations

import hashlib
import secrets

DIGEST_BYTES = 16
# Stands for several different keys. Digests are longer, so that no key has it.
NONE = b""
# A lookup by the digest with a random key leaks nothing by its time.
_SECRET = secrets.token_bytes(32)


def compute_digest(key: bytes) -> bytes:
    """Return the digest by which this process knows a key."""
    return hashlib.blake2b(key, key=_SECRET, digest_size=DIGEST_BYTES).digest()
