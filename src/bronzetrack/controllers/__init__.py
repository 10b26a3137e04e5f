"""Controllers of the daemon, one module for each."""
