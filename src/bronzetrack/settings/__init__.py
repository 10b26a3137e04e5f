"""Settings of a daemon and their checks."""
