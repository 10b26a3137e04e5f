"""Idempotency keys, each of which runs at most once."""
