"""Which VM owns which endpoint."""
