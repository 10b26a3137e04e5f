"""Selection of endpoints and entry VMs."""
