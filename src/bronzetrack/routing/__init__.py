"""Choice of endpoints and entry VMs."""
