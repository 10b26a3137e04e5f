"""Settings of the daemon."""
