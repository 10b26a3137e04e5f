"""Stand-ins for the external systems that the daemons depend on."""
