"""Controllers of an entry VM, one module each."""
