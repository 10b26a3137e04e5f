"""Client side of the system: publishing, look-ups and requests."""
