"""Controllers of an entry VM, one per module."""
