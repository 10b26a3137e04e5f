"""At most one run of each idempotency key."""
